/**
 * Guards against calls that are refused as not run (503 claim-unavailable) although the store is available again: the call
 * arrived during an attempt, or another box wrote first.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import {FakeObjects} from '../../../development/fuzz/fake-object-store.js';
import {VirtualClock, VirtualTime} from '../../../development/fuzz/virtual-time.js';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {SilentEventLog} from '../../base/event-log.js';
import {Metrics} from '../../base/metrics.js';
import {
	ObjectStore, StoreFailure, VersionConflict, type StoredObject,
} from '../../external/object-store.js';
import {ClaimShard} from '../claim-shard.js';

const seeds = 200;
const key = 'claims/0';
/** Milliseconds after an outage during which the store rate-limits some calls, since all boxes reconnect at once. */
const throttledFor = 300;
/** Fraction of the calls that are rate-limited. */
const throttledShare = 0.3;
/** Maximum milliseconds of a call after an outage: half of the Retry-After time of a refused call. */
const maxWait = 1000;

type Outage = {
	readonly from: number;
	readonly until: number;
	/** Whether calls fail at once; otherwise they are answered after the outage. */
	readonly isRefusing: boolean;
	readonly isThrottling: boolean;
};

/** A store with an outage and with random latency. */
class OutageStore extends ObjectStore {
	constructor(
		private readonly objects: FakeObjects,
		private readonly time: VirtualTime,
		private readonly outage: Outage,
		private readonly random: () => number,
	) {
		super();
	}

	override read(name: string): Effect.Effect<StoredObject, StoreFailure> {
		return this.reach(() => Effect.succeed(this.objects.read(name)));
	}

	override write(name: string, value: string, expected: number): Effect.Effect<number, StoreFailure | VersionConflict> {
		return this.reach(() => {
			const version = this.objects.write(name, value, expected);
			return version === undefined ? Effect.fail(new VersionConflict({key: name})) : Effect.succeed(version);
		});
	}

	override watch(): Effect.Effect<StoredObject | undefined, StoreFailure> {
		return Effect.never;
	}

	override list(): Effect.Effect<readonly string[], StoreFailure> {
		return Effect.succeed([]);
	}

	private get isThrottling(): boolean {
		const {time, outage, random} = this;
		return outage.isThrottling && time.now >= outage.until && time.now < outage.until + throttledFor && random() < throttledShare;
	}

	private reach<Answer, Failure>(act: () => Effect.Effect<Answer, Failure>): Effect.Effect<Answer, Failure | StoreFailure> {
		const {time, outage, random} = this;
		const travel = () => Effect.sleep(1 + (random() * 20));
		return travel().pipe(
			Effect.andThen(Effect.suspend((): Effect.Effect<Answer, Failure | StoreFailure> => {
				const isInOutage = time.now >= outage.from && time.now < outage.until;
				if (!isInOutage) {
					return this.isThrottling ? Effect.fail(new StoreFailure({reason: 'throttled', mayHaveApplied: false, detail: 'rate limit'})) : act();
				}

				return outage.isRefusing
					? Effect.fail(new StoreFailure({reason: 'unreachable', mayHaveApplied: false, detail: 'outage'}))
					: Effect.sleep(outage.until - time.now).pipe(Effect.andThen(Effect.suspend(act)));
			})),
			Effect.tap(travel),
		);
	}
}

/** Result of one call. */
type Call = {
	readonly at: number;
	readonly endedAt: number;
	/** Why the call was refused; `undefined` if it was not. */
	readonly refusal: string | undefined;
};

const refusalOf = (exit: Exit.Exit<unknown, unknown>): string | undefined => Exit.isFailure(exit) ? JSON.stringify(exit.cause) : undefined;

/** @returns The calls of one box after the outage of its store. */
async function play(seed: number, isThrottling: boolean): Promise<readonly Call[]> {
	const random = createRandom(seed);
	const time = VirtualTime.start();
	const ownRandom = Math.random;
	// The pauses use Math.random too; each seed must be reproducible.
	Math.random = random;
	try {
		const outage = {
			from: 50, until: 1200 + (random() * 3000), isRefusing: random() < 0.8, isThrottling,
		};
		const objects = new FakeObjects(() => time.now);
		const shardOf = () => ClaimShard.create(key, {
			store: new OutageStore(objects, time, outage, random), clock: VirtualClock.create(time), log: SilentEventLog.create(), metrics: Metrics.create(),
		});
		const [own, other] = [shardOf(), shardOf()];
		const calls: Call[] = [];
		const record = async (shard: ClaimShard, name: string) => Effect.runPromiseExit(shard.run(name, (_, storeTime) => ({
			write: {
				attempt: name, fingerprint: 'f', state: 'ran', claimedAt: storeTime,
			}, outcome: undefined,
		})));
		const call = async (name: string): Promise<void> => {
			const at = time.now;
			const exit = await Effect.runPromiseExit(own.run(name, (entry, storeTime) => ({
				write: entry
					? undefined
					: {
						attempt: name, fingerprint: 'f', state: 'claimed', claimedAt: storeTime,
					}, outcome: entry,
			})));
			calls.push({at, endedAt: time.now, refusal: refusalOf(exit)});
		};

		await time.advance(outage.from - 10);
		// A box retries the records of completed calls, for which no caller waits, during the whole outage.
		for (let at = time.now; at < outage.until - 10; at += 700) {
			void record(own, `own-${at}`);
			void record(other, `other-${at}`);
			await time.advance(Math.min(700, outage.until - 10 - time.now));
		}

		const end = outage.until + 400;
		// With rare calls, no call ends the pause for another one.
		const spacing = random() < 0.5 ? 60 : 600;
		let count = 0;
		await time.advance(outage.until - time.now + (random() * 20));
		while (time.now < end) {
			void call(`call-${count}`);
			count++;
			if (random() < 0.3) {
				void record(other, `late-${count}`);
			}

			await time.advance(1 + (random() * spacing));
		}

		await time.advance(10_000);
		assert.equal(calls.length, count, 'a call has no outcome');
		return calls.filter(({at}) => at >= outage.until);
	} finally {
		Math.random = ownRandom;
		time.stop();
	}
}

async function assertNoneRefused(isThrottling: boolean): Promise<void> {
	const broken = [];
	for (let seed = 1; seed <= seeds; seed++) {
		const calls = await play(seed, isThrottling);
		const wrong = calls.filter(({refusal, at, endedAt}) => refusal !== undefined || endedAt - at > maxWait);
		broken.push(...wrong.map(({at, endedAt, refusal}) => ({
			seed, at: Math.round(at), took: Math.round(endedAt - at), refusal,
		})));
	}

	assert.deepEqual(broken, []);
}

test('no call after an outage is refused because of the outage', async () => {
	await assertNoneRefused(false);
});

/** Guards against counting a rate-limit answer of the store as an outage. */
test('no call after an outage is refused because the store limits its rate', async () => {
	await assertNoneRefused(true);
});
