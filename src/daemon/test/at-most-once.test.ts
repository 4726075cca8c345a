import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {after, before, test} from 'node:test';
import {shardOf} from '../../claims/store-claim-ledger.js';
import type {ClientAccountName, RequestKey} from '../../base/identifiers.js';
import {control, until, type Installation} from '../../../development/harness/installation.js';
import {
	callerAt, callerOf, startInstallation, testKeys,
} from '../../../development/harness/small-installation.js';

let installation: Installation;
/** The client account whose key the calls carry. */
const account = 'alpha' as ClientAccountName;

before(async () => {
	installation = await startInstallation({
		entries: 3, engines: 0, services: 1, dataCentres: 1,
	});
});

after(async () => installation.close());

const service = () => installation.members.get('service-1')!.box.port;
const faults = async (value: unknown) => control(service(), 'faults', value);
const platformFaults = async (value: unknown) => control(installation.platformPort, 'faults', value);

async function executionsOf(key: string): Promise<number> {
	const executions = await control(service(), 'executions', {}) as Readonly<Record<string, number>>;
	return executions[key] ?? 0;
}

const release = (key: string) => ({
	service: 'orders', path: '/release', key, body: `{"order":"${key}"}`,
});

type CallOutcome = {readonly status: number; readonly verdict: string | undefined; readonly reason: string | undefined};

async function postOnce(port: number, key: string): Promise<CallOutcome> {
	const answer = await fetch(`http://127.0.0.1:${port}/v1/services/orders/release`, {
		method: 'POST', body: release(key).body, headers: {Authorization: `Bearer ${testKeys.alpha}`, 'Idempotency-Key': key},
	});
	const {verdict, reason} = await answer.json() as {readonly verdict?: string; readonly reason?: string};
	return {status: answer.status, verdict, reason};
}

test('a request sent with the same key to three boxes at once runs once, and all three callers get its answer', async () => {
	await faults({before: 30});
	const key = randomUUID();
	const callers = installation.entries.map(member => callerAt([member]));
	const results = await Promise.all(callers.map(async caller => caller.call(release(key))));
	assert.deepEqual(results.map(({judgement}) => judgement.kind), ['answered', 'answered', 'answered']);
	assert.equal(await executionsOf(key), 1);
	await faults({before: 2});
});

test('a request runs once if the platform loses the answer to the write of its claim', async () => {
	const keys = Array.from({length: 5}, () => randomUUID());
	for (const key of keys) {
		await platformFaults({loseAnswers: 1});
		const {judgement} = await callerOf(installation).call(release(key));
		assert.equal(judgement.kind, 'answered');
		assert.equal(await executionsOf(key), 1);
	}
});

test('during an outage of the platform a release is refused as not run, and does not run', async () => {
	await platformFaults({outage: true});
	const key = randomUUID();
	const {status, verdict} = await postOnce(installation.entries[0]!.box.port, key);
	assert.deepEqual({status, verdict}, {status: 503, verdict: 'not-run'});
	assert.equal(await executionsOf(key), 0);
	await platformFaults({outage: false});
	await until(async () => {
		const answer = await postOnce(installation.entries[0]!.box.port, key);
		return answer.status === 200;
	});
	assert.equal(await executionsOf(key), 1);
});

test('a call whose connection is cut after execution is answered with may-have-run, and is not sent again', async () => {
	await faults({cutAnswers: 1});
	const key = randomUUID();
	const [first, second] = installation.entries;
	assert.deepEqual(await postOnce(first!.box.port, key), {status: 502, verdict: 'may-have-run', reason: 'upstream-cut'});
	assert.deepEqual(await postOnce(second!.box.port, key), {status: 409, verdict: 'may-have-run', reason: 'claim-held'});
	assert.equal(await executionsOf(key), 1);
});

test('a box with unwritten settlements at the start of an outage refuses a call that was cut at another box', async () => {
	const [first, second] = installation.entries;
	const settledKey = randomUUID();
	assert.equal((await postOnce(second!.box.port, settledKey)).status, 200);
	// The settlement of this call is still waiting to be written in a batch.
	await platformFaults({outage: true});
	const key = Array.from({length: 500}, () => randomUUID()).find(other => shardOf({account, key: other as RequestKey}) === shardOf({account, key: settledKey as RequestKey}))!;
	assert.equal((await postOnce(first!.box.port, randomUUID())).status, 503);
	await platformFaults({outage: false});
	await faults({cutAnswers: 1});
	await until(async () => (await postOnce(first!.box.port, key)).status === 502);
	assert.deepEqual(await postOnce(second!.box.port, key), {status: 409, verdict: 'may-have-run', reason: 'claim-held'});
	assert.equal(await executionsOf(key), 1);
});

test('a call runs at most once if its box is suspended between claim and dispatch while another box gets the same call', async () => {
	const [first, second] = installation.entries;
	const key = randomUUID();
	// The platform answers slowly, so that the box is suspended between the write of the claim and its answer.
	await platformFaults({delay: 300});
	const writes = async () => (await control(installation.platformPort, 'calls', {}) as {readonly writes: number}).writes;
	const writesBefore = await writes();
	const pending = postOnce(first!.box.port, key);
	await until(async () => await writes() > writesBefore);
	first!.child.signal('SIGSTOP');
	await platformFaults({delay: 0});
	const elsewhere = await postOnce(second!.box.port, key);
	first!.child.signal('SIGCONT');
	const own = await pending;
	const executions = await executionsOf(key);
	const answered = [elsewhere, own].filter(({status}) => status === 200);
	assert.ok(executions <= 1, `executed ${executions} times`);
	assert.ok(answered.length === 0 || executions === 1);
	assert.ok([elsewhere, own].every(({verdict}) => verdict !== 'not-run') || executions === 0 || answered.length > 0);
});

test('a box killed between dispatch and answer leaves a claim, and no other box runs the call again', async () => {
	await faults({before: 2000});
	const [first, second] = installation.entries;
	const key = randomUUID();
	const cut = postOnce(first!.box.port, key).catch(() => 'cut');
	await until(async () => {
		const load = await fetch(`http://127.0.0.1:${service()}/load`);
		const {running} = await load.json() as {readonly running: number};
		return running === 1;
	});
	await first!.child.kill();
	assert.equal(await cut, 'cut');
	await until(async () => await executionsOf(key) === 1);
	assert.deepEqual(await postOnce(second!.box.port, key), {status: 409, verdict: 'may-have-run', reason: 'claim-held'});
	assert.equal(await executionsOf(key), 1);
	await faults({before: 2});
});
