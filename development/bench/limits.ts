/**
 * What limits that replicas have named cost the choice of a replica, which is on the path of each request.
 */
import process from 'node:process';
import {SystemClock} from '../../src/base/clock.js';
import {SilentEventLog} from '../../src/base/event-log.js';
import {Replica} from '../../src/replicas/replica.js';
import {LeastWaitChoice} from '../../src/replicas/replica-choice.js';
import {ReplicaLimits} from '../../src/replicas/replica-limits.js';

const replicaCount = 84;
const boxes = 87;
const choices = 20_000;
const limitedCounts = [0, 1, 8, replicaCount];
const request = {promptTokens: 1000, sharedParts: [{id: 'a', tokens: 400}, {id: 'b', tokens: 300}]};

/** Prints microseconds a choice, with and without looking at limits. */
export async function benchLimits(): Promise<void> {
	const clock = SystemClock.create();
	const replicas = Array.from({length: replicaCount}, (_, index) => Replica.create({
		id: `i-${index}`, bornAt: 7, software: '1', revision: 1, service: 's', host: '10.1.0.1', port: 1, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined,
	}, clock));
	const choice = LeastWaitChoice.create({dataCentre: 'a', now: () => clock.monotonic()});
	for (const limited of limitedCounts) {
		const limits = ReplicaLimits.create({
			clock, log: SilentEventLog.create(), commonTime: () => clock.wall(), slotRange: () => ({from: 0.3, length: 1 / boxes}), listed: start => replicas.find(replica => replica.start === start),
		});
		for (const replica of replicas.slice(0, limited)) {
			limits.recordResponse(replica, 5, clock.monotonic());
		}

		const choose = (candidates: readonly Replica[]): void => {
			choice.choose(candidates.length === 0 ? replicas : candidates, request);
		};

		const plain = timeOf(() => {
			choose(replicas);
		});
		const withLimits = timeOf(() => {
			choose(replicas.filter(replica => limits.hasRoom(replica)));
		});
		process.stdout.write(`${limited} of ${replicaCount} limited: ${plain.toFixed(1)} us a choice without looking at limits, ${withLimits.toFixed(1)} us with\n`);
	}
}

function timeOf(act: () => void): number {
	for (let index = 0; index < choices; index++) {
		act();
	}

	const beganAt = performance.now();
	for (let index = 0; index < choices; index++) {
		act();
	}

	return (performance.now() - beganAt) * 1000 / choices;
}
