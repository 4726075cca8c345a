/**
 * Stand-in for clients: each has one kept connection to a relay, and sees what arrives on it.
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {now} from './world.mjs';

let attempts = 0;

/** One client with one kept connection. */
export class Client {
	constructor({host, port, key, record, name}) {
		Object.assign(this, {
			host, port, key, record, name,
		});
		this.agent = new Agent({keepAlive: true, maxSockets: 1});
	}

	/**
	 * Sends one request.
	 *
	 * @returns What the client saw: status (0 if no answer began), body, whether the answer is complete, and whether the connection was kept, which
	 * means that it had brought an answer before.
	 */
	send({path, method = 'POST', body = 'body', headers = {}, deadline = 3000, host = 'ficu95.example', signal}) {
		const id = `${this.name}-${++attempts}`;
		const sentAt = now();
		this.record.write(`${this.name} sends ${id} to ${path}`);
		return new Promise(resolve => {
			let isKept = false;
			const settle = seen => {
				this.record.write(`${this.name} gets ${seen.status === 0 ? `no answer (${seen.error})` : `${seen.status}${seen.isWhole ? '' : ', cut short'}`} to ${id}`);
				resolve({
					id, path, sentAt, isKept, endedAt: now(), ...seen,
				});
			};

			const outgoing = request({
				host: this.host, port: this.port, agent: this.agent, method, path, signal,
				headers: {
					Host: host, 'Attempt-Id': id, 'Deadline-Ms': String(deadline), ...(this.key === undefined ? {} : {Authorization: `Bearer ${this.key}`}),
					...(method === 'GET' ? {} : {'Content-Length': String(Buffer.byteLength(body))}), ...headers,
				},
			}, answer => {
				const parts = [];
				answer.on('data', part => parts.push(part));
				answer.on('error', () => undefined);
				answer.once('close', () => {
					settle({
						status: answer.statusCode, headers: answer.headers, body: Buffer.concat(parts).toString(), isWhole: answer.complete,
					});
				});
			});
			outgoing.once('socket', () => {
				isKept = outgoing.reusedSocket;
			});
			outgoing.once('error', error => {
				if (!outgoing.res) {
					settle({
						status: 0, error: error.code ?? error.message, isWhole: false, headers: {}, body: '',
					});
				}
			});
			outgoing.setTimeout(deadline + 1500, () => {
				outgoing.destroy(new Error('the client gives up'));
			});
			outgoing.end(method === 'GET' ? undefined : body);
		});
	}

	close() {
		this.agent.destroy();
	}
}
