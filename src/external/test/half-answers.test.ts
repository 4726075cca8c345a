import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {after, test} from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import {SystemClock} from '../../base/clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {HttpClient} from '../../base/http-client.js';
import {Metrics} from '../../base/metrics.js';
import {ClaimShard} from '../../claims/claim-shard.js';
import {HttpBoxList} from '../http-box-list.js';
import {HttpObjectStore} from '../http-object-store.js';

/** Milliseconds after which an operation of a shard counts as hanging; the shard itself times out after three seconds. */
const maxOperationMs = 6000;
const completeBody = JSON.stringify({version: 4, value: '{}', storeTime: 1});
const servers: Server[] = [];

after(() => {
	for (const server of servers) {
		server.close();
	}
});

/**
 * Starts a server that answers each call with the next body and repeats the last one. The answers have no length, so that each ends
 * when its connection closes.
 *
 * @returns A client of the server.
 */
const createScriptedClient = async (bodies: readonly string[], status = 200): Promise<HttpClient> => {
	let calls = 0;
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(`HTTP/1.1 ${status} Answer\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n${bodies[Math.min(calls, bodies.length - 1)]!}`);
			calls++;
		});
	});
	servers.push(server);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return HttpClient.create('127.0.0.1', (server.address() as AddressInfo).port);
};

const truncatedBodies = Array.from({length: completeBody.length}, (_, length) => completeBody.slice(0, length));
const invalidBodies = ['[]', 'null', '{}', '{"version":4}', '{"version":"4","value":"{}","storeTime":1}', '<html></html>'];

test('an incomplete or invalid answer of the Object API is a failure, wherever it is truncated', async () => {
	const tags = await Promise.all([...truncatedBodies, ...invalidBodies].map(async body => {
		const store = HttpObjectStore.create(await createScriptedClient([body]));
		const read = await Effect.runPromise(Effect.result(store.read('a')));
		const watched = await Effect.runPromise(Effect.result(store.watch('a', 1, 0)));
		return [read, watched].map(result => result._tag === 'Failure' ? result.failure._tag : `accepted: ${body}`);
	}));
	assert.deepEqual(tags.flat(), tags.flat().map(() => 'StoreFailure'));
});

test('a write whose answer is truncated may have been applied', async () => {
	const store = HttpObjectStore.create(await createScriptedClient(['{"vers']));
	const written = await Effect.runPromise(Effect.result(store.write('a', '{}', 0)));
	assert.ok(written._tag === 'Failure' && written.failure._tag === 'StoreFailure' && written.failure.mayHaveApplied);
});

test('a claim shard whose object was read incompletely continues as soon as the object is read completely', async () => {
	const shard = ClaimShard.create('claims/0', {
		store: HttpObjectStore.create(await createScriptedClient([completeBody.slice(0, 20), completeBody])),
		clock: SystemClock.create(), log: SilentEventLog.create(), metrics: Metrics.create(),
	});
	const exit = await Effect.runPromiseExit(shard.run('a', entry => ({write: undefined, outcome: entry})).pipe(Effect.timeout(maxOperationMs)));
	assert.ok(Exit.isSuccess(exit), 'the operation completes');
});

test('truncated or invalid answers with the box list or the notices are failures', async () => {
	for (const body of ['{"version":3,"boxes":[', '{"version":3}', '{"boxes":[]}', '[]', '{"version":3,"boxes":{}}', '']) {
		const boxes = await Effect.runPromise(Effect.result(HttpBoxList.create(await createScriptedClient([body])).boxes(0, 0)));
		assert.equal(boxes._tag === 'Failure' && boxes.failure._tag, 'StoreFailure', body);
	}

	for (const body of ['{"position":3,"notices":[', '{"position":3}', '{"notices":[]}', '[]', '']) {
		const notices = await Effect.runPromise(Effect.result(HttpBoxList.create(await createScriptedClient([body])).notices(0, 0)));
		assert.equal(notices._tag === 'Failure' && notices.failure._tag, 'StoreFailure', body);
	}
});
