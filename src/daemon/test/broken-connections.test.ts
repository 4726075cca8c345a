import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {after, before, test} from 'node:test';
import {FaultProxy} from '../../../development/harness/fault-proxy.js';
import {control, Installation} from '../../../development/harness/installation.js';
import {testKeys, testTable} from '../../../development/harness/small-installation.js';

let installation: Installation;
let proxy: FaultProxy;

before(async () => {
	installation = await Installation.create();
	await installation.applyTable(testTable());
	await installation.addService('service-1', {
		dataCentre: 'dc-1',
		pool: 'orders',
		async proxy(port) {
			proxy = await FaultProxy.create(port);
			return proxy.port;
		},
	});
	await installation.addEntry('entry-1', {dataCentre: 'dc-1'});
	await installation.untilReady();
});

after(async () => {
	proxy.close();
	await installation.close();
});

type CallOutcome = {readonly status: number; readonly verdict: string | undefined; readonly executions: number};

async function release(): Promise<CallOutcome> {
	const key = randomUUID();
	const [entry] = installation.entries;
	const answer = await fetch(`http://127.0.0.1:${entry!.box.port}/v1/services/orders/release`, {
		method: 'POST', body: key, headers: {Authorization: `Bearer ${testKeys.alpha}`, 'Idempotency-Key': key},
	});
	const {verdict} = await answer.json() as {readonly verdict?: string};
	const executions = await control(installation.directPorts.get('service-1')!, 'executions', {}) as Readonly<Record<string, number>>;
	return {status: answer.status, verdict, executions: executions[key] ?? 0};
}

test('a call that runs but whose answer is dropped gets may-have-run, and ran once', async () => {
	proxy.fault = {kind: 'drop-answers'};
	assert.deepEqual(await release(), {status: 502, verdict: 'may-have-run', executions: 1});
	proxy.fault = {kind: 'none'};
});

test('a call whose answer is truncated gets may-have-run, and no part of the answer is passed on', async () => {
	proxy.fault = {kind: 'half-close'};
	assert.deepEqual(await release(), {status: 502, verdict: 'may-have-run', executions: 1});
	proxy.fault = {kind: 'none'};
});

test('a call over a slow connection is answered', async () => {
	proxy.fault = {kind: 'delay', milliseconds: 300};
	assert.deepEqual(await release(), {status: 200, verdict: undefined, executions: 1});
	proxy.fault = {kind: 'none'};
});

test('a call whose upstream is unreachable gets not-run, and did not run', async () => {
	proxy.close();
	const {status, verdict, executions} = await release();
	assert.equal(verdict, 'not-run');
	assert.ok(status >= 500);
	assert.equal(executions, 0);
});
