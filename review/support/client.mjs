/**
 * A client's request, and how its answer ended as far as the client can see.
 */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/**
 * Sends a request.
 *
 * @param port - Port of a relay's front address.
 * @param call - The request: `id`, `path`, and optionally `method`, `host`, `headers`, `body` and the milliseconds after which the client leaves.
 * @returns Status (0 without an answer), headers, body, and whether the answer is complete by its framing.
 */
export const send = (port, {id, path, method = 'GET', host = 'ficu95.example', headers = {}, body, deadline = 12_000}) => new Promise(resolve => {
	const sentAt = performance.now();
	const view = {
		id, path, port, sentAt, status: 0, headers: {}, body: '', isComplete: false, fault: '',
	};
	let isSettled = false;
	const settle = changes => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			resolve({...view, ...changes, endedAt: performance.now()});
		}
	};

	const outgoing = request({
		host: '127.0.0.1', port, path, method, agent: false, headers: {
			Host: host, 'Attempt-Id': id, 'Deadline-Ms': String(deadline), ...headers,
		},
	}, answer => {
		view.status = answer.statusCode;
		view.headers = answer.headers;
		const parts = [];
		answer.on('data', part => {
			parts.push(part);
			view.body = Buffer.concat(parts).toString();
		});
		answer.on('error', error => {
			view.fault = error.message;
		});
		answer.on('close', () => {
			settle({isComplete: answer.complete && view.fault === ''});
		});
	});
	const timer = setTimeout(() => {
		view.fault = 'the client left at its deadline';
		outgoing.destroy();
		settle({});
	}, deadline);
	outgoing.on('error', error => {
		view.fault ||= error.message;
		if (view.status === 0) {
			settle({});
		}
	});
	outgoing.end(body);
});
