/**
 * Guards against an answer that is cut and looks whole to its client: one of HTTP/1.0 gets no chunks, so that the end of the connection is the end of
 * the body.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {ClientAnswer} from '../client-answer.js';

const event = 'id: 1\ndata: a\n\n';
/** More than the buffers of a connection on loopback hold, in bytes. */
const largeBody = 32 * 1024 * 1024;
const timeout = 20_000;

/** What a client received until its connection ended. */
type Received = {
	readonly text: string;
	readonly isReset: boolean;
};

/** @returns What a client of an HTTP version gets of an answer. */
async function receive(context: TestContext, {version, isSlow = false}: {readonly version: string; readonly isSlow?: boolean}, answer: (client: ClientAnswer) => void): Promise<Received> {
	const server = createServer((_, response: ServerResponse) => {
		answer(ClientAnswer.create(response, () => false));
	});
	context.after(() => {
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	let isReset = false;
	socket.on('error', () => {
		isReset = true;
	});
	// Node reports a reset that arrives with the last bytes as a regular end, but the socket then has no remote address.
	socket.prependListener('end', () => {
		isReset ||= socket.remoteAddress === undefined;
	});
	socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
	if (isSlow) {
		const [connection] = await once(server, 'connection') as [NodeJS.EventEmitter];
		await once(connection, 'close');
	}

	socket.on('data', data => {
		text += data.toString('latin1');
	});
	await once(socket, 'close');
	return {text, isReset};
}

const beginStream = (client: ClientAnswer, data: string): void => {
	client.begin(200, ['Content-Type', 'text/event-stream']);
	client.write(data, 'latin1');
};

test('a stream of HTTP/1.0 that is cut ends with a reset', {timeout}, async context => {
	const {text, isReset} = await receive(context, {version: '1.0'}, client => {
		beginStream(client, event);
		client.cut('upstream-cut');
	});
	assert.ok(text.endsWith(`\r\n\r\n${event}`), text);
	assert.ok(isReset);
});

test('a stream of HTTP/1.0 that is cut ends with a reset although its client does not read', {timeout}, async context => {
	const {text, isReset} = await receive(context, {version: '1.0', isSlow: true}, client => {
		beginStream(client, 'x'.repeat(largeBody));
		client.cut('upstream-cut');
	});
	assert.ok(text.length < largeBody);
	assert.ok(isReset);
});

test('a whole stream of HTTP/1.0 ends in order', {timeout}, async context => {
	const {text, isReset} = await receive(context, {version: '1.0'}, client => {
		beginStream(client, event);
		client.end();
	});
	assert.ok(text.endsWith(`\r\n\r\n${event}`), text);
	assert.ok(!isReset);
});

test('a stream of HTTP/1.1 that is cut ends in order without its last chunk', {timeout}, async context => {
	const {text, isReset} = await receive(context, {version: '1.1'}, client => {
		beginStream(client, event);
		client.cut('upstream-cut');
	});
	assert.ok(text.endsWith(`${event}\r\n`), text);
	assert.ok(!isReset);
});
