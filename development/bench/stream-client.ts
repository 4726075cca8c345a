/**
 * Sends streamed chat completions and measures their latency.
 */
import {Agent, request, type ClientRequest} from 'node:http';
import {testKeys} from '../harness/small-installation.js';

const agent = new Agent({keepAlive: true, maxSockets: Infinity});

/**
 * Sends one request and reads the complete response.
 *
 * @param port - Port of the relay.
 * @param tokens - Tokens of the response.
 * @returns Milliseconds to the first token; rejects if the stream ends without `[DONE]`.
 */
export async function streamOnce(port: number, tokens: number): Promise<number> {
	const startedAt = performance.now();
	return new Promise((resolve, reject) => {
		let first = Number.NaN;
		let last = '';
		open(port, {tokens, isIdle: false}, chunk => {
			first = Number.isNaN(first) ? performance.now() - startedAt : first;
			last = chunk;
		}, () => {
			if (last.endsWith('[DONE]\n\n')) {
				resolve(first);
			} else {
				reject(new Error(`stream ended without [DONE]; its last chunk: ${last.slice(0, 200)}`));
			}
		}).once('error', reject);
	});
}

/**
 * Opens a stream that sends its first token and then stays idle.
 *
 * @param port - Port of the relay.
 * @returns The request, once the first token has arrived; destroy it to close the stream.
 */
export async function openIdle(port: number): Promise<ClientRequest> {
	return new Promise((resolve, reject) => {
		const outgoing = open(port, {tokens: 1000, isIdle: true}, () => {
			resolve(outgoing);
		}, () => undefined);
		outgoing.once('error', reject);
	});
}

function open(
	port: number,
	{tokens, isIdle}: {readonly tokens: number; readonly isIdle: boolean},
	onChunk: (chunk: string) => void,
	onEnd: () => void,
): ClientRequest {
	const outgoing = request({
		host: '127.0.0.1',
		port,
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {Authorization: `Bearer ${testKeys.alpha}`, 'Content-Type': 'application/json'},
		agent,
	}, incoming => {
		incoming.setEncoding('utf8').on('data', onChunk).once('close', onEnd);
	});
	outgoing.end(JSON.stringify({
		model: 'assistant', stream: true, max_tokens: tokens, idle: isIdle, messages: [{role: 'user', content: 'How high is the river at the barrage?'}],
	}));
	return outgoing;
}

/**
 * Sends a number of requests with a fixed concurrency.
 *
 * @param concurrency - Requests in progress at a time.
 * @param count - Requests in total.
 * @param send - Sends one request and waits for its response.
 * @returns Milliseconds until all are done.
 */
export async function closedLoop(concurrency: number, count: number, send: () => Promise<unknown>): Promise<number> {
	const startedAt = performance.now();
	let left = count;
	const worker = async (): Promise<void> => {
		while (left > 0) {
			left--;
			await send();
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => worker()));
	return performance.now() - startedAt;
}
