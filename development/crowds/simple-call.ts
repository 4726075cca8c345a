/**
 * A request of an ordinary client. Development only.
 */
import {request} from 'node:http';

/** Milliseconds after which an ordinary client gives up an attempt. */
const callTimeout = 10_000;

/** An ordinary request. */
export type SimpleCall = {
	readonly port: number;
	readonly path: string;
	readonly method?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/**
 * @param call - The request, sent on a connection of its own.
 * @returns Status of the answer; 0 if there is none.
 */
export async function statusOf({port, path, method = 'GET', headers = {}, body}: SimpleCall): Promise<number> {
	return new Promise(resolve => {
		const outgoing = request({
			host: '127.0.0.1', port, path, method, headers, agent: false, signal: AbortSignal.timeout(callTimeout),
		}, answer => {
			answer.on('error', () => {
				resolve(0);
			});
			answer.once('end', () => {
				resolve(answer.statusCode ?? 0);
			});
			answer.resume();
		});
		outgoing.on('error', () => {
			resolve(0);
		});
		outgoing.end(body);
	});
}
