/**
 * Runs model-based histories: random commands over the real modules, an oracle beside them.
 */
import fc from 'fast-check';
import {VirtualTime} from './virtual-time.js';

/** One step of a history. */
export type Step<World> = {
	readonly name: string;
	readonly run: (world: World) => Promise<void> | void;
};

/** What is put to the test. */
export type Suite<World> = {
	readonly name: string;
	/** Steps that may come in any order. */
	readonly steps: fc.Arbitrary<Step<World>>;
	readonly create: (time: VirtualTime) => World;
	/** Lets everything end, and throws where a promise was broken. */
	readonly judge: (world: World, time: VirtualTime) => Promise<void>;
	/** Faults that took place in the history. */
	readonly faults: (world: World) => number;
};

/** How much was run. */
export type FuzzReport = {
	histories: number;
	steps: number;
	faults: number;
};

/** How to run a suite. */
export type FuzzOptions = {
	readonly seed: number;
	readonly runs: number;
	/** Where a failing history begins again; printed with the failure. */
	readonly path?: string;
};

const longestHistory = 40;

/**
 * Runs a suite; throws with the seed and the path that replay the smallest failing history.
 *
 * @param suite - What to test.
 * @param options - Seed and length.
 * @returns How much was run.
 */
export async function runSuite<World>(suite: Suite<World>, options: FuzzOptions): Promise<FuzzReport> {
	const report: FuzzReport = {histories: 0, steps: 0, faults: 0};
	const history = fc.array(suite.steps, {minLength: 1, maxLength: longestHistory, size: 'max'});
	const property = fc.asyncProperty(history, async steps => {
		const time = VirtualTime.start();
		try {
			const world = suite.create(time);
			for (const {run} of steps) {
				await run(world);
				await time.settle();
			}

			await suite.judge(world, time);
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
 * @param name - For the printed history.
 * @param run - What to do.
 * @returns A step that prints as its name.
 */
export function step<World>(name: string, run: Step<World>['run']): Step<World> {
	const named: Step<World> & fc.WithToStringMethod = {name, run, [fc.toStringMethod]: () => name};
	return named;
}
