import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {
	afterEach, before, after, test,
} from 'node:test';
import {
	RelayInstallation, testKey, until,
} from '../../../development/relay/relay-installation.js';
import {systemHeader} from '../../../platform/names.js';
import type {ReplicaConduct, ReplicaStandin, SeenRequest} from '../../../development/relay/replica-standin.js';

let installation: RelayInstallation;
let first: ReplicaStandin;
let second: ReplicaStandin;

before(async () => {
	installation = await RelayInstallation.start({relays: 1, replicas: ['i-1', 'i-2']});
	first = installation.replicas.get('i-1')!;
	second = installation.replicas.get('i-2')!;
});

afterEach(() => {
	for (const replica of [first, second]) {
		replica.behave({});
		replica.seen.length = 0;
	}
});

after(async () => installation.close());

const seen = (): readonly SeenRequest[] => [...first.seen, ...second.seen];
const runs = (): readonly SeenRequest[] => [...first.runs, ...second.runs];

test('a request reaches one replica with its path, query, body and id unchanged, the client account set and the key removed', async () => {
	const view = await installation.call({
		path: '/calls/a%2Fb?x=1', method: 'POST', body: 'bytes', headers: {'Attempt-Id': 'abc', Tenant: 'somebody', 'X-Own': 'kept'},
	});
	assert.equal(view.status, 200);
	assert.match(String(view.headers['server-stamp']), /^stamp-i-/v);
	const [request] = seen();
	assert.equal(seen().length, 1);
	assert.deepEqual([request!.id, request!.method, request!.target, request!.body], ['abc', 'POST', '/calls/a%2Fb?x=1', 'bytes']);
	assert.equal(request!.headers.tenant, 'basin');
	assert.equal(request!.headers.authorization, undefined);
	assert.equal(request!.headers['x-own'], 'kept');
	assert.ok(Number(request!.headers['deadline-ms']) <= 2000, 'the deadline that is passed on is bounded by the timeout of the route');
});

test('a resumable stream is retried at another replica after a failure before the first event, and other streams are not', async () => {
	for (const replica of [first, second]) {
		replica.behave({fault: 'error'});
	}

	const failed = await installation.call({path: '/stream/x', method: 'POST', body: '1'});
	assert.equal(failed.status, 500, 'the client gets the error response of a replica if no attempt succeeds');
	assert.deepEqual([first.runs.length, second.runs.length], [1, 1]);
	await installation.call({path: '/whole/x', method: 'POST', body: '1'});
	assert.equal(runs().length, 3);
});

test('values that a client sends for headers of the system reach no replica', async () => {
	const sent = Object.fromEntries(Object.values(systemHeader).map(name => [name, '31']));
	// Each header is also sent alone: one of them may hide that another is passed on.
	await installation.call({path: '/calls/all', headers: sent});
	await Promise.all(Object.entries(sent).map(async ([name, value]) => installation.call({path: `/calls/${name}`, headers: {[name]: value}})));
	assert.equal(seen().length, 1 + Object.keys(sent).length);
	for (const {headers, target} of seen()) {
		const passed = Object.keys(sent).filter(name => headers[name.toLowerCase()] === '31' && name !== systemHeader.deadline);
		assert.deepEqual(passed, [], target);
		assert.ok(Number(headers['deadline-ms']) <= 31 || !target.endsWith('all'), 'the deadline of the client bounds the one that is passed on');
	}
});

test('a chunked body arrives complete, with a length', async () => {
	const view = await installation.call({
		path: '/calls/x', method: 'POST', body: 'chunked', headers: {'Transfer-Encoding': 'chunked'},
	});
	assert.equal(view.status, 200);
	assert.equal(seen()[0]!.body, 'chunked');
});

test('a request without a route gets 404, one with an unknown key gets 401, and neither reaches a replica', async () => {
	const views = await Promise.all([
		installation.call({path: '/nowhere/x'}),
		installation.call({path: '/calls/x', host: 'other.example'}),
		installation.call({path: '/calls/x', headers: {Authorization: 'Bearer nobody'}}),
	]);
	assert.deepEqual(views.map(({status}) => status), [404, 404, 401]);
	assert.equal(seen().length, 0);
});

test('a retryable request is retried once after a 500, and the client gets the successful response', async () => {
	first.behave({fault: 'error'});
	second.behave({fault: 'error'});
	const failed = await installation.call({path: '/calls/x'});
	assert.equal(failed.status, 500, 'the client gets the error response of a replica if no attempt succeeds');
	assert.equal(runs().length, 2);
	second.behave({});
	const views = await Promise.all(Array.from({length: 6}, async () => installation.call({path: '/calls/x'})));
	assert.deepEqual(views.map(({status}) => status), Array.from({length: 6}, () => 200));
});

test('the error response of a replica goes to the client if the next attempt gets no response before the deadline', async () => {
	first.behave({fault: 'error', delay: 900});
	second.behave({fault: 'error', delay: 900});
	const view = await installation.call({path: '/calls/x', headers: {'Deadline-Ms': '1500'}});
	assert.equal(view.status, 500);
	assert.match(String(view.headers['server-stamp']), /^stamp-i-/v);
	assert.equal(runs().length, 2);
});

const assertOnceWith502 = async (fault: ReplicaConduct['fault']): Promise<void> => {
	first.behave({fault});
	second.behave({fault});
	const view = await installation.call({path: '/once/x', method: 'POST', body: '1'});
	assert.equal(view.status, 502);
	assert.equal(runs().length, 1);
	assert.equal(view.headers['retry-after'], undefined);
};

