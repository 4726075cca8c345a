/*
 * Connections of a server: which one is closed at a limit, and the order of requests that arrive at once.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {until} from '../../../development/relay/relay-installation.js';
import {SystemClock} from '../../base/clock.js';
import {sendBody} from '../send-body.js';
import {ServerConnections, type ClosingReason} from '../server-connections.js';

const maxHead = 16_384;
/** Milliseconds between two reads of a client that is slow, and more than those for which a connection with a request keeps its place in any case. */
const readInterval = 40;
const grantedTime = 600;
/** Bytes of an answer that takes such a client some seconds. */
const largeAnswer = 96 * 1024 * 1024;
const timeLimits = {headersTimeout: 50, requestTimeout: 100, connectionsCheckingInterval: 20};
const requestTo = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: box\r\n\r\n`;

/** A server whose requests are answered by the test. */
class TestServer {
	static async start(context: TestContext, connections: number, heads = 1_000_000, options: ServerOptions = {}): Promise<TestServer> {
		const server = new TestServer(connections, heads, options);
		server.server.listen(0, '127.0.0.1');
		await once(server.server, 'listening');
		context.after(() => {
			server.server.close();
			server.server.closeAllConnections();
		});
		return server;
	}

	/** Responses that are not closed. */
	open = 0;
	readonly started: Array<{readonly path: string; readonly response: ServerResponse}> = [];
	received = 0;
	released = 0;
	readonly closed: ClosingReason[] = [];
	readonly connections: ServerConnections;
	private readonly server: Server;

	private constructor(connections: number, heads: number, options: ServerOptions) {
		this.server = createServer({maxHeaderSize: maxHead, ...options}, (incoming, response) => {
			this.handle(incoming, response);
		});
		this.connections = ServerConnections.limit({
			server: this.server,
			clock: SystemClock.create(),
			limits: {connections, heads, maxHead},
			onClosed: reason => {
				this.closed.push(reason);
			},
		});
		this.server.on('clientError', (error, socket) => {
			this.connections.recordError(error, socket as Socket);
		});
	}

	async connect(): Promise<Client> {
		const before = this.connections.count;
		const client = new Client((this.server.address() as AddressInfo).port);
		await client.connected;
		await until(() => this.connections.count > before || this.closed.length > 0);
		return client;
	}

	private handle(incoming: IncomingMessage, response: ServerResponse): void {
		this.received++;
		this.open++;
		response.once('close', () => {
			this.open--;
		});
		this.connections.enqueue({
			incoming,
			response,
			start: () => {
				this.started.push({path: incoming.url ?? '', response});
			},
			body: {
				missingBytes: 0, release: () => {
					this.released++;
				},
			},
		});
	}
}

class Client {
	/** Milliseconds between two reads. */
	pauseTime = 0;
	/** Bytes that it has read. */
	size = 0;
	received = '';
	isClosed = false;
	readonly connected: Promise<unknown>;
	private readonly socket: Socket;

	constructor(port: number) {
		this.socket = connect(port, '127.0.0.1');
		this.connected = once(this.socket, 'connect').catch(() => undefined);
		this.socket.on('error', () => undefined).on('data', data => {
			this.size += data.length;
			this.received += data.toString();
			if (this.pauseTime > 0) {
				this.socket.pause();
				this.resumeLater();
			}
		}).once('close', () => {
			this.isClosed = true;
		});
	}

	send(...paths: readonly string[]): void {
		this.socket.write(paths.map(path => requestTo(path)).join(''));
	}

	destroy(): void {
		this.socket.destroy();
	}

	write(text: string): void {
		this.socket.write(text);
	}

	private resumeLater(): void {
		if (Number.isFinite(this.pauseTime)) {
			setTimeout(() => this.socket.resume(), this.pauseTime);
		}
	}
}

test('requests of one connection are handled one at a time and in order', async context => {
	const server = await TestServer.start(context, 10);
	const client = await server.connect();
	client.send('/1', '/2', '/3');
	for (const count of [1, 2, 3]) {
		await until(() => server.started.length === count);
		assert.deepEqual(server.started.map(({path}) => path), ['/1', '/2', '/3'].slice(0, count));
		server.started.at(-1)!.response.end(`answer ${count};`);
	}

	await until(() => client.received.includes('answer 3;'));
	assert.match(client.received, /answer 1;.*answer 2;.*answer 3;/sv);
	assert.deepEqual([client.isClosed, server.closed], [false, []]);
});

test('of very many requests that arrive at once few are parsed before the first is answered, and all are answered', async context => {
	const count = 500;
	const server = await TestServer.start(context, 10);
	const client = await server.connect();
	client.send(...Array.from({length: count}, (_, index) => `/${index}`));
	await until(() => server.started.length === 1);
	assert.ok(server.received < 30, `${server.received} requests were parsed`);
	for (let answered = 0; answered < count; answered++) {
		await until(() => server.started.length > answered);
		server.started[answered]!.response.end('answer;');
	}

	await until(() => client.received.split('answer;').length - 1 === count);
	assert.deepEqual(server.started.map(({path}) => path), Array.from({length: count}, (_, index) => `/${index}`));
	await until(() => server.released === count);
});

test('at the limit the connection goes that has been without a request for longest', async context => {
	const server = await TestServer.start(context, 2);
	const [busy, idle] = [await server.connect(), await server.connect()];
	busy.send('/busy');
	await until(() => server.started.length === 1);
	const next = await server.connect();
	await until(() => idle.isClosed);
	next.send('/next');
	await until(() => server.started.length === 2);
	assert.deepEqual([busy.isClosed, next.isClosed, server.closed], [false, false, ['connections']]);
});

test('a complete request in progress is not cut for a new connection', async context => {
	const server = await TestServer.start(context, 1);
	const busy = await server.connect();
	busy.send('/busy');
	await until(() => server.started.length === 1);
	const next = await server.connect();
	await until(() => next.isClosed);
	server.started[0]!.response.end('answer;');
	await until(() => busy.received.includes('answer;'));
});

// The time for which the answer had been unread was counted from the beginning of its request.
test('an answer that is being read is not cut for a new connection, and one that is not read is', async context => {
	const server = await TestServer.start(context, 1);
	const reader = await server.connect();
	reader.pauseTime = readInterval;
	reader.send('/large');
	await until(() => server.started.length === 1);
	await pause(grantedTime);
	const {response} = server.started[0]!;
	response.writeHead(200, {'Content-Length': largeAnswer});
	sendBody(response, new Uint8Array(largeAnswer), () => undefined);
	for (let attempt = 0; attempt < 8; attempt++) {
		const next = await server.connect();
		await until(() => next.isClosed || reader.isClosed);
		assert.equal(reader.isClosed, false);
		assert.ok(reader.size < largeAnswer, 'it is still being read');
		await pause(grantedTime);
	}

	reader.pauseTime = Number.POSITIVE_INFINITY;
	let isReplaced = false;
	for (let attempt = 0; attempt < 10 && !isReplaced; attempt++) {
		const next = await server.connect();
		await pause(grantedTime);
		isReplaced = !next.isClosed;
	}

	assert.ok(isReplaced);
});

test('incomplete heads beyond the limit close their connections, the oldest first', async context => {
	const server = await TestServer.start(context, 10, 2 * maxHead);
	const clients = [await server.connect(), await server.connect(), await server.connect(), await server.connect()];
	const part = `GET / HTTP/1.1\r\nX-Field: ${'x'.repeat(maxHead * 0.8)}`;
	for (const client of clients) {
		client.write(part);
	}

	await until(() => clients[0]!.isClosed && clients[1]!.isClosed);
	assert.deepEqual(clients.map(({isClosed}) => isClosed), [true, true, false, false]);
	assert.deepEqual(server.closed, ['heads', 'heads']);
});

test('a connection that changed to another protocol keeps its place', async context => {
	const server = await TestServer.start(context, 1);
	const upgraded = await server.connect();
	upgraded.send('/');
	await until(() => server.started.length === 1);
	server.connections.keepUpgraded(server.started[0]!.response.socket!);
	const next = await server.connect();
	await until(() => next.isClosed);
	assert.equal(upgraded.isClosed, false);
});

test('requests in advance beyond the limit are discarded, and the connection closes after the answer', async context => {
	const server = await TestServer.start(context, 10, 10_000);
	const client = await server.connect();
	client.send(...Array.from({length: 1000}, (_, index) => `/${index}`));
	await until(() => server.closed.includes('heads'));
	const parsed = server.received;
	server.started[0]!.response.end('answer;');
	for (let answered = 1; answered < parsed; answered++) {
		await until(() => server.started.length > answered || client.isClosed);
		server.started[answered]?.response.end('answer;');
	}

	await until(() => client.isClosed);
	assert.match(client.received, /answer;/v);
	assert.equal(server.received, parsed);
	assert.equal(server.started.length, 1, 'a request was started whose answer cannot be sent');
});

// Such responses were never reported as closed, so that what tracks open responses kept them for the life of the process.
test('a response that waits behind another one closes with its connection', async context => {
	const server = await TestServer.start(context, 10);
	const client = await server.connect();
	client.send('/1', '/2', '/3');
	await until(() => server.started.length === 1);
	client.destroy();
	await until(() => server.connections.count === 0);
	assert.equal(server.open, 0);
	assert.equal(server.released, server.received);
});

// Node answered 408 in place of the request in progress, which may have run, and closed the connection.
test('the time limits of a request do not go on while it waits behind another one', async context => {
	const server = await TestServer.start(context, 10, undefined, timeLimits);
	const client = await server.connect();
	const paths = Array.from({length: 30}, (_, index) => `/${index}`);
	client.send(...paths);
	await until(() => server.started.length === 1);
	await pause(300);
	assert.deepEqual([client.received, client.isClosed], ['', false]);
	for (const index of paths.keys()) {
		await until(() => server.started.length > index);
		server.started[index]!.response.end(`answer ${index};`);
	}

	await until(() => client.received.includes('answer 29;'));
	assert.deepEqual(server.started.map(({path}) => path), paths);
});

test('a request that is overdue while it waits behind another one gets the time once more, and is then answered', async context => {
	const server = await TestServer.start(context, 10, undefined, timeLimits);
	const client = await server.connect();
	client.write(`${requestTo('/1')}GET /2 HTTP/1.1\r\nHost`);
	await until(() => server.started.length === 1);
	await pause(300);
	server.started[0]!.response.end('answer 1;');
	await until(() => client.isClosed);
	assert.match(client.received, /answer 1;.*HTTP\/1\.1 408 /sv);
});

// Node answered 400 in place of the request in progress, which may have run, and closed the connection.
test('the requests before bytes that are no request are answered before the connection closes', async context => {
	const server = await TestServer.start(context, 10);
	const client = await server.connect();
	client.write(`${requestTo('/1')}${requestTo('/2')}no request\r\n\r\n`);
	await until(() => server.started.length === 1);
	await pause(100);
	assert.deepEqual([client.received, client.isClosed], ['', false]);
	server.started[0]!.response.end('answer 1;');
	await until(() => server.started.length === 2);
	server.started[1]!.response.end('answer 2;');
	await until(() => client.isClosed);
	assert.match(client.received, /answer 1;.*answer 2;.*HTTP\/1\.1 400 /sv);
});

test('bytes that are no request, and a head that is too slow or too large, are answered where no request is in progress', async context => {
	const server = await TestServer.start(context, 10, undefined, timeLimits);
	const received = async (text: string): Promise<string> => {
		const client = await server.connect();
		client.write(text);
		await until(() => client.isClosed);
		return client.received;
	};

	assert.match(await received('no request\r\n\r\n'), /^HTTP\/1\.1 400 .*Connection: close/sv);
	assert.match(await received('GET / HTTP/1.1\r\nHost'), /^HTTP\/1\.1 408 .*Connection: close/sv);
	assert.match(await received(`GET / HTTP/1.1\r\nX-Field: ${'x'.repeat(maxHead)}`), /^HTTP\/1\.1 431 .*Connection: close/sv);
});

test('a body that stops is timed out if its head was overdue behind another request and then complete', async context => {
	const server = await TestServer.start(context, 10, undefined, timeLimits);
	const client = await server.connect();
	client.write(`${requestTo('/1')}POST /2 HTTP/1.1\r\nHost`);
	await until(() => server.started.length === 1);
	await pause(300);
	server.started[0]!.response.end('answer 1;');
	client.write(': box\r\nContent-Length: 10\r\n\r\n');
	await until(() => server.started.length === 2);
	await until(() => client.isClosed);
	assert.match(client.received, /answer 1;.*HTTP\/1\.1 408 /sv);
});

// Node's time limit goes on for a malformed request, and its second error took the place of the answer in progress.
for (const [name, rest] of [['in its first line', 'no request\r\n\r\n'], ['in its head', 'GET /2 HTTP/1.1\r\nHost: box\r\nno field\r\n\r\n'], ['in its body', 'POST /2 HTTP/1.1\r\nHost: box\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n']] as const) {
	test(`a request that runs keeps its answer if the one behind it is malformed ${name} and the time limits pass`, async context => {
		const server = await TestServer.start(context, 10, undefined, timeLimits);
		const client = await server.connect();
		client.write(requestTo('/1') + rest);
		await until(() => server.started.length === 1);
		await pause(500);
		assert.deepEqual([client.received, client.isClosed], ['', false]);
		server.started[0]!.response.end('answer 1;');
		await until(() => client.isClosed);
		assert.match(client.received, /answer 1;.*HTTP\/1\.1 400 /sv);
	});
}
