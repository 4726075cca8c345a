import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {VirtualClock, VirtualTime} from '../../../development/fuzz/virtual-time.js';
import type {Refusal} from '../../base/verdict.js';
import type {Row} from '../../table/table.js';
import {PoolGate} from '../pool-gate.js';

const row = (account: string, priority: number, share = 1) => ({
	account, kind: 'write', service: 'assistant', share, ceiling: 1000, priority, repeatable: true,
}) as unknown as Row;

type Outcome = {readonly account: string; readonly refusal: Refusal | undefined; readonly at: number};

/** Sends requests of 100 ms through a gate whose only upstream runs eight at once. */
async function withGate(use: (send: (row: Row) => void, time: VirtualTime, outcomes: readonly Outcome[], gate: PoolGate) => Promise<void>): Promise<void> {
	const time = VirtualTime.start();
	try {
		const outcomes: Outcome[] = [];
		const load = {upstreams: 1, queued: 0};
		const gate = PoolGate.create(() => load, VirtualClock.create(time));
		const ticks = setInterval(() => {
			gate.tick();
		}, 250);
		await use(governing => {
			Effect.runFork(gate.run(governing, 1, Effect.sleep(100)).pipe(
				Effect.map(() => undefined),
				Effect.catch(error => Effect.succeed(error)),
				Effect.map(refusal => outcomes.push({account: governing.account, refusal, at: time.now})),
			));
		}, time, outcomes, gate);
		clearInterval(ticks);
	} finally {
		time.stop();
	}
}

test('when capacity is short, requests of the lowest priority are refused at once, with a time to retry', async () => {
	await withGate(async (send, time, outcomes) => {
		for (let index = 0; index < 30; index++) {
			send(row('low', 9));
		}

		for (let index = 0; index < 15; index++) {
			send(row('high', 1));
		}

		await time.settle();
		const refused = outcomes.filter(({refusal}) => refusal);
		assert.ok(refused.length > 0);
		assert.deepEqual([...new Set(refused.map(({account}) => account))], ['low']);
		assert.ok(refused.every(({refusal, at}) => at === 0 && refusal!.verdict === 'not-run' && refusal!.retryAfter! >= 1));
		await time.advance(5000);
		assert.equal(outcomes.filter(({account, refusal}) => account === 'high' && !refusal).length, 15);
	});
});

test('within a priority, rows are served in proportion to their shares', async () => {
	await withGate(async (send, time, outcomes, gate) => {
		for (let index = 0; index < 8; index++) {
			send(row('first', 1));
		}

		for (let index = 0; index < 6; index++) {
			send(row('small', 5, 1));
			send(row('large', 5, 3));
		}

		await time.settle();
		assert.equal(gate.waitingCount, 12);
		await time.advance(150);
		await time.advance(60);
		const served = outcomes.filter(({account, refusal}) => account !== 'first' && !refusal);
		assert.equal(served.length, 8);
		assert.equal(served.filter(({account}) => account === 'large').length, 6);
	});
});

test('a request that is cancelled in the queue is removed from it and does not count against the limit', async () => {
	await withGate(async (send, time, outcomes, gate) => {
		for (let index = 0; index < 8; index++) {
			send(row('first', 1));
		}

		await time.settle();
		const fiber = Effect.runFork(gate.run(row('gone', 1), 1, Effect.sleep(100)));
		await time.settle();
		assert.equal(gate.waitingCount, 1);
		fiber.interruptUnsafe();
		await time.settle();
		assert.equal(gate.waitingCount, 0);
		await time.advance(200);
		assert.equal(gate.runningCount, 0);
		assert.equal(outcomes.length, 8);
	});
});
