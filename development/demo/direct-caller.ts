/**
 * Calls an engine directly, as a baseline for requests through Waydrift in the same run.
 */
import {randomUUID} from 'node:crypto';
import {request} from 'node:http';
import type {Timing} from '../harness/caller.js';

/** Client of one engine that measures its responses. */
export class DirectCaller {
	/**
	 * @param port - Port of the engine.
	 * @returns A caller for this engine.
	 */
	static create(port: number): DirectCaller {
		return new DirectCaller(port);
	}

	private constructor(private readonly port: number) {}

	/**
	 * @param prefix - Start of the prompt; a random ID follows it.
	 * @param tokens - Tokens of the response.
	 * @returns Milliseconds to the first chunk and between chunks; rejects if the request fails.
	 */
	async chat(prefix: string, tokens: number): Promise<Timing> {
		const body = JSON.stringify({
			model: 'direct', stream: true, max_tokens: tokens, messages: [{role: 'user', content: `${prefix} ${randomUUID()}`}],
		});
		const startedAt = performance.now();
		const arrivals: number[] = [];
		return new Promise((resolve, reject) => {
			request({
				host: '127.0.0.1', port: this.port, method: 'POST', path: '/v1/chat/completions',
			}, incoming => {
				incoming.on('data', () => {
					arrivals.push(performance.now());
				});
				incoming.once('close', () => {
					resolve({
						firstToken: (arrivals[0] ?? Number.NaN) - startedAt,
						tokenIntervals: arrivals.slice(1).map((arrival, index) => arrival - arrivals[index]!),
					});
				});
			}).once('error', reject).end(body);
		});
	}
}
