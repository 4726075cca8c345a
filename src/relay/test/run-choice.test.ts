import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {Replica} from '../../replicas/replica.js';
import {ServiceDemands} from '../../replicas/service-demand.js';
import {StopSchedule} from '../../stopping/stop-schedule.js';
import {LimitQueue} from '../limit-queue.js';
import {RunChoice, type RunChoiceServices} from '../run-choice.js';

const clock = new ManualClock(1000);
const service = 's';
const replica = Replica.create({
	id: 'i-1', bornAt: undefined, software: '', revision: 1, service, host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 4, isDraining: false, isReclaimable: false, leavesIn: undefined,
}, clock);

/** The refusal of a request whose service has the given replicas, all without room for ten seconds. */
function refusalWith(ready: readonly Replica[], bootTime: number) {
	const services = {
		clock,
		stop: StopSchedule.create(clock),
		demands: ServiceDemands.create(clock),
		limitQueue: LimitQueue.create(clock, () => 0.5),
		replicas: {ready: () => ready, timeSinceReady: () => 0},
		statements: {
			hasRoom: () => false, remainingPause: () => 0, pausedBoxCount: () => 0, timeUntilRoom: () => 3000, isShared: () => true, isBrittle: () => false, ownRate: () => 1,
		},
		metrics: {limitExclusions: {inc: () => undefined}},
		table: {inForce: {service: () => ({scaling: {bootTime}})}},
		reach: {isUnreachable: () => false},
		brittle: {ownsNoPlace: () => false},
		boxes: () => 1,
	};
	const parts = {
		services,
		suspicion: {mustWait: false},
		version: {software: undefined},
		assignment: {prepare: () => undefined, prefers: () => true, mayUse: () => true},
		record: {attempts: 0, excludedReplicas: 0},
		hasBegun: () => false,
		waitsForReplica: () => false,
		request: () => ({
			service, urgency: 0, receivedAt: clock.now, deadlineAt: clock.now + 2000, route: {goal: 500},
		}),
	};
	// Contains only the members that a refusal uses.
	const decision = RunChoice.create(parts as unknown as RunChoiceServices).choose();
	assert.equal(decision.kind, 'refuse');
	return decision.kind === 'refuse' ? decision : undefined;
}

test('a client is called back at the time that was reserved for it at limited replicas, which is spread already', () => {
	const reserved = LimitQueue.create(clock, () => 0.5).reserveRetryDelay({
		service, urgency: 0, untilCapacity: 3000, rate: 1,
	});
	assert.equal(refusalWith([replica], 0)?.retryDelay, reserved);
});

test('clients without any replica are called back spread over time, none before the ordered ones have started', () => {
	const delays = Array.from({length: 100}, () => refusalWith([], 4000)!.retryDelay);
	assert.ok(delays.every(delay => delay >= 4000 && delay <= 6000));
	assert.ok(new Set(delays).size > 50);
});
