/**
 * Engines write their events in several pieces and may crash inside an event. Guards against callers that get a token twice, not at all,
 * or in an event that is joined from two engines, after an answer was interrupted and continued by another engine.
 */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {after, before, test} from 'node:test';
import type {Chat} from '../../../development/harness/caller.js';
import {control, readMetric, type Installation} from '../../../development/harness/installation.js';
import {callerOf, startInstallation} from '../../../development/harness/small-installation.js';

const answerCount = 40;
/** Maximum tokens of an answer. */
const tokensPerAnswer = 60;
/** Probability of an interruption at each token: about every second answer is interrupted, and none uses up its attempts. */
const breakProbability = 1 / (2 * tokensPerAnswer);

let installation: Installation;

before(async () => {
	installation = await startInstallation({
		entries: 2, engines: 4, services: 0, dataCentres: 2, traits: {writing: {seed: 20_261_203, mostPieces: 5, broken: breakProbability}},
	});
});

after(async () => installation.close());

const chat = (isStreamed: boolean): Chat => {
	const key = randomUUID();
	return {
		model: 'assistant', key, isStreamed, maximumTokens: tokensPerAnswer, messages: [{role: 'user', content: `Write bulletin ${key}.`}],
	};
};

async function sumOf(values: ReadonlyArray<Promise<number>>): Promise<number> {
	let sum = 0;
	for (const value of await Promise.all(values)) {
		sum += value;
	}

	return sum;
}

test('each caller gets each token once, in an unmodified event, from engines that write in pieces and crash inside events', async () => {
	const caller = callerOf(installation);
	const results = await Promise.all(Array.from({length: answerCount}, async (_, index) => caller.chat(chat(index % 4 !== 0))));
	const endings = results.map(({judgement, restarts}) => ({judgement, restarts}));
	assert.deepEqual(endings, endings.map(() => ({judgement: {kind: 'answered'}, restarts: 0})));
	const moved = await sumOf(installation.entries.map(async ({operatorsPort}) => readMetric(operatorsPort, 'waydrift_streams_moved_total{cause="failure"}')));
	assert.ok(moved > 0, 'some answers were interrupted');
	// An event that arrives in pieces is valid: only interrupted answers are retried.
	const garbled = await sumOf(installation.entries.map(async ({operatorsPort}) => readMetric(operatorsPort, 'waydrift_retries_total{reason="garbled"}')));
	assert.equal(garbled, 0);
	const engines = [...installation.members.values()].filter(({box}) => box.role === 'model-engine');
	const started = await sumOf(engines.map(async ({box}) => {
		const totals = await control(box.port, 'totals', {}) as {readonly started: number};
		return totals.started;
	}));
	assert.ok(started >= answerCount + moved, `${started} runs for ${answerCount} answers that moved to another engine ${moved} times`);
});
