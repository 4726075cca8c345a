/**
 * Guards against peers that send no valid messages: a frame that is no JSON text ended the process that received it, and an answer of another shape
 * ended the exchange with that peer for good.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import {WebSocket, WebSocketServer} from 'ws';
import {ampleResources} from '../../../development/harness/ample-resources.js';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {watchExceptions} from '../../../development/harness/uncaught-exceptions.js';
import type {BoxId, DataCentre} from '../../base/identifiers.js';
import {Peer, type PeerFailure} from '../peer.js';
import type {
	Exchange, ExchangeAnswer, RecordSnapshot, StoredTable,
} from '../peer-messages.js';
import {listenForPeers} from '../peer-server.js';
import {RemotePeer} from '../remote-peer.js';

const seed = 72;
const timeout = 60_000;
const drawnFrames = 3000;
/** Milliseconds within which a call must fail whose answer is malformed; far below the time after which an unanswered call fails. */
const failureTime = 1000;
const state = {
	box: 'box-2' as BoxId, dataCentre: 'a' as DataCentre, tableVersion: 1, inProgress: 0, isStopping: false, leaving: [],
};
const exchange: Exchange = {state, demands: [1, 2]};
const answer: ExchangeAnswer = {state, grants: [1]};

/** A peer that answers each call correctly. */
class SoundPeer extends Peer {
	override exchange(): Effect.Effect<ExchangeAnswer, PeerFailure> {
		return Effect.succeed(answer);
	}

	override announceLeaving(): Effect.Effect<void, PeerFailure> {
		return Effect.void;
	}

	override fetchTable(): Effect.Effect<StoredTable | undefined, PeerFailure> {
		return Effect.succeed({version: 1, value: ''});
	}

	override fetchRecord(): Effect.Effect<RecordSnapshot | undefined, PeerFailure> {
		return Effect.succeed(undefined);
	}

	override adoptRecords(): Effect.Effect<number, PeerFailure> {
		return Effect.succeed(0);
	}
}

/** Makes the frame with which the peer answers a call of this id. */
type FrameOf = (id: number) => string | Uint8Array;

/** @returns A client of a peer that answers with given frames. */
async function connectToAnswering(context: TestContext, frameOf: FrameOf): Promise<RemotePeer> {
	const server = new WebSocketServer({host: '127.0.0.1', port: 0});
	server.on('connection', socket => {
		socket.on('error', () => undefined);
		socket.on('message', data => {
			const messages = JSON.parse(Buffer.from(data as Uint8Array).toString()) as {readonly id: number} | ReadonlyArray<{readonly id: number}>;
			for (const {id} of [messages].flat()) {
				socket.send(frameOf(id));
			}
		});
	});
	await once(server, 'listening');
	const peer = RemotePeer.create('127.0.0.1', (server.address() as AddressInfo).port);
	context.after(() => {
		peer.close();
		for (const client of server.clients) {
			client.terminate();
		}

		server.close();
	});
	return peer;
}

const resultOf = (data: unknown): FrameOf => id => JSON.stringify({id, result: {type: 'data', data}});

const malformedFrames: Readonly<Record<string, FrameOf>> = {
	'text that is no JSON': () => 'no JSON',
	'an empty text': () => '',
	'a binary frame': id => Buffer.from(JSON.stringify({id, result: {data: answer}})),
	null: () => 'null',
	'a number': () => '5',
	'a text': () => '"text"',
	'an array': () => '[]',
	'a message without a result': id => JSON.stringify({id}),
	'a result that is no object': id => JSON.stringify({id, result: null}),
	'a result that is a text': id => JSON.stringify({id, result: 'data'}),
	'an error that is no object': id => JSON.stringify({id, error: 5}),
	'an error without a code': id => JSON.stringify({id, error: {}}),
	'a result of a subscription': id => JSON.stringify({id, result: {type: 'stopped'}}),
	'no content': resultOf(undefined),
	'content that is null': resultOf(null),
	'content without a state': resultOf({grants: []}),
	'content with another state': resultOf({state: {...state, leaving: 5}, grants: []}),
	'grants that are no numbers': resultOf({state, grants: ['a', null]}),
};

for (const [name, frameOf] of Object.entries(malformedFrames)) {
	test(`a call that a peer answers with ${name} fails alone`, {timeout}, async context => {
		const uncaught = watchExceptions(context);
		const peer = await connectToAnswering(context, frameOf);
		const startedAt = performance.now();
		const exit = await Effect.runPromiseExit(peer.exchange(exchange).pipe(Effect.as('answered'), Effect.catchTag('PeerFailure', () => Effect.succeed('failed'))));
		assert.deepEqual(exit, Exit.succeed('failed'));
		assert.ok(performance.now() - startedAt < failureTime, 'the call fails at once');
		await pause(50);
		assert.deepEqual(uncaught, []);
	});
}

