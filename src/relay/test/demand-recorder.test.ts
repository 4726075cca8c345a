import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {Refusal} from '../../base/verdict.js';
import {pooledDemand} from '../../replicas/fleet-demand.js';
import {ServiceDemands} from '../../replicas/service-demand.js';
import {DemandRecorder} from '../demand-recorder.js';

/** Milliseconds within which an answer should begin. */
const goal = 500;
const begin = () => {
	const clock = new ManualClock(1000);
	const demand = ServiceDemands.create(clock).of('s');
	const createRecorder = () => DemandRecorder.create({clock, demand: () => demand, goal: () => goal});
	return {clock, demand, createRecorder};
};

/** Plays twenty requests that all end in the same way, and returns the pooled demand and the number of recorded outcomes. */
const outcomeOf = (play: (recorder: DemandRecorder, clock: ManualClock) => void) => {
	const {clock, demand, createRecorder} = begin();
	for (let index = 0; index < 20; index++) {
		play(createRecorder(), clock);
	}

	return {...pooledDemand([demand.current]), outcomes: demand.current.met + demand.current.missed};
};

test('a request counts as missed if its answer begins late, if it is refused for lack of replicas, or if its client left after the goal', () => {
	const late = outcomeOf((recorder, clock) => {
		recorder.recordChoice(100);
		clock.now += goal + 1;
		recorder.recordAnswerStart();
	});
	const short = outcomeOf(recorder => {
		recorder.recordChoice(100);
		recorder.recordRefusal(Refusal.create('upstream-refused', 'full'));
	});
	const turnedAway = outcomeOf(recorder => {
		recorder.recordRefusal(Refusal.create('no-upstream', 'none'));
	});
	const left = outcomeOf((recorder, clock) => {
		recorder.recordChoice(100);
		clock.now += goal + 1;
		recorder.recordClientLeft();
	});
	assert.deepEqual([late, short, turnedAway, left].map(({missedPart}) => missedPart), [1, 1, 1, 1]);
});

test('a request whose answer began in time counts as met once, whatever happens later; refusals for other reasons are not counted', () => {
	const met = outcomeOf((recorder, clock) => {
		recorder.recordChoice(100);
		clock.now += 10;
		recorder.recordAnswerStart();
		clock.now += goal;
		recorder.recordAnswerStart();
		recorder.recordRefusal(Refusal.create('deadline-passed', 'late'));
		recorder.recordClientLeft();
	});
	assert.equal(met.missedPart, 0);
	assert.ok(met.outcomes > 0);
	const other = outcomeOf((recorder, clock) => {
		recorder.recordChoice(100);
		clock.now += 10;
		recorder.recordRefusal(Refusal.create('ceiling-reached', 'past its quota'));
		recorder.recordClientLeft();
	});
	assert.equal(other.outcomes, 0);
});
