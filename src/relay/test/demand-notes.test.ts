import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {Refusal} from '../../base/verdict.js';
import {pooledDemand} from '../../replicas/fleet-demand.js';
import {ServiceDemands} from '../../replicas/service-demand.js';
import {DemandNotes} from '../demand-notes.js';

const goal = 500;
const begin = () => {
	const clock = new MovedClock(1000);
	const demand = ServiceDemands.create(clock).of('s');
	const notesOf = () => DemandNotes.create({clock, demand: () => demand, goal: () => goal});
	return {clock, demand, notesOf};
};

/** Plays twenty requests that all end in the same way, and returns the pooled demand and the number of recorded outcomes. */
const outcomeOf = (play: (notes: DemandNotes, clock: MovedClock) => void) => {
	const {clock, demand, notesOf} = begin();
	for (let index = 0; index < 20; index++) {
		play(notesOf(), clock);
	}

	return {...pooledDemand([demand.now]), outcomes: demand.now.met + demand.now.missed};
};

test('a request counts as missed if its answer begins late, if it is refused for lack of replicas, or if its client left after the goal', () => {
	const late = outcomeOf((notes, clock) => {
		notes.noteChoice(100);
		clock.now += goal + 1;
		notes.noteBeginning();
	});
	const short = outcomeOf(notes => {
		notes.noteChoice(100);
		notes.noteRefusal(Refusal.create('upstream-refused', 'full'));
	});
	const turnedAway = outcomeOf(notes => {
		notes.noteRefusal(Refusal.create('no-upstream', 'none'));
	});
	const left = outcomeOf((notes, clock) => {
		notes.noteChoice(100);
		clock.now += goal + 1;
		notes.noteLeaving();
	});
	assert.deepEqual([late, short, turnedAway, left].map(({missedPart}) => missedPart), [1, 1, 1, 1]);
});

test('a request whose answer began in time counts as met once, whatever happens later; refusals for other reasons are not counted', () => {
	const met = outcomeOf((notes, clock) => {
		notes.noteChoice(100);
		clock.now += 10;
		notes.noteBeginning();
		clock.now += goal;
		notes.noteBeginning();
		notes.noteRefusal(Refusal.create('deadline-passed', 'late'));
		notes.noteLeaving();
	});
	assert.equal(met.missedPart, 0);
	assert.ok(met.outcomes > 0);
	const other = outcomeOf((notes, clock) => {
		notes.noteChoice(100);
		clock.now += 10;
		notes.noteRefusal(Refusal.create('ceiling-reached', 'past its quota'));
		notes.noteLeaving();
	});
	assert.equal(other.outcomes, 0);
});
