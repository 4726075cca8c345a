/**
 * Guards against many bodies below their own bound that together exhaust the memory of a box.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SystemClock} from '../../base/clock.js';
import {AnswerBodies, type AnswerBody} from '../answer-bodies.js';

test('the largest body is given up when all together are too large, and ended bodies no longer count', () => {
	const bodies = AnswerBodies.create(SystemClock.create(), 100);
	const givenUp: string[] = [];
	const begin = (name: string): AnswerBody => {
		const body: AnswerBody = bodies.begin(size => {
			givenUp.push(`${name} at ${size}`);
			body.end();
		});
		return body;
	};

	const [large, small] = [begin('large'), begin('small')];
	large.add(60);
	small.add(40);
	assert.deepEqual(givenUp, []);
	small.add(1);
	assert.deepEqual(givenUp, ['large at 60']);
	assert.deepEqual([large.hasEnded, small.hasEnded], [true, false]);
	begin('next').add(59);
	assert.deepEqual(givenUp, ['large at 60']);
	small.end();
	small.end();
	begin('last').add(41);
	assert.deepEqual(givenUp, ['large at 60']);
});
