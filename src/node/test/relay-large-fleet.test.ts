import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import type {EventName} from '../../base/event-catalogue.js';
import {sumOf} from '../../base/sum.js';
import {RelayInstallation, routeTo, until} from '../../../development/relay/relay-installation.js';

const boxes = 15;
/** Maximum number of requests until a condition must hold. */
const maxRequests = 300;
/** Milliseconds in which all boxes receive their parts of a limit and sample their metrics. */
const settlingTime = 4000;
let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({
		relays: boxes, replicas: ['i-1', 'i-2'], withDuties: true, bounds: {reportWindow: 2000, reportDelay: 9000},
	});
	// A box knows all other boxes only after some gossip rounds.
	await until(() => aggregators().length === 3);
});

after(async () => installation.close());

const isAggregator = (relay: RelayInstallation['relays'][number]): boolean => relay.log.lines
	.findLast(({eventName}) => eventName === 'aggregatorChanged')?.isAggregator === true;
const aggregators = () => installation.relays.filter(relay => isAggregator(relay));
/** @returns The part of the limits of replicas that a box may use, in requests per second, from its metrics. */
async function partOf({metrics}: RelayInstallation['relays'][number]): Promise<number> {
	const {values} = await metrics.replicaLimitPart.get();
	return sumOf(values.map(({value}) => value));
}

async function sendRequestsUntil(relay: RelayInstallation['relays'][number], holds: () => boolean): Promise<void> {
	for (let asked = 0; !holds(); asked++) {
		assert.ok(asked < maxRequests, holds.toString());
		await installation.call({path: '/new/x'}, relay);
		await pause(50);
	}
}

const appliedVersions = () => installation.relays.map(({log}) => log.lines.findLast(({eventName}) => eventName === 'routesApplied')?.version);
test('only a few boxes read the store, on behalf of all', async () => {
	// Boxes that followed the store before they knew the fleet finish their last watch.
	await pause(4500);
	const before = installation.store.calls;
	await pause(3000);
	const calls = installation.store.calls - before;
	assert.ok(calls < boxes * 3, `${calls} calls in 3 s`);
});

test('a new configuration and the departure of a replica reach every box, although few boxes read the store', async () => {
	const version = installation.configure({routes: [routeTo('/new/')]});
	await until(() => appliedVersions().every(known => known === version));
	installation.list('i-2', {state: 'draining'});
	await until(() => installation.relays.every(({log}) => log.lines.some(({eventName, replica}) => eventName === 'replicaLeaving' && replica === 'i-2')));
	await installation.addReplica('i-3');
	await until(() => installation.relays.every(({log}) => log.lines.some(({eventName, replica}) => eventName === 'replicaListed' && replica === 'i-3')));
	const answers = await Promise.all(installation.relays.map(async relay => installation.call({path: '/new/x'}, relay)));
	assert.deepEqual(answers.map(({status}) => status), answers.map(() => 200));
});

test('usage of all boxes is reported by one of the aggregators', async () => {
	const reported = (): number => {
		const reports = new Map(installation.store.dutyCalls.filter(({path}) => path === '/usage').map(({body}) => [body.window_id, body.counts as Record<string, number>]));
		return [...reports.values()].reduce((total, counts) => total + (counts.basin ?? 0), 0);
	};

	await until(() => reported() === boxes);
	const holder = installation.store.dutyCalls.findLast(({path}) => path === '/usage')?.holder;
	assert.ok(aggregators().some(({name}) => name === holder), `${holder} is no aggregator`);
});

test('a limit that a replica announces to one box reaches all boxes, their parts add up to it, and its end reaches all boxes too', async () => {
	const limit = 15;
	const outsider = installation.relays.find(relay => !isAggregator(relay))!;
	const replica = installation.replicas.get('i-3')!;
	const isLoggedByAll = (eventName: EventName) => installation.relays.every(({log}) => log.lines.some(line => line.eventName === eventName && line.replica === replica.id));
	replica.limit = String(limit);
	await sendRequestsUntil(outsider, () => isLoggedByAll('replicaLimited'));
	// Metrics are sampled each second, and parts follow the demand.
	for (let asked = 0; await partOf(outsider) < limit / boxes * 1.5; asked++) {
		assert.ok(asked < maxRequests, `${await partOf(outsider)} is its part, although it alone gets requests`);
		await installation.call({path: '/new/x'}, outsider);
	}

	await pause(settlingTime);
	const parts = await Promise.all(installation.relays.map(async relay => partOf(relay)));
	assert.ok(Math.abs(sumOf(parts) - limit) < limit * 0.1, `${sumOf(parts)} in total`);
	replica.limit = undefined;
	// Only a box that sends requests to the replica learns of this from its responses.
	await sendRequestsUntil(outsider, () => isLoggedByAll('replicaLimitEnded'));
	assert.ok(installation.relays.some(({log}) => log.lines.some(({eventName, source}) => eventName === 'replicaLimited' && source === 'digest')));
});

test('when all aggregators exit, other boxes replace them, and a new configuration still reaches every box', async () => {
	const formerAggregators = aggregators();
	await Promise.all(formerAggregators.map(async ({kill}) => kill()));
	for (const relay of formerAggregators) {
		installation.relays.splice(installation.relays.indexOf(relay), 1);
	}

	const version = installation.configure();
	await until(() => appliedVersions().every(known => known === version));
	await until(() => installation.relays.every(({node}) => node.isReady));
	const answers = await Promise.all(installation.relays.map(async relay => installation.call({path: '/calls/x'}, relay)));
	assert.deepEqual(answers.map(({status}) => status), answers.map(() => 200));
});
