/**
 * An answer of the platform that was not what the interface says threw inside the task that read it, or was trusted: a version that was no
 * number was compared with others, and one odd box stood among the good ones.
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

const odd = ['oops', '', 'null', '[]', '{"version":"1","value":7}', '{"version":1,"val'];

test('an answer of the object store that cannot be read is a failure, and a write of which it tells may have applied', async () => {
	const store = HttpObjectStore.create(client);
	const calls = [store.read('k'), store.write('k', 'v', 0), store.watch('k', 0, 0), store.list('k')];
	for (const body of odd) {
		answerWith(body);
		for (const call of calls) {
			const failure = await Effect.runPromise(Effect.flip(call as Effect.Effect<unknown, {readonly _tag: string; readonly mayHaveApplied?: boolean}>));
			assert.deepEqual([failure._tag, failure.mayHaveApplied], ['StoreFailure', true], body);
		}
	}
});

test('a box list that cannot be read is a failure', async () => {
	const list = HttpBoxList.create(client);
	for (const body of odd) {
		answerWith(body);
		for (const call of [list.boxes(0, 0), list.notices(0, 0)]) {
			const failure = await Effect.runPromise(Effect.flip(call as Effect.Effect<unknown, {readonly _tag: string}>));
			assert.equal(failure._tag, 'StoreFailure', body);
		}
	}
});

test('an entry of the box list that cannot be read is left out and told, and the others hold', async () => {
	const list = HttpBoxList.create(client);
	for (const entry of [null, 7, {}, {...box, port: 'http'}, {...box, id: 9}, {...box, role: 'toaster'}]) {
		answerWith(JSON.stringify({version: 3, boxes: [box, entry, {...box, id: 'engine-2'}]}));
		const listing = await Effect.runPromise(list.boxes(0, 0));
		assert.deepEqual(listing?.boxes.map(({id}) => id as string), ['engine-1', 'engine-2'], JSON.stringify(entry));
		assert.equal(listing?.unreadable?.length, 1);
	}
});

test('a notice that cannot be read is left out and told, and the others hold', async () => {
	const list = HttpBoxList.create(client);
	answerWith(JSON.stringify({position: 2, notices: [{box: 'engine-1', remaining: 'soon'}, {box: 'engine-2', remaining: 9}]}));
	const {position, notices, unreadable} = await Effect.runPromise(list.notices(0, 0));
	assert.deepEqual([position, notices, unreadable?.length], [2, [{box: 'engine-2', remaining: 9}], 1]);
});
