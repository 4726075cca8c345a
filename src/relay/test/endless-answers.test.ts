/**
 * Guards against responses that never end: a replica that sends until the caller closes held a request until its deadline and filled the
 * memory of its box. Each place of a response has a bound, after which the connection is closed and the response counts as garbled.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {
	bodyScripts, framingScripts, headScripts, surplusScripts,
} from '../../../development/harness/endless-scripts.js';
import {EndlessServer, type EndlessScript} from '../../../development/harness/endless-server.js';
import {ScriptedServer} from '../../../development/harness/scripted-server.js';
import {SocketMeter} from '../../../development/harness/socket-meter.js';
import {PlatformRelayFormat} from '../../../platform/relay-format.js';
import {SystemClock} from '../../base/clock.js';
import {ReplicaConnections} from '../../replicas/replica-connections.js';
import type {AttemptFailure} from '../attempt-failure.js';
import {ClientAnswer} from '../client-answer.js';
import {RelayMetrics} from '../relay-metrics.js';
import {openAnswer, readBody, type OpenAnswer} from '../replica-exchange.js';
import {StreamForwarder} from '../stream-forwarder.js';

const kibibyte = 1024;
const maxHeadBytes = 16 * kibibyte;
const maxBodyBytes = 16 * kibibyte * kibibyte;
const maxEventBytes = 64 * kibibyte;
/** Two reads of a connection, in which a bound may be passed, and a head. */
const readBytes = 2 * 64 * kibibyte;
/** Milliseconds within which a connection is closed once it has passed the bound. */
const maxHeldFor = 1000;
/** Milliseconds after which a test gives up a response. */
const patience = 6000;
const id = 'a-1';
const timeout = 20_000;

type Reader = (answer: OpenAnswer) => Effect.Effect<unknown, AttemptFailure>;

const outgoing = {
	id, method: 'GET', path: '/', headers: ['Host', 'x', 'Attempt-Id', id, 'Connection', 'keep-alive'], body: undefined,
};

/** @returns How an exchange with a server on this port ended: the reason and verdict of its failure, or its result. */
const exchange = async (connections: ReplicaConnections, read: Reader): Promise<unknown> => {
	const format = PlatformRelayFormat.create();
	const exchanged = connections.acquire(false).pipe(
		Effect.flatMap(({socket}) => openAnswer({connections, socket, format}, outgoing)),
		Effect.flatMap(answer => read(answer)),
		Effect.catchTag('AttemptFailure', ({reason, verdict}) => Effect.succeed(`${reason}, ${verdict}`)),
		Effect.timeoutOption(patience),
	);
	const result = await Effect.runPromise(exchanged);
	return result._tag === 'Some' ? result.value : 'no result';
};

const poolOf = (port: number): ReplicaConnections => ReplicaConnections.create({host: '127.0.0.1', port, clock: SystemClock.create()});

/** What became of an exchange with an endless server. */
type Outcome = {readonly result: unknown; readonly bytes: number; readonly heldFor: number; readonly closedByServer: number};

const exchangeEndless = async (script: EndlessScript, bound: number, read: Reader): Promise<Outcome> => {
	const meter = SocketMeter.create(bound);
	const server = await EndlessServer.create(script);
	const connections = poolOf(server.port);
	const result = await exchange(connections, read);
	const end = performance.now() + maxHeldFor;
	while (!meter.areClosed && performance.now() < end) {
		await pause(5);
	}

	const outcome = {
		result, bytes: meter.bytes, heldFor: meter.heldFor, closedByServer: server.closedByServer,
	};
	meter.close();
	connections.close();
	connections.destroyInUse();
	server.close();
	return outcome;
};

const assertBounded = ({bytes, heldFor, closedByServer}: Outcome, maxBytes: number): void => {
	assert.ok(bytes <= maxBytes + readBytes, `${bytes} bytes were taken, ${maxBytes} allowed`);
	assert.ok(heldFor <= maxHeldFor, `the connection stayed open for ${heldFor} ms after the bound`);
	assert.equal(closedByServer, 0, 'the server closed the connection itself');
};

