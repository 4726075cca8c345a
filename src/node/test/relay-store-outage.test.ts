import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {
	after, before, beforeEach, test,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';
import type {ReplicaStandin} from '../../../development/relay/replica-standin.js';

let installation: RelayInstallation;
let staying: ReplicaStandin;
let leaving: ReplicaStandin;

before(async () => {
	installation = await RelayInstallation.start({relays: 2, replicas: ['i-1', 'i-2'], bounds: {isRevocationStrict: false}});
	staying = installation.replicas.get('i-1')!;
	leaving = installation.replicas.get('i-2')!;
});

beforeEach(() => {
	installation.store.clearFaults();
	for (const replica of [staying, leaving]) {
		replica.behave({});
		replica.seen.length = 0;
	}
});

after(async () => installation.close());

const startOutage = () => {
	installation.store.faults = {isSilent: true, isBusy: false, losesAnswers: false};
	// Ends the watches in progress.
	installation.store.forgetHistory();
};

test('no request is lost during a store outage, on new and on kept-alive connections, whether it may be retried or not', async () => {
	startOutage();
	staying.behave({delay: 300});
	leaving.behave({delay: 300});
	const agent = new Agent({keepAlive: true, maxSockets: 4});
	const views = await Promise.all(Array.from({length: 24}, async (_, index) => {
		await pause(index * 60);
		const path = index % 2 === 0 ? `/once/${index}` : `/calls/${index}`;
		return installation.call({
			path, method: 'POST', body: '1', ...(index % 3 === 0 ? {} : {agent}),
		}, installation.relays[index % 2]);
	}));
	agent.destroy();
	assert.deepEqual(views.map(({status, isWhole}) => [status, isWhole]), Array.from({length: 24}, () => [200, true]));
	assert.equal(staying.runs.length + leaving.runs.length, 24, 'each request ran once');
});

test('a known departure of a replica is respected during a store outage and after it', async () => {
	installation.list('i-2', {state: 'draining', seq: 2});
	await until(() => installation.relays.every(({log}) => log.lines.some(({eventName, replica}) => eventName === 'replicaLeaving' && replica === 'i-2')));
	startOutage();
	// The requests last longer than a list of replicas counts as complete without an update.
	const {relays} = installation;
	const views = await Promise.all(Array.from({length: 24}, async (_, index) => {
		await pause(index * 50);
		return installation.call({path: '/calls/x'}, relays[index % 2]);
	}));
	assert.ok(views.every(({status}) => status === 200));

	assert.equal(leaving.seen.length, 0);
	installation.store.clearFaults();
	await pause(800);
	await Promise.all(Array.from({length: 10}, async () => installation.call({path: '/calls/x'})));
	assert.equal(leaving.seen.length, 0);
});
