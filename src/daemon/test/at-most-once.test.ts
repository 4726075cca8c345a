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
/** Whose key the calls bear. */
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

type Told = {readonly status: number; readonly verdict: string | undefined; readonly reason: string | undefined};

async function postOnce(port: number, key: string): Promise<Told> {
	const answer = await fetch(`http://127.0.0.1:${port}/v1/services/orders/release`, {
		method: 'POST', body: release(key).body, headers: {Authorization: `Bearer ${testKeys.alpha}`, 'Idempotency-Key': key},
	});
	const {verdict, reason} = await answer.json() as {readonly verdict?: string; readonly reason?: string};
	return {status: answer.status, verdict, reason};
}

test('the same key sent at once to three boxes runs once, and all are told so', async () => {
	await faults({before: 30});
	const key = randomUUID();
	const callers = installation.entries.map(member => callerAt([member]));
	const results = await Promise.all(callers.map(async caller => caller.call(release(key))));
	assert.deepEqual(results.map(({judgement}) => judgement.kind), ['answered', 'answered', 'answered']);
	assert.equal(await executionsOf(key), 1);
	await faults({before: 2});
});

test('claims whose answers the platform loses run once', async () => {
	const keys = Array.from({length: 5}, () => randomUUID());
	for (const key of keys) {
		await platformFaults({loseAnswers: 1});
		const {judgement} = await callerOf(installation).call(release(key));
		assert.equal(judgement.kind, 'answered');
		assert.equal(await executionsOf(key), 1);
	}
});

test('without the platform a release is refused at once as not run, and did not run', async () => {
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

test('a call that was cut after it ran is told that it may have run, and is not sent again', async () => {
	await faults({cutAnswers: 1});
	const key = randomUUID();
	const [first, second] = installation.entries;
	assert.deepEqual(await postOnce(first!.box.port, key), {status: 502, verdict: 'may-have-run', reason: 'upstream-cut'});
	assert.deepEqual(await postOnce(second!.box.port, key), {status: 409, verdict: 'may-have-run', reason: 'claim-held'});
	assert.equal(await executionsOf(key), 1);
});

test('a box that had notes to write when the platform went away is told at once of a call that was cut elsewhere', async () => {
	const [first, second] = installation.entries;
	const noted = randomUUID();
	assert.equal((await postOnce(second!.box.port, noted)).status, 200);
	// Its note that the call ran waits for others to share a write.
	await platformFaults({outage: true});
	const key = Array.from({length: 500}, () => randomUUID()).find(other => shardOf({account, key: other as RequestKey}) === shardOf({account, key: noted as RequestKey}))!;
	assert.equal((await postOnce(first!.box.port, randomUUID())).status, 503);
	await platformFaults({outage: false});
	await faults({cutAnswers: 1});
	await until(async () => (await postOnce(first!.box.port, key)).status === 502);
	assert.deepEqual(await postOnce(second!.box.port, key), {status: 409, verdict: 'may-have-run', reason: 'claim-held'});
	assert.equal(await executionsOf(key), 1);
});

test('a box frozen between claim and dispatch, and thawed, does not run a call that was asked for elsewhere meanwhile', async () => {
	const [first, second] = installation.entries;
	const key = randomUUID();
	// The platform is slow, so that the freeze falls between the claim's write and its answer.
	await platformFaults({delay: 300});
	const writes = async () => (await control(installation.platformPort, 'calls', {}) as {readonly writes: number}).writes;
	const earlier = await writes();
	const asked = postOnce(first!.box.port, key);
	await until(async () => await writes() > earlier);
	first!.child.signal('SIGSTOP');
	await platformFaults({delay: 0});
	const elsewhere = await postOnce(second!.box.port, key);
	first!.child.signal('SIGCONT');
	const own = await asked;
	const executions = await executionsOf(key);
	const answered = [elsewhere, own].filter(({status}) => status === 200);
	assert.ok(executions <= 1, `executed ${executions} times`);
	assert.ok(answered.length === 0 || executions === 1);
	assert.ok([elsewhere, own].every(({verdict}) => verdict !== 'not-run') || executions === 0 || answered.length > 0);
});

test('a box killed between dispatch and answer leaves a claim that nobody runs again', async () => {
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
