import assert from 'node:assert/strict';
import {test} from 'node:test';
import {admit, expectedWait} from '../admission.js';

const urgencies = [0, 1, 2];
const goal = 800;
const timeLeft = 4000;

const refused = (urgency: number, ...waits: readonly number[]) => admit(waits.map(wait => ({wait})), {
	goal, timeLeft, urgency, urgencies,
}).kind === 'refuse';

test('as the load grows, the least urgent requests are refused first, the next level later, and the most urgent only if they cannot be served', () => {
	assert.deepEqual([0, 1, 2].map(urgency => refused(urgency, 150)), [false, false, false]);
	assert.deepEqual([0, 1, 2].map(urgency => refused(urgency, 500)), [false, false, true]);
	assert.deepEqual([0, 1, 2].map(urgency => refused(urgency, 700)), [false, true, true]);
	assert.deepEqual([0, 1, 2].map(urgency => refused(urgency, timeLeft + 1)), [true, true, true]);
});

test('a request that cannot be served before its deadline is refused, also where all have the same urgency', () => {
	const verdict = admit([{wait: timeLeft + 500}], {
		goal, timeLeft, urgency: 2, urgencies: [2],
	});
	assert.deepEqual(verdict, {kind: 'refuse', retryDelay: 500});
});

test('a request is served by a replica without a wait, if the best one has too long a wait', () => {
	assert.equal(refused(2, 5000, 100, 0), false);
	assert.equal(refused(2, 5000, 100), true, 'of many predictions the lowest are mostly too low');
});

test('the expected wait is that for unread prompts and for a free slot, and zero before anything was measured', () => {
	const facts = {slots: 4, readRate: 100_000, duration: 400};
	assert.equal(expectedWait({...facts, work: {requests: 1, unreadTokens: 40_000}}), 400);
	assert.equal(expectedWait({...facts, work: {requests: 11, unreadTokens: 0}}), 800);
	assert.equal(expectedWait({...facts, readRate: 0, work: {requests: 11, unreadTokens: 40_000}}), 0);
});