for (const [place, script] of Object.entries(headScripts)) {
	test(`a head that does not end is given up as garbled: ${place}`, {timeout}, async () => {
		const outcome = await exchangeEndless(script, maxHeadBytes, readBody);
		assert.equal(outcome.result, 'garbled, may-have-run');
		assertBounded(outcome, maxHeadBytes);
	});
}

for (const [place, script] of Object.entries(framingScripts)) {
	test(`framing of a body that does not end is given up as garbled: ${place}`, {timeout}, async () => {
		const outcome = await exchangeEndless(script, maxHeadBytes, readBody);
		assert.equal(outcome.result, 'garbled, may-have-run');
		assertBounded(outcome, maxHeadBytes);
	});
}

for (const [place, script] of Object.entries(bodyScripts)) {
	test(`a body that does not end is given up as garbled: ${place}`, {timeout}, async () => {
		const outcome = await exchangeEndless(script, maxBodyBytes, readBody);
		assert.equal(outcome.result, 'garbled, may-have-run');
		assertBounded(outcome, maxBodyBytes * 1.01);
	});
}

for (const [place, script] of Object.entries(surplusScripts)) {
	test(`a complete response is delivered and its connection closed if the replica goes on: ${place}`, {timeout}, async () => {
		const outcome = await exchangeEndless(script, maxHeadBytes, answer => readBody(answer).pipe(Effect.map(body => Buffer.from(body).toString())));
		assert.equal(outcome.result, 'body');
		assertBounded(outcome, maxHeadBytes);
	});

	test(`a complete response that is not read yet does not keep its connection open if the replica goes on: ${place}`, {timeout}, async () => {
		const outcome = await exchangeEndless(script, maxHeadBytes, answer => Effect.sleep(500).pipe(Effect.andThen(readBody(answer)), Effect.map(body => Buffer.from(body).toString())));
		assert.equal(outcome.result, 'body');
		assertBounded(outcome, maxHeadBytes);
	});
}

/** A client on loopback that receives a stream through a forwarder. */
const withClient = async (use: (forwarder: StreamForwarder, client: ClientAnswer) => Promise<void>): Promise<{readonly status: number; readonly body: string; readonly isWhole: boolean}> => {
	const front = createServer((_, response: ServerResponse) => {
		const client = ClientAnswer.create(response, () => false);
		const forwarder = StreamForwarder.create({
			client, format: PlatformRelayFormat.create(), metrics: RelayMetrics.create(), lastEventId: undefined,
		});
		void use(forwarder, client);
	});
	front.listen(0, '127.0.0.1');
	await once(front, 'listening');
	try {
		const response = await fetch(`http://127.0.0.1:${(front.address() as AddressInfo).port}/`);
		let body = '';
		try {
			for await (const piece of response.body!) {
				body += Buffer.from(piece).toString('latin1');
			}

			return {status: response.status, body, isWhole: true};
		} catch {
			return {status: response.status, body, isWhole: false};
		}
	} finally {
		front.closeAllConnections();
		front.close();
	}
};

const streamHead = (framing: string) => (attempt: string): string => `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\n${framing}\r\nid: 1\ndata: a\n\n`;
const chunkedHead = (attempt: string): string => `HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: abc\n\n\r\n`;

/** Streams that go on without end after a first event. */
const streamScripts: Readonly<Record<string, EndlessScript & {readonly maxBytes: number}>> = {
	'an event without chunks': {start: streamHead(''), piece: 'data', maxBytes: maxEventBytes},
	'an event in chunks': {start: chunkedHead, piece: '4\r\ndata\r\n', maxBytes: maxEventBytes * 3},
	'an event of many lines': {start: streamHead(''), piece: 'data: a\n', maxBytes: maxEventBytes},
	'the extension of a chunk': {start: attempt => `${chunkedHead(attempt)}5;a=`, piece: 'x', maxBytes: maxHeadBytes},
	'a trailer': {start: attempt => `${chunkedHead(attempt)}0\r\nX:`, piece: ' ', maxBytes: maxHeadBytes},
};

