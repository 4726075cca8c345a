/**
 * Measures how much the limits that replicas announce add to the time to choose a replica. Every request makes this choice.
 */
import process from 'node:process';
import {SystemClock} from '../../src/base/clock.js';
import {SilentEventLog} from '../../src/base/event-log.js';
import {Replica} from '../../src/replicas/replica.js';
import {LeastWaitChoice} from '../../src/replicas/replica-choice.js';
import {ReplicaLimits} from '../../src/replicas/replica-limits.js';

const replicaCount = 84;
const boxCount = 87;
/** Choices in a measurement; as many are made before it to warm up. */
const choices = 20_000;
/** Numbers of replicas that have announced a limit, one measurement each. */
const limitedCounts = [0, 1, 8, replicaCount];
const request = {promptTokens: 1000, sharedParts: [{id: 'a', tokens: 400}, {id: 'b', tokens: 300}]};

/** Prints the microseconds per choice, with and without the check of limits. */
export async function benchLimits(): Promise<void> {
	const clock = SystemClock.create();
	const replicas = Array.from({length: replicaCount}, (_, index) => Replica.create({
		id: `i-${index}`, bornAt: 7, software: '1', revision: 1, service: 's', host: '10.1.0.1', port: 1, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined,
	}, clock));
	const choice = LeastWaitChoice.create({dataCentre: 'a', now: () => clock.monotonic()});
	for (const limited of limitedCounts) {
		const limits = ReplicaLimits.create({
			clock, log: SilentEventLog.create(), commonTime: () => clock.wall(), slotRange: () => ({from: 0.3, length: 1 / boxCount}),
			listed: start => replicas.find(replica => replica.start === start),
		});
		for (const replica of replicas.slice(0, limited)) {
			limits.recordResponse(replica, 5, clock.monotonic());
		}

		const choose = (candidates: readonly Replica[]): void => {
			choice.rank(candidates.length === 0 ? replicas : candidates, request);
		};

		const withoutLimits = microsecondsPerCall(() => {
			choose(replicas);
		});
		const withLimits = microsecondsPerCall(() => {
			choose(replicas.filter(replica => limits.hasRoom(replica)));
		});
		process.stdout.write(`${limited} of ${replicaCount} limited: ${withoutLimits.toFixed(1)} us per choice without the check of limits, ${withLimits.toFixed(1)} us with it\n`);
	}
}

/**
 * @param operation - The operation to measure.
 * @returns Microseconds per call, after a warm-up.
 */
function microsecondsPerCall(operation: () => void): number {
	for (let index = 0; index < choices; index++) {
		operation();
	}

	const startedAt = performance.now();
	for (let index = 0; index < choices; index++) {
		operation();
	}

	return (performance.now() - startedAt) * 1000 / choices;
}
