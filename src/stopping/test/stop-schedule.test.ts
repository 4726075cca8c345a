import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {SystemClock} from '../../base/clock.js';
import {StopSchedule, type PendingRequest} from '../stop-schedule.js';

const graces = [1000, 2000, 5400, 8000, 30_000, 120_000] as const;
const step = 10;
/** Fraction of the grace period, and milliseconds, after which no stream is begun that may outlast the process. */
const closingFraction = 0.35;
const maxUncertainTime = 2500;

const pendingFor = (duration: number): PendingRequest => ({
	duration, deadlineAt: Number.POSITIVE_INFINITY, isCutAtExit: false, wasForwarded: false,
});

const begin = (grace: number) => {
	const clock = new ManualClock(1000);
	const schedule = StopSchedule.create(clock);
	schedule.begin(grace);
	return {clock, schedule};
};

/** @returns Milliseconds after the beginning at which a state is first seen. */
const firstAt = (grace: number, hasCome: (schedule: StopSchedule) => boolean): number => {
	const {clock, schedule} = begin(grace);
	while (!hasCome(schedule)) {
		clock.now += step;
	}

	return schedule.elapsed;
};

for (const grace of graces) {
	test(`requests are refused, answered, and the process exits in this order and before the grace period of ${grace} ms ends`, () => {
		const times = [
			firstAt(grace, ({isClosing}) => isClosing),
			firstAt(grace, ({timeLeft}) => timeLeft <= 0),
			firstAt(grace, schedule => schedule.isOver(0)),
			firstAt(grace, schedule => schedule.isOver(1)),
			grace,
		];
		assert.deepEqual(times, [...times].sort((left, right) => left - right));
		assert.equal(new Set(times).size, times.length, times.join(', '));
	});

	test(`a request is served while it is expected to be answered within the grace period of ${grace} ms`, () => {
		const {clock, schedule} = begin(grace);
		const duration = grace / 4;
		assert.equal(schedule.mayServe(pendingFor(duration)), true);
		assert.equal(schedule.mayServe(pendingFor(grace)), false);
		assert.equal(schedule.mayServe({...pendingFor(grace), deadlineAt: clock.now + duration}), true, 'its own deadline comes first');
		clock.now += schedule.timeLeft - duration + 1;
		assert.equal(schedule.mayServe(pendingFor(duration)), false);
	});

	test(`an answer that would be cut is begun late in the grace period of ${grace} ms only if it is certain to end in time`, () => {
		const {clock, schedule} = begin(grace);
		const stream = {...pendingFor(0), isCutAtExit: true};
		assert.equal(schedule.mayServe(stream), true);
		assert.equal(schedule.mayServe({...stream, duration: grace}), false);
		assert.equal(schedule.mayServe({...stream, wasForwarded: true}), false);
		assert.equal(schedule.mayServe({...pendingFor(0), wasForwarded: true}), true);
		while (schedule.mayServe(stream)) {
			clock.now += step;
		}

		const from = Math.min(grace * closingFraction, maxUncertainTime);
		assert.ok(schedule.elapsed >= from && schedule.elapsed <= from + step, `after ${schedule.elapsed} ms`);
		assert.equal(schedule.mayServe({...stream, deadlineAt: clock.now + schedule.timeLeft}), true);
		assert.equal(schedule.mayServe({...stream, deadlineAt: clock.now + schedule.timeLeft + 1}), false);
		assert.equal(schedule.mayServe(pendingFor(0)), true);
	});
}

test('it is told when a request may no longer be passed on: a long one as the stop begins, a stream that may outlast it as new requests are refused', async () => {
	const schedule = StopSchedule.create(SystemClock.create());
	const told: string[] = [];
	const listen = (name: string, request: PendingRequest) => schedule.onceUnservable(request, () => {
		told.push(name);
	});

	const cancels = [
		listen('stream', {...pendingFor(0), isCutAtExit: true}),
		listen('short stream', {...pendingFor(0), isCutAtExit: true, deadlineAt: 0}),
		listen('whole', pendingFor(0)),
		listen('long', pendingFor(1000)),
	];
	schedule.begin(1000);
	while (!schedule.isClosing) {
		await pause(step);
	}

	await pause(step);
	assert.deepEqual(told, ['long', 'stream']);
	for (const cancel of cancels) {
		cancel();
	}
});

test('nothing is refused or due while the process is not asked to stop', () => {
	const schedule = StopSchedule.create(new ManualClock(1000));
	assert.deepEqual([schedule.isStopping, schedule.isClosing, schedule.isOver(0), schedule.elapsed], [false, false, false, 0]);
	assert.equal(schedule.mayServe(pendingFor(1_000_000)), true);
});

test('a second signal does not move the end', () => {
	const {clock, schedule} = begin(8000);
	clock.now += 4000;
	const {timeLeft} = schedule;
	schedule.begin(8000);
	assert.equal(schedule.timeLeft, timeLeft);
});

test('what waits for the end is called once, whether it began to wait before the stop or during it, and not after it was cancelled', async () => {
	const clock = new ManualClock(1000);
	const schedule = StopSchedule.create(clock);
	let calls = 0;
	const count = () => {
		calls++;
	};

	schedule.onceLeft(0, count);
	schedule.onceLeft(0, count)();
	schedule.begin(20);
	schedule.onceLeft(0, count);
	await Effect.runPromise(schedule.untilLeft(0));
	assert.equal(calls, 2);
});

test('a grace period that is longer than a timer counts is not over at once', async () => {
	const schedule = StopSchedule.create(new ManualClock(1000));
	let isDue = false;
	const cancel = schedule.onceLeft(0, () => {
		isDue = true;
	});
	schedule.begin(1e10);
	await pause(20);
	cancel();
	assert.equal(isDue, false);
});
