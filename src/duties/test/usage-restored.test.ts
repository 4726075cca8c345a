import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {StoreStandin} from '../../../development/relay/store-standin.js';
import {HttpMetadataStore} from '../../../platform/metadata-store.js';
import {SilentEventLog} from '../../base/event-log.js';
import {DutyCalls, type DutySigner, type UsageReport} from '../duty-calls.js';
import {DutyLease} from '../duty-lease.js';
import {UsageCounts} from '../usage-counts.js';
import {UsageDuty} from '../usage-duty.js';

/** Length of a window in milliseconds. */
const windowLength = 5000;
/** Milliseconds between two steps of a duty. */
const step = 300;
/** Milliseconds during which calls of a previous holder may still take effect. */
const wait = 3000;

let standin: StoreStandin;

before(async () => {
	standin = await StoreStandin.start();
});

after(async () => standin.close());

class KeptCalls extends DutyCalls {
	readonly reports: Array<UsageReport & {readonly fence: number}> = [];

	override reportUsage({fence}: DutySigner, report: UsageReport): Effect.Effect<void> {
		return Effect.sync(() => {
			this.reports.push({...report, fence});
		});
	}

	override orderReplicas(): Effect.Effect<void> {
		return Effect.void;
	}
}

test('a window whose report the store has lost is not reported with different counts, and later windows are reported', async () => {
	const clock = new ManualClock(windowLength * 20);
	const calls = new KeptCalls();
	const boxOf = (self: string) => {
		const counts = UsageCounts.create(() => clock.now, () => windowLength);
		const lease: DutyLease = DutyLease.create({
			self, incarnation: 'one', store: HttpMetadataStore.create('127.0.0.1', standin.port), clock, log: SilentEventLog.create(),
			wait: () => wait, isFenced: () => false, amendRestored: record => duty.afterRestore(record),
		});
		const duty: UsageDuty = UsageDuty.create({
			lease, calls, counts, clock, log: SilentEventLog.create(), trueTime: () => clock.now, windowLength: () => windowLength, delay: () => 10_000, hasGossipFromAll: () => true,
		});
		return {counts, lease, duty};
	};

	const run = async ({counts, lease, duty}: ReturnType<typeof boxOf>, time: number, each = 1) => {
		for (let passed = 0; passed < time; passed += step) {
			clock.now += step;
			for (let request = 0; request < each; request++) {
				counts.recordRequest('basin');
			}

			if (lease.mayAct) {
				await Effect.runPromise(duty.step());
			}
		}
	};

	const [first, second] = [boxOf('a'), boxOf('b')];
	await Effect.runPromise(first.lease.acquire());
	await run(first, windowLength * 2);
	const copy = standin.backUp();
	const known = calls.reports.length;
	await run(first, windowLength * 2);
	assert.ok(calls.reports.length > known);
	standin.restore(copy);
	await Effect.runPromise(second.lease.acquire());
	await run(second, windowLength * 5, 2);
	const counts = new Map<number, string>();
	for (const {window, counts: ofWindow} of calls.reports) {
		assert.equal(counts.get(window) ?? JSON.stringify(ofWindow), JSON.stringify(ofWindow), `window ${window}`);
		counts.set(window, JSON.stringify(ofWindow));
	}

	const fences = calls.reports.map(({fence}) => fence);
	assert.deepEqual(fences, [...fences].sort((left, right) => left - right));
	assert.ok(calls.reports.some(({fence, window}) => fence === fences.at(-1) && window > calls.reports[known]!.window + 1), 'later windows are reported');
});
