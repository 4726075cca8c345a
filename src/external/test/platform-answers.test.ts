/**
 * Guards against answers of the platform that violate its interface. They must not throw inside the task that reads them, and must not be
 * trusted: for example, a version that is not a number is compared with others, or an invalid box is listed among valid ones.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ScriptedServer} from '../../../development/harness/scripted-server.js';
import {HttpClient} from '../../base/http-client.js';
import {HttpBoxList} from '../http-box-list.js';
import {HttpObjectStore} from '../http-object-store.js';

const box = {
	id: 'engine-1', role: 'model-engine', dataCentre: 'dc-1', host: '10.0.0.1', port: 80, pool: 'engines', machineClass: 'm', reclaimable: true, price: 1, state: 'live',
};

let server: ScriptedServer;
let client: HttpClient;

before(async () => {
	server = await ScriptedServer.create();
	client = HttpClient.create('127.0.0.1', server.port);
});

after(() => {
	client.close();
	server.close();
});

const answerWith = (body: string): void => {
	server.script = {pieces: [`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`], ending: 'open'};
};

const invalidBodies = ['oops', '', 'null', '[]', '{"version":"1","value":7}', '{"version":1,"val'];

test('an invalid answer of the object store is a failure, and the write may have been applied', async () => {
	const store = HttpObjectStore.create(client);
	const calls = [store.read('k'), store.write('k', 'v', 0), store.watch('k', 0, 0), store.list('k')];
	for (const body of invalidBodies) {
		answerWith(body);
		for (const call of calls) {
			const failure = await Effect.runPromise(Effect.flip(call as Effect.Effect<unknown, {readonly _tag: string; readonly mayHaveApplied?: boolean}>));
			assert.deepEqual([failure._tag, failure.mayHaveApplied], ['StoreFailure', true], body);
		}
	}
});

test('an invalid answer with the box list or the notices is a failure', async () => {
	const list = HttpBoxList.create(client);
	for (const body of invalidBodies) {
		answerWith(body);
		for (const call of [list.boxes(0, 0), list.notices(0, 0)]) {
			const failure = await Effect.runPromise(Effect.flip(call as Effect.Effect<unknown, {readonly _tag: string}>));
			assert.equal(failure._tag, 'StoreFailure', body);
		}
	}
});

test('an invalid entry of the box list is skipped and reported, and the others are kept', async () => {
	const list = HttpBoxList.create(client);
	for (const entry of [null, 7, {}, {...box, port: 'http'}, {...box, id: 9}, {...box, role: 'toaster'}]) {
		answerWith(JSON.stringify({version: 3, boxes: [box, entry, {...box, id: 'engine-2'}]}));
		const listing = await Effect.runPromise(list.boxes(0, 0));
		assert.deepEqual(listing?.boxes.map(({id}) => id as string), ['engine-1', 'engine-2'], JSON.stringify(entry));
		assert.equal(listing?.unreadable?.length, 1);
	}
});

test('an invalid notice is skipped and reported, and the others are kept', async () => {
	const list = HttpBoxList.create(client);
	answerWith(JSON.stringify({position: 2, notices: [{box: 'engine-1', remaining: 'soon'}, {box: 'engine-2', remaining: 9}]}));
	const {position, notices, unreadable} = await Effect.runPromise(list.notices(0, 0));
	assert.deepEqual([position, notices, unreadable?.length], [2, [{box: 'engine-2', remaining: 9}], 1]);
});
