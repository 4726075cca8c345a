import assert from 'node:assert/strict';
import {test} from 'node:test';
import {summariseRun} from '../run-summary.js';
import {readRunLog, countUnreadableLines} from '../run-log.js';

const line = (at: number, eventName: string, fields: Readonly<Record<string, unknown>> = {}) => `  ${at.toFixed(4)} box-1 ${JSON.stringify({eventName, ...fields})}`;

test('each second has its requests by outcome, and the state of the fleet at its end', () => {
	const text = [
		'other output of the recorder',
		line(0.1, 'replicaListed', {replica: 'i-1', service: 'engines'}),
		line(0.2, 'replicaListed', {replica: 'p-1', service: 'plain'}),
		line(0.3, 'replicasOrdered', {
			service: 'engines', dataCentre: 'a', count: 3, isReclaimable: true,
		}),
		line(0.4, 'requestAnswered', {firstByte: 90}),
		line(0.9, 'requestAnswered', {firstByte: 900}),
		line(2.1, 'requestRefused', {reason: 'capacity-short'}),
		line(2.2, 'dutyCallFailed', {duty: 'fleet'}),
		line(2.3, 'replicasOrdered', {
			service: 'engines', dataCentre: 'a', count: 2, isReclaimable: false,
		}),
		line(2.4, 'replicaLeaving', {replica: 'i-1'}),
		line(2.5, 'fleetSized', {service: 'engines', needed: 4.2}),
	].join('\n');
	const rows = summariseRun(readRunLog(text), {lateAfter: 500});
	assert.deepEqual(rows.map(({second, answered, late, ready, reclaimable, kept, needed, refusedOrders}) => [second, answered, late, ready, reclaimable, kept, needed, refusedOrders]), [
		[0, 2, 1, 1, 3, 0, undefined, 0],
		[1, 0, 0, 1, 3, 0, undefined, 0],
		[2, 0, 0, 0, 3, 2, 4.2, 1],
	]);
	assert.deepEqual([...rows[2]!.refused], [['capacity-short', 1]]);
});

test('the time and box of a line without a recorder\'s prefix come from its JSON', () => {
	const [event] = readRunLog(JSON.stringify({eventName: 'relayStarted', node: 'box-2', time: '2026-01-01T00:00:01.500Z'}));
	assert.equal(event!.box, 'box-2');
	assert.equal(event!.at % 60, 1.5);
});

test('lines that boxes omitted, and lines that cannot be parsed, are counted', () => {
	const text = [
		line(0.1, 'requestAnswered', {firstByte: 90}),
		line(0.5, 'logLinesLeftOut', {lines: 40}),
		line(0.6, 'logLinesLeftOut', {lines: 2}),
		line(1.1, 'requestAnswered', {firstByte: 90}),
		// Lines of two boxes mixed by concurrent writes, an event without a time, and a last line that is incomplete.
		`${line(1.2, 'requestAnswered').slice(0, 30)}${line(1.3, 'requestAnswered')}`,
		JSON.stringify({eventName: 'requestAnswered'}),
		line(1.4, 'requestAnswered').slice(0, -4),
		'other output of the recorder',
	].join('\n');
	const rows = summariseRun(readRunLog(text), {lateAfter: 500});
	assert.deepEqual(rows.map(({second, answered, linesLeftOut}) => [second, answered, linesLeftOut]), [[0, 1, 42], [1, 1, 0]]);
	assert.equal(countUnreadableLines(text), 3);
});
