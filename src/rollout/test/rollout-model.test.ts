/** Proves the promises on rollouts in drawn histories with kills, restarts, cuts, lost messages and outages of the store, at 4 to 195 boxes. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {drawHistory, RolloutFleet, type BadKind} from '../../../development/harness/rollout-fleet.js';

const firstSeed = Number(process.env.ROLLOUT_SEED ?? 1);
const histories = Number(process.env.ROLLOUT_HISTORIES ?? 4);
/** Milliseconds of load before the order, and after its time. */
const warmUp = 3000;
const afterwards = 6000;

/** Runs the drawn histories of one kind of version. */
function run(kind: BadKind, diagnose: (text: string) => void): void {
	const outcomes = Array.from({length: histories}, (_, index) => {
		const history = drawHistory(firstSeed + index, kind);
		const fleet = RolloutFleet.create(history);
		fleet.advance(warmUp);
		fleet.order();
		fleet.advance(history.duration + afterwards);
		fleet.close();
		return {
			seed: history.seed, boxes: history.boxes, violation: fleet.violation, exposed: fleet.exposed.length, bad: fleet.badAnswers.length, state: fleet.state, part: ((fleet.decidedAt ?? Number.POSITIVE_INFINITY) - fleet.orderedAt) / history.duration,
		};
	});
	for (const {seed, boxes, exposed, bad, state, part} of outcomes) {
		diagnose(`seed ${seed}: ${boxes} boxes, ${state ?? 'no state'} after ${part.toFixed(2)} of the time, ${exposed} requests exposed, ${bad} bad`);
	}

	assert.deepEqual(outcomes.filter(({violation}) => violation !== undefined).map(({seed, violation}) => `seed ${seed}: ${violation}`), []);
}

for (const kind of ['none', 'fails', 'slow', 'later', 'under-load', 'one-route'] as const) {
	test(`in drawn histories no bound is broken by a version of the kind ${kind}`, context => {
		run(kind, text => {
			context.diagnostic(text);
		});
	});
}
