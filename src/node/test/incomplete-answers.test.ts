/* Guards against connections of clients that end without a whole answer and leave no trace of the cause, or of how far their request had come. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {headOf} from '../../../development/relay/raw-exchange.js';
import {
	RelayInstallation, routeTo, until, type ClientView, type LoggedEvent, type RelayMember,
} from '../../../development/relay/relay-installation.js';

const grace = 2000;
const routes = [routeTo('/long/', {
	kind: 'streaming', max_attempts: 1, timeout_ms: 20_000, goal_ms: 15_000,
})];

async function start(context: TestContext): Promise<{readonly installation: RelayInstallation; readonly relay: RelayMember}> {
	const installation = await RelayInstallation.start({
		relays: 1, replicas: ['i-1'], routes, bounds: {grace},
	});
	context.after(async () => installation.close());
	return {installation, relay: installation.relays[0]!};
}

async function beginStream(installation: RelayInstallation): Promise<{readonly view: Promise<ClientView>}> {
	const replica = installation.replicas.get('i-1')!;
	replica.behave({events: 100, gap: 50});
	const view = installation.call({
		path: '/long/one', method: 'POST', body: 'x', headers: {'Deadline-Ms': '20000'},
	});
	await until(() => replica.seen.length === 1);
	await pause(200);
	return {view};
}

const incompleteAt = ({log}: RelayMember): readonly LoggedEvent[] => log.lines.filter(({eventName}) => eventName === 'answerIncomplete');

async function countOf({metrics}: RelayMember, cause: string): Promise<number> {
	const {values} = await metrics.incompleteAnswers.get();
	return values.find(({labels}) => labels.cause === cause)?.value ?? 0;
}

test('a stream that the exit of a box cuts is logged with the time since the stop signal and since it was sent to its replica', async context => {
	const {installation, relay} = await start(context);
	const {view} = await beginStream(installation);
	await Effect.runPromise(relay.node.stop());
	await relay.kill();
	assert.equal((await view).isWhole, false);
	const [line, ...others] = incompleteAt(relay);
	assert.equal(others.length, 0);
	assert.deepEqual({
		cause: line?.cause, isSent: line?.isSent, replica: line?.replica, isHeadSent: line?.isHeadSent, isRequestComplete: line?.isRequestComplete,
	}, {
		cause: 'exit', isSent: true, replica: 'i-1', isHeadSent: true, isRequestComplete: true,
	});
	assert.ok(Number(line?.sinceStop) > 0 && Number(line?.sinceStop) < grace);
	assert.ok(Number(line?.sinceSent) > Number(line?.sinceStop));
	assert.equal(await countOf(relay, 'exit'), 1);
});

test('a stream that its replica cuts is logged with the reason of the refusal', async context => {
	const {installation, relay} = await start(context);
	const {view} = await beginStream(installation);
	await installation.replicas.get('i-1')!.close();
	assert.equal((await view).isWhole, false);
	await until(() => incompleteAt(relay).length === 1);
	assert.equal(incompleteAt(relay)[0]?.cause, 'upstream-cut');
	assert.equal(incompleteAt(relay)[0]?.sinceStop, undefined);
	assert.equal(await countOf(relay, 'upstream-cut'), 1);
});

test('a client that leaves is counted, and whole answers are not', async context => {
	const {installation, relay} = await start(context);
	installation.replicas.get('i-1')!.behave({events: 100, gap: 50});
	const leaving = connect(relay.port, '127.0.0.1');
	leaving.write(headOf('/long/one', 0));
	await once(leaving, 'data');
	leaving.destroy();
	await until(() => relay.log.lines.some(({eventName}) => eventName === 'clientLeft'));
	assert.equal(await countOf(relay, 'client'), 1);
	assert.deepEqual(incompleteAt(relay), []);
	installation.replicas.get('i-1')!.behave({events: 2, gap: 10});
	assert.equal((await installation.call({path: '/long/two', method: 'POST', body: 'x'})).status, 200);
	assert.deepEqual(incompleteAt(relay), []);
});

test('a refusal that its client reads before it has sent the whole request is no incomplete answer', async context => {
	const {relay} = await start(context);
	const client = connect(relay.port, '127.0.0.1');
	client.write(`${headOf('/unknown', 10)}half`);
	await once(client, 'data');
	client.destroy();
	await pause(100);
	assert.equal(await countOf(relay, 'client'), 0);
	assert.deepEqual(incompleteAt(relay), []);
});

// The error of a connection that its client resets was recorded as that of a malformed request.
test('a client that resets its connection is counted as one that leaves', async context => {
	const {installation, relay} = await start(context);
	installation.replicas.get('i-1')!.behave({events: 100, gap: 50});
	const leaving = connect(relay.port, '127.0.0.1');
	leaving.write(headOf('/long/one', 0));
	await once(leaving, 'data');
	leaving.resetAndDestroy();
	await until(() => relay.log.lines.some(({eventName}) => eventName === 'clientLeft'));
	assert.equal(await countOf(relay, 'client'), 1);
	assert.deepEqual(incompleteAt(relay), []);
});
