import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import {SystemClock} from '../../base/clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {RolloutView} from '../../rollout/rollout-view.js';
import {rolloutFallbackDelay, RolloutRole, type RolloutRoleServices} from '../rollout-role.js';

/** Milliseconds between two messages of a box that follows the store. */
const messageInterval = 400;
/** Milliseconds of the test: longer than any box waits before it follows the store itself. */
const length = rolloutFallbackDelay.least + rolloutFallbackDelay.spread + 1000;

/** A role on a store whose watches last as long as they may, and the calls that it makes. */
function createRole(followsStore: boolean) {
	const clock = SystemClock.create();
	const log = SilentEventLog.create();
	const calls: string[] = [];
	const view = RolloutView.create({
		clock, log, process: 'box/1', rollback: () => 5000, onlyVersion: () => undefined, onStep: () => undefined,
	});
	const record = (call: string) => Effect.sync(() => {
		calls.push(call);
	});
	const store = {
		list: () => record('list').pipe(Effect.as({objects: [], at: 5})),
		watch: (_kind: string, at: number, wait: number) => record('watch').pipe(Effect.andThen(Effect.sleep(wait)), Effect.as({changes: [], at})),
	};
	// Contains only the members that the role uses.
	const services = {
		link: {store, names: {rolloutKind: 'rollouts'}}, clock, log, view, availability: {recordOwnAnswer: () => undefined}, followsStore: () => followsStore, fallbackDelay: rolloutFallbackDelay.least,
	};
	return {
		role: RolloutRole.create(services as unknown as RolloutRoleServices), view, calls, clock,
	};
}

/** Guards against calls of all boxes while the watches of those that follow the store prove nothing. */
test('a box that receives the rollouts from others makes no calls while nothing happens', async () => {
	const [follower, other] = [createRole(true), createRole(false)];
	const following = Effect.runFork(follower.role.follow());
	await pause(messageInterval);
	other.view.applyUpdate(follower.role.update!, [], other.clock.monotonic());
	const receiving = Effect.runFork(other.role.follow());
	const endsAt = performance.now() + length;
	while (performance.now() < endsAt) {
		other.view.applyUpdate(follower.role.update!, [], other.clock.monotonic());
		await pause(messageInterval);
	}

	await Promise.all([following, receiving].map(async fiber => Effect.runPromise(Fiber.interrupt(fiber))));
	assert.deepEqual(other.calls, []);
	assert.ok(follower.calls.length <= 1 + Math.ceil(length / 2500), `${follower.calls.length} calls of the follower`);
});
