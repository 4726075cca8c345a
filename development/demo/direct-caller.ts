/**
 * Calls an engine with nothing in between, for comparison in the same run.
 */
import {randomUUID} from 'node:crypto';
import {request} from 'node:http';
import type {Timing} from '../harness/caller.js';

/** Calls one engine. */
export class DirectCaller {
	/**
	 * @param port - Of the engine.
	 * @returns The caller.
	 */
	static create(port: number): DirectCaller {
		return new DirectCaller(port);
	}

	private constructor(private readonly port: number) {}

	/**
	 * @param prefix - What the prompt begins with.
	 * @param tokens - Tokens of the answer.
	 * @returns What was measured.
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
						between: arrivals.slice(1).map((arrival, index) => arrival - arrivals[index]!),
					});
				});
			}).once('error', reject).end(body);
		});
	}
}
