/*
 * Guards against requests that have been read as a listener closes and whose answer, which takes a turn of the event loop, was discarded.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import {freePort, until} from '../../../development/relay/relay-installation.js';
import {listen} from '../control-listeners.js';

const connections = 20;
const request = 'GET / HTTP/1.1\r\nHost: box\r\n\r\n';

test('each request that has been read as a listener closes is answered', async context => {
	const port = await freePort();
	let read = 0;
	const server = createServer((_, response) => {
		read++;
		setImmediate(() => {
			response.end('answer;');
		});
	});
	const scope = Effect.runSync(Scope.make());
	await Effect.runPromise(listen(server, {host: '127.0.0.1', port}).pipe(Effect.provideService(Scope.Scope, scope)));
	const clients = Array.from({length: connections}, () => {
		const socket = connect(port, '127.0.0.1');
		const client = {socket, received: '', isClosed: false};
		socket.on('error', () => undefined).on('data', data => {
			client.received += String(data);
		}).once('close', () => {
			client.isClosed = true;
		});
		return client;
	});
	await Promise.all(clients.map(async ({socket}) => once(socket, 'connect')));
	for (const {socket} of clients) {
		socket.write(request);
	}

	await until(() => clients.every(({received}) => received.endsWith('answer;')));
	const before = read;
	// Writes while the listener closes, so that requests are read in each of its last turns.
	let isClosing = true;
	let next = 0;
	const write = () => {
		if (isClosing && next < clients.length) {
			clients[next]!.socket.write(request);
			next++;
			setImmediate(write);
		}
	};

	await pause(1);
	write();
	await Effect.runPromise(Scope.close(scope, Exit.void));
	isClosing = false;
	await until(() => clients.every(({isClosed}) => isClosed));
	const answered = clients.filter(({received}) => received.split('answer;').length === 3).length;
	context.diagnostic(`${read - before} read, ${answered} answered`);
	assert.ok(read > before);
	assert.equal(answered, read - before);
});
