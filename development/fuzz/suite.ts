/**
 * Model-based fuzzing: runs random sequences of steps on the real modules, and checks the results against an oracle.
 */
import fc from 'fast-check';
import {VirtualTime} from './virtual-time.js';

/** One step of a history. */
export type Step<World> = {
	readonly name: string;
	readonly run: (world: World) => Promise<void> | void;
};

/** A fuzz suite: the system under test, its steps and its invariants. */
export type Suite<World> = {
	readonly name: string;
	/** Generates the steps of a history, in any order. */
	readonly steps: fc.Arbitrary<Step<World>>;
	readonly create: (time: VirtualTime) => World;
	/** Clears all faults, lets pending work complete, and throws if an invariant is violated. */
	readonly check: (world: World, time: VirtualTime) => Promise<void>;
	/** Number of faults that took effect in the history. */
	readonly faults: (world: World) => number;
};

/** Numbers of histories, steps and faults that were run. */
export type FuzzReport = {
	histories: number;
	steps: number;
	faults: number;
};

/** Options of a run of one suite. */
export type FuzzOptions = {
	readonly seed: number;
	readonly runs: number;
	/** Path of a failing history to replay, as printed with the failure. */
	readonly path?: string;
};

/** Maximum number of steps of a history. */
const maxHistorySteps = 40;

/**
 * Runs a suite. If a history fails, throws an error with the seed and the path that replay the smallest failing history.
 *
 * @param suite - Suite to run.
 * @param options - Seed, number of histories, and path of a replay.
 * @returns Numbers of histories, steps and faults that were run.
 */
export async function runSuite<World>(suite: Suite<World>, options: FuzzOptions): Promise<FuzzReport> {
	const report: FuzzReport = {histories: 0, steps: 0, faults: 0};
	const history = fc.array(suite.steps, {minLength: 1, maxLength: maxHistorySteps, size: 'max'});
	const property = fc.asyncProperty(history, async steps => {
		const time = VirtualTime.start();
		try {
			const world = suite.create(time);
			for (const {run} of steps) {
				await run(world);
				await time.settle();
			}

			await suite.check(world, time);
			report.histories++;
			report.steps += steps.length;
			report.faults += suite.faults(world);
		} finally {
			time.stop();
		}
	});
	await fc.assert(property, {
		seed: options.seed, numRuns: options.runs, ...(options.path === undefined ? {} : {path: options.path}), endOnFailure: false,
	});
	return report;
}

/**
 * @param name - Description of the step in a printed history.
 * @param run - Action of the step.
 * @returns A step that is printed as its name.
 */
export function step<World>(name: string, run: Step<World>['run']): Step<World> {
	const named: Step<World> & fc.WithToStringMethod = {name, run, [fc.toStringMethod]: () => name};
	return named;
}
