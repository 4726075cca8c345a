import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {Replica} from '../../replicas/replica.js';
import {ServiceDemands} from '../../replicas/service-demand.js';
import {retryDelayIfRefused} from '../admission.js';

const clock = new ManualClock(1000);
const urgencies = [0, 1, 2];

/** A replica with unread prompt tokens and requests in progress, and its service, which reads 100 tokens per millisecond. */
const shortage = (unreadTokens: number, requests = 1) => {
	const replica = Replica.create({
		id: 'i-1', bornAt: undefined, software: '', revision: 1, service: 's', host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 4, isDraining: false, isReclaimable: false, leavesIn: undefined,
	}, clock);
	replica.setAggregateWork({requests, unreadTokens});
	const demand = ServiceDemands.create(clock).of('s');
	for (let index = 0; index < 30; index++) {
		demand.recordRead(10_000, 100);
		demand.recordDuration(400);
	}

	return {replica, demand};
};

const refused = (urgency: number, unreadTokens: number, requests?: number) => retryDelayIfRefused({
	...shortage(unreadTokens, requests), goal: 200, urgency, urgencies,
});

test('as the load grows, the least urgent requests are refused first, the next level much later, and the most urgent never', () => {
	assert.deepEqual([0, 1, 2].map(urgency => refused(urgency, 15_000)), [undefined, undefined, undefined]);
	assert.deepEqual([0, 1, 2].map(urgency => refused(urgency, 32_000) !== undefined), [false, false, true]);
	assert.deepEqual([0, 1, 2].map(urgency => refused(urgency, 400_000) !== undefined), [false, true, true]);
});

test('the retry delay is the expected wait, both for unread prompts and for a free slot', () => {
	assert.ok(Math.abs(refused(2, 40_000)! - 400) < 40);
	assert.equal(refused(2, 0, 4), undefined, 'a slot becomes free within the goal');
	assert.ok(Math.abs(refused(2, 0, 11)! - 800) < 10);
});

test('no request is refused if all have the same urgency, or before anything was measured for the service', () => {
	assert.equal(retryDelayIfRefused({
		...shortage(400_000), goal: 200, urgency: 2, urgencies: [2],
	}), undefined);
	assert.equal(retryDelayIfRefused({
		...shortage(400_000), demand: ServiceDemands.create(clock).of('s'), goal: 200, urgency: 2, urgencies,
	}), undefined);
});