const invalidResponses = ['reset', 'cut', 'wrong-id', 'encoded', 'unframed-reset', 'unframed-crash'] as const;
for (const fault of invalidResponses) {
	test(`a request that may run only once is sent once, and gets 502 when its response is invalid: ${fault}`, async () => {
		await assertOnceWith502(fault);
	});
}

test('a request that every replica refuses without running it gets 503 with a retry time', async () => {
	first.behave({fault: 'refuse'});
	second.behave({fault: 'refuse'});
	const view = await installation.call({path: '/once/x', method: 'POST', body: '1'});
	assert.equal(view.status, 503);
	assert.ok(Number(view.headers['retry-after']) > 0);
	assert.equal(runs().length, 0);
});

test('a replica whose address now belongs to another one gets no further requests, and the request runs at another replica', async () => {
	first.behave({fault: 'elsewhere'});
	const views = await Promise.all(Array.from({length: 8}, async () => installation.call({path: '/once/x', method: 'POST', body: '1'})));
	assert.ok(views.every(({status}) => status === 200));
	const misdirected = first.seen.length;
	await installation.call({path: '/once/x', method: 'POST', body: '1'});
	assert.equal(first.seen.length, misdirected);
	installation.unlist('i-1');
	await until(() => installation.relays[0]!.log.lines.some(({eventName, replica}) => eventName === 'replicaGone' && replica === 'i-1'));
	await first.close();
	first = await installation.addReplica('i-1b');
	await until(() => installation.relays[0]!.log.lines.some(({replica, eventName}) => eventName === 'replicaListed' && replica === 'i-1b'));
});

test('surplus bytes after a response do not reach another request', async () => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	first.behave({fault: 'extra'});
	second.behave({fault: 'extra'});
	const views = [];
	for (const index of [1, 2, 3, 4, 5, 6]) {
		views.push(await installation.call({path: '/calls/x', headers: {'Attempt-Id': `e-${index}`}, agent}));
	}

	agent.destroy();
	assert.ok(views.every(({body}) => body.startsWith('answer of')));
	assert.deepEqual(views.map(({headers}) => headers['attempt-id']), [1, 2, 3, 4, 5, 6].map(index => `e-${index}`));
});

test('a response without a length is complete when its connection ends', async () => {
	first.behave({fault: 'unframed'});
	second.behave({fault: 'unframed'});
	const view = await installation.call({path: '/calls/x'});
	assert.equal(view.status, 200);
	assert.match(view.body, /^answer of i-/v);
});

test('a resumable stream continues at another replica with no event missing or duplicated', async () => {
	first.behave({events: 10, fault: 'cut-stream'});
	second.behave({events: 10, fault: 'cut-stream'});
	const views = await Promise.all(Array.from({length: 9}, async () => installation.call({path: '/stream/x', method: 'POST', body: 'p'})));
	for (const {body, isWhole} of views) {
		const ids = [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(match => match.groups!.id);
		assert.ok(isWhole);
		assert.deepEqual(ids, Array.from({length: 10}, (_, index) => String(index + 1)));
		assert.match(body, /^(?:id: (?<id>\d+)\ndata: i-\w+-\k<id> ü\n\n){10}$/v, 'no part of a cut event is passed on');
	}

	const resumed = seen().filter(({headers}) => headers['last-event-id'] === '5');
	assert.equal(resumed.length, 9);
});

test('a stream that is not resumable does not look complete to the client when it was cut', async () => {
	first.behave({events: 10, fault: 'cut-stream'});
	second.behave({events: 10, fault: 'cut-stream'});
	const view = await installation.call({path: '/whole/x', method: 'POST', body: 'p'});
	assert.equal(view.isWhole, false);
	assert.equal(runs().length, 1);
});

test('a replica stops a run when the client disconnects, long before any timeout', async () => {
	first.behave({events: 3000, gap: 20});
	second.behave({events: 3000, gap: 20});
	const leaving = new AbortController();
	const call = installation.call({
		path: '/long/x', method: 'POST', body: 'p', headers: {'Deadline-Ms': '60000'}, signal: leaving.signal,
	});
	await until(() => seen().length > 0);
	leaving.abort();
	await assert.rejects(call);
	await until(() => seen()[0]!.isAbandoned);
});

test('a request that gets no response before its deadline ends with 504, which does not claim that it was not run', async () => {
	first.behave({fault: 'mute'});
	second.behave({fault: 'mute'});
	const view = await installation.call({
		path: '/once/x', method: 'POST', body: '1', headers: {'Deadline-Ms': '300'},
	});
	assert.equal(view.status, 504);
	await until(() => seen()[0]!.isAbandoned);
});

test('a draining replica gets no new request, even if a later entry says that it is ready', async () => {
	installation.list('i-2', {state: 'draining', seq: 2});
	await until(() => installation.relays[0]!.log.lines.some(({eventName, replica}) => eventName === 'replicaLeaving' && replica === 'i-2'));
	installation.list('i-2', {state: 'ready', seq: 3});
	await Promise.all(Array.from({length: 10}, async () => installation.call({path: '/calls/x'})));
	assert.equal(second.seen.length, 0);
	assert.equal(first.seen.length, 10);
});

test('connections to replicas are kept alive and reused', async () => {
	const before = first.connections;
	for (const _ of Array.from({length: 10})) {
		await installation.call({path: '/calls/x', headers: {Authorization: `Bearer ${testKey}`}});
	}

	assert.ok(first.connections - before <= 2, `${first.connections - before} new connections for 10 requests`);
});
