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

test('a request reaches one replica with path, query, body and id as sent, the client account set and the key taken off', async () => {
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
	assert.ok(Number(request!.headers['deadline-ms']) <= 2000, 'the deadline handed on is what the route leaves');
});

test('a stream that may be resumed is begun elsewhere when its replica fails it before the first event, another is not', async () => {
	for (const replica of [first, second]) {
		replica.behave({fault: 'error'});
	}

	const failed = await installation.call({path: '/stream/x', method: 'POST', body: '1'});
	assert.equal(failed.status, 500, 'the replica\'s own answer goes to the client where nothing better comes');
	assert.deepEqual([first.runs.length, second.runs.length], [1, 1]);
	await installation.call({path: '/whole/x', method: 'POST', body: '1'});
	assert.equal(runs().length, 3);
});

test('headers that are the system\'s to set reach no replica as a client sent them', async () => {
	const sent = Object.fromEntries(Object.values(systemHeader).map(name => [name, '31']));
	// Each by itself too: one of them may hide another's passing.
	await installation.call({path: '/calls/all', headers: sent});
	await Promise.all(Object.entries(sent).map(async ([name, value]) => installation.call({path: `/calls/${name}`, headers: {[name]: value}})));
	assert.equal(seen().length, 1 + Object.keys(sent).length);
	for (const {headers, target} of seen()) {
		const passed = Object.keys(sent).filter(name => headers[name.toLowerCase()] === '31' && name !== systemHeader.deadline);
		assert.deepEqual(passed, [], target);
		assert.ok(Number(headers['deadline-ms']) <= 31 || !target.endsWith('all'), 'the client\'s own deadline bounds what is handed on');
	}
});

test('a body in chunks arrives whole, with a length', async () => {
	const view = await installation.call({
		path: '/calls/x', method: 'POST', body: 'chunked', headers: {'Transfer-Encoding': 'chunked'},
	});
	assert.equal(view.status, 200);
	assert.equal(seen()[0]!.body, 'chunked');
});

test('what no route takes is 404, an unknown key 401, and neither reaches a replica', async () => {
	const views = await Promise.all([
		installation.call({path: '/nowhere/x'}),
		installation.call({path: '/calls/x', host: 'other.example'}),
		installation.call({path: '/calls/x', headers: {Authorization: 'Bearer nobody'}}),
	]);
	assert.deepEqual(views.map(({status}) => status), [404, 404, 401]);
	assert.equal(seen().length, 0);
});

test('a request that may be repeated is sent again after a 500, once, and the good answer counts', async () => {
	first.behave({fault: 'error'});
	second.behave({fault: 'error'});
	const failed = await installation.call({path: '/calls/x'});
	assert.equal(failed.status, 500, 'the replica\'s own answer goes to the client where nothing better comes');
	assert.equal(runs().length, 2);
	second.behave({});
	const views = await Promise.all(Array.from({length: 6}, async () => installation.call({path: '/calls/x'})));
	assert.deepEqual(views.map(({status}) => status), Array.from({length: 6}, () => 200));
});

test('a failure that a replica made goes to the client also where the next try brings nothing before the deadline', async () => {
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

const badAnswers = ['reset', 'cut', 'wrong-id', 'encoded', 'unframed-reset', 'unframed-crash'] as const;
for (const fault of badAnswers) {
	test(`a request that may run once is sent once, and gets 502 when its answer is bad: ${fault}`, async () => {
		await assertOnceWith502(fault);
	});
}

test('a request that every replica refuses without running gets 503 with the time to come back', async () => {
	first.behave({fault: 'refuse'});
	second.behave({fault: 'refuse'});
	const view = await installation.call({path: '/once/x', method: 'POST', body: '1'});
	assert.equal(view.status, 503);
	assert.ok(Number(view.headers['retry-after']) > 0);
	assert.equal(runs().length, 0);
});

test('a replica that has its address no more gets nothing further, and the request runs elsewhere', async () => {
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

test('surplus bytes behind an answer reach no other request', async () => {
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

test('an answer without a length is whole when its connection ends', async () => {
	first.behave({fault: 'unframed'});
	second.behave({fault: 'unframed'});
	const view = await installation.call({path: '/calls/x'});
	assert.equal(view.status, 200);
	assert.match(view.body, /^answer of i-/v);
});

test('a stream that may be resumed goes on elsewhere with no event missing or doubled', async () => {
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

test('a stream that may not be resumed does not look whole when it was cut', async () => {
	first.behave({events: 10, fault: 'cut-stream'});
	second.behave({events: 10, fault: 'cut-stream'});
	const view = await installation.call({path: '/whole/x', method: 'POST', body: 'p'});
	assert.equal(view.isWhole, false);
	assert.equal(runs().length, 1);
});

test('a replica stops work when the client leaves, long before any time-out', async () => {
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

test('a request held to its route\'s time-out ends then, and is not said to have not run', async () => {
	first.behave({fault: 'mute'});
	second.behave({fault: 'mute'});
	const view = await installation.call({
		path: '/once/x', method: 'POST', body: '1', headers: {'Deadline-Ms': '300'},
	});
	assert.equal(view.status, 504);
	await until(() => seen()[0]!.isAbandoned);
});

test('a replica that drains gets no new request, also one seen draining by a late list', async () => {
	installation.list('i-2', {state: 'draining', seq: 2});
	await until(() => installation.relays[0]!.log.lines.some(({eventName, replica}) => eventName === 'replicaLeaving' && replica === 'i-2'));
	installation.list('i-2', {state: 'ready', seq: 3});
	await Promise.all(Array.from({length: 10}, async () => installation.call({path: '/calls/x'})));
	assert.equal(second.seen.length, 0);
	assert.equal(first.seen.length, 10);
});

test('connections to replicas are kept', async () => {
	const before = first.connections;
	for (const _ of Array.from({length: 10})) {
		await installation.call({path: '/calls/x', headers: {Authorization: `Bearer ${testKey}`}});
	}

	assert.ok(first.connections - before <= 2, `${first.connections - before} new connections for 10 requests`);
});
