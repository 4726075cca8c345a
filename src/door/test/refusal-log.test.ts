import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {RecordingLog} from '../../../development/relay/relay-installation.js';
import {Refusal} from '../../base/verdict.js';
import {RefusalLog} from '../refusal-log.js';

const request: Pick<IncomingMessage, 'method' | 'url'> = {method: 'POST', url: '/v1/services/orders/release?token=secret'};
const refusal = Refusal.create('claim-unavailable', 'the claim shard is full');

test('a refusal is logged with its reason, verdict and detail, but without the query string', () => {
	const log = new RecordingLog();
	RefusalLog.create(log, () => 0).write(refusal, request, 49.4);
	assert.deepEqual(log.lines, [{
		eventName: 'callerRefused', method: 'POST', path: '/v1/services/orders/release', reason: 'claim-unavailable', verdict: 'not-run', detail: 'the claim shard is full', retryAfter: 2, took: 49,
	}]);
});

test('the log gets a limited number of lines per second, and the number of omitted lines', () => {
	const log = new RecordingLog();
	let now = 0;
	const refusals = RefusalLog.create(log, () => now);
	for (let count = 0; count < 1000; count++) {
		refusals.write(refusal, request, 1);
	}

	assert.equal(log.lines.length, 50);
	now = 1000;
	refusals.write(refusal, request, 1);
	assert.deepEqual(log.lines.slice(50).map(({eventName, lines}) => ({eventName, lines})), [{eventName: 'logLinesLeftOut', lines: 950}, {eventName: 'callerRefused', lines: undefined}]);
});