test('a client calls a peer again that has sent a malformed frame', {timeout}, async context => {
	const uncaught = watchExceptions(context);
	let answered = 0;
	const peer = await connectToAnswering(context, id => {
		answered++;
		return answered === 1 ? 'no JSON' : String(resultOf(answer)(id));
	});
	assert.equal(Exit.isFailure(await Effect.runPromiseExit(peer.exchange(exchange))), true);
	const second = await Effect.runPromise(peer.exchange(exchange));
	assert.deepEqual(second, answer);
	assert.deepEqual(uncaught, []);
});

test('a client does not read an endless message of a peer', {timeout}, async context => {
	const uncaught = watchExceptions(context);
	const peer = await connectToAnswering(context, () => 'x'.repeat(20 * 1024 * 1024));
	assert.equal(Exit.isFailure(await Effect.runPromiseExit(peer.exchange(exchange))), true);
	await pause(50);
	assert.deepEqual(uncaught, []);
});

/** Opens the server of a peer, and a client that uses it correctly. */
async function startServer(context: TestContext): Promise<{readonly port: number; readonly peer: RemotePeer}> {
	const scope = await Effect.runPromise(Scope.make());
	const port = await Effect.runPromise(listenForPeers(new SoundPeer(), ampleResources(), '127.0.0.1', 0).pipe(Effect.provideService(Scope.Scope, scope)));
	const peer = RemotePeer.create('127.0.0.1', port);
	context.after(async () => {
		peer.close();
		await Effect.runPromise(Scope.close(scope, Exit.void));
	});
	assert.deepEqual(await Effect.runPromise(peer.exchange(exchange)), answer);
	return {port, peer};
}

const procedures = ['exchange', 'announceLeaving', 'fetchTable', 'fetchRecord', 'adoptRecords', '__proto__', ''];
const oddValues: readonly unknown[] = [null, true, '', '\uD800', '__proto__', 'a'.repeat(3000), 0, -1, 0.5, 1e308, [], [[]], {}, {a: 1}, [null], {jsonrpc: '2.0'}];

test('a server outlives drawn messages of a peer, and serves others', {timeout}, async context => {
	const uncaught = watchExceptions(context);
	const {port, peer} = await startServer(context);
	const random = createRandom(seed);
	const draw = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)]!;
	const drawMessage = (): unknown => random() < 0.2
		? draw(oddValues)
		: {
			id: draw<unknown>([1, 'a', null, {}, -1]),
			method: draw<unknown>(['query', 'mutation', 'subscription', 'subscription.stop', 5, undefined]),
			params: draw<unknown>([undefined, null, 5, {path: draw<unknown>([...procedures, 5]), input: draw<unknown>([exchange, {state, demands: [draw(oddValues)]}, draw(oddValues)])}]),
		};
	const hostile = new WebSocket(`ws://127.0.0.1:${port}`);
	hostile.on('error', () => undefined);
	await once(hostile, 'open');
	for (let index = 0; index < drawnFrames; index++) {
		const message = random() < 0.1 ? [drawMessage(), drawMessage()] : drawMessage();
		const data = Buffer.from(JSON.stringify(message));
		const cut = random() < 0.1 ? data.subarray(0, Math.floor(random() * data.length)) : data;
		hostile.send(cut, {binary: random() < 0.05});
		if (index % 100 === 0) {
			await pause(5);
		}
	}

	await pause(100);
	hostile.terminate();
	assert.deepEqual(await Effect.runPromise(peer.exchange(exchange)), answer);
	assert.deepEqual(uncaught, []);
});

test('a server outlives drawn bytes in place of a handshake or of frames, and serves others', {timeout}, async context => {
	const uncaught = watchExceptions(context);
	const {port, peer} = await startServer(context);
	const random = createRandom(seed);
	const drawBytes = (length: number): Uint8Array => Buffer.from(Array.from({length}, () => Math.floor(random() * 256)));
	const handshake = 'GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n';
	for (let index = 0; index < 200; index++) {
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		const head = Buffer.from(handshake);
		if (random() < 0.3) {
			head[Math.floor(random() * head.length)]! += 1;
		}

		socket.write(head);
		await pause(2);
		socket.write(drawBytes(1 + Math.floor(random() * 40)));
		await pause(1);
		socket.resetAndDestroy();
	}

	assert.deepEqual(await Effect.runPromise(peer.exchange(exchange)), answer);
	assert.deepEqual(uncaught, []);
});