for (const [place, {maxBytes, ...script}] of Object.entries(streamScripts)) {
	test(`a stream that does not end is given up as garbled and cut for its client: ${place}`, {timeout}, async () => {
		let outcome: Outcome | undefined;
		const view = await withClient(async (forwarder, client) => {
			outcome = await exchangeEndless(script, maxBytes, answer => forwarder.forward(answer, {onFirstEvent: () => undefined, onBytes: () => undefined}));
			client.cut('upstream-cut');
		});
		assert.equal(outcome!.result, 'garbled, may-have-run');
		assertBounded(outcome!, maxBytes);
		assert.deepEqual([view.status, view.isWhole], [200, false]);
		assert.match(view.body, /^id: 1\ndata: a(?:bc)?\n\n$/v, 'only the complete event may reach the client');
	});
}

test('an event that arrives whole but is too long is not passed on', {timeout}, async () => {
	const server = await ScriptedServer.create();
	server.script = {pieces: [`${streamHead('Connection: close\r\n')(id)}id: 2\ndata: ${'x'.repeat(maxEventBytes - 100)}`, `${'x'.repeat(200)}\n\nid: 3\ndata: c\n\n`], ending: 'close'};
	let result: unknown;
	const view = await withClient(async (forwarder, client) => {
		result = await exchange(poolOf(server.port), answer => forwarder.forward(answer, {onFirstEvent: () => undefined, onBytes: () => undefined}));
		client.cut('upstream-cut');
	});
	server.close();
	assert.equal(result, 'garbled, may-have-run');
	assert.deepEqual([view.body, view.isWhole], ['id: 1\ndata: a\n\n', false]);
});

test('a stream of many events passes, however long it is in total', {timeout}, async () => {
	const events = Array.from({length: 40}, (_, index) => `id: ${index + 2}\ndata: ${'x'.repeat(maxEventBytes - 100)}\n\n`);
	const server = await ScriptedServer.create();
	server.script = {pieces: [streamHead('Connection: close\r\n')(id), ...events], ending: 'close'};
	let result: unknown = 'not run';
	const view = await withClient(async forwarder => {
		result = await exchange(poolOf(server.port), answer => forwarder.forward(answer, {onFirstEvent: () => undefined, onBytes: () => undefined}));
	});
	server.close();
	assert.equal(result, undefined);
	assert.deepEqual([view.body.length, view.isWhole], ['id: 1\ndata: a\n\n'.length + events.join('').length, true]);
});

test('legitimate responses pass: eight interim ones, a large head, a body below the bound with and without a length, small chunks, trailers', {timeout}, async () => {
	const server = await ScriptedServer.create();
	const large = 'x'.repeat(maxBodyBytes - 1000);
	const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\n`;
	const longChunks = Array.from({length: 10}, () => [`1;extension=${'x'.repeat(900)}`, '\r\nx\r\n']).flat();
	const smallChunk = '1;extension=value\r\nx\r\n';
	const responses: ReadonlyArray<readonly [pieces: readonly string[], length: number]> = [
		[[`${'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'.repeat(8)}${head}Content-Length: 4\r\n\r\nbody`], 4],
		[[`${head}X: ${'x'.repeat(15_000)}\r\nContent-Length: 4\r\n\r\nbody`], 4],
		[[`${head}Content-Length: ${large.length}\r\n\r\n${large.slice(0, 1000)}`, ...Array.from({length: 20}, () => ''), large.slice(1000)], large.length],
		[[`${head}Connection: close\r\n\r\n${large}`], large.length],
		[[`${head}Transfer-Encoding: chunked\r\n\r\n${smallChunk.repeat(20_000)}0\r\n\r\n`], 20_000],
		[[`${head}Transfer-Encoding: chunked\r\n\r\n`, ...longChunks, '0\r\n', 'X: y\r\n', `Y: ${'y'.repeat(900)}\r\n`, '\r\n'], 10],
	];
	for (const [index, [pieces, length]] of responses.entries()) {
		server.script = {pieces: pieces.filter((piece, at) => at === 0 || piece !== ''), ending: index === 3 ? 'close' : 'open'};
		const result = await exchange(poolOf(server.port), answer => readBody(answer).pipe(Effect.map(body => body.length)));
		assert.equal(result, length, `response ${index}`);
	}

	server.close();
});
