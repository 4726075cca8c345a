/*
 * Whatever ended an upstream was tried at the next one, up to ten times a call: the class of fault by which one request ended all
 * replicas of a service at the relays. Three tries in a row that were cut without bringing anything are enough.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PoolName} from '../../base/identifiers.js';
import type {UpstreamState} from '../../routing/upstream-state.js';
import {UpstreamFailure} from '../../upstream/upstream-failure.js';
import {judgeFailure, type FailedAttempt} from '../dispatch-outcome.js';
import type {DispatchServices} from '../dispatch-services.js';

const counter = {inc: () => undefined};
/** Nothing else forbids a try. */
const services = {
	metrics: {retries: counter, retriesDenied: counter, leavingDispatches: counter},
	gates: {budget: () => ({withdraw: () => true})},
	log: {write: () => undefined},
} as unknown as DispatchServices;
const upstream = {box: {id: 'engine-1'}, noteFailure: () => false} as unknown as UpstreamState;

const attempt = (changes: Partial<FailedAttempt>): FailedAttempt => ({
	failure: new UpstreamFailure({reason: 'cut', verdict: 'may-have-run', detail: 'the connection was cut'}),
	upstream, pool: 'pool' as PoolName, isRepeatable: true, hasBegun: false, mayHaveRun: false, tries: 1, fruitlessCuts: 1, ...changes,
});

test('a request that was cut three times in a row without bringing anything is not tried at a fourth upstream', () => {
	assert.equal(judgeFailure(services, attempt({tries: 2, fruitlessCuts: 2})), undefined);
	const refusal = judgeFailure(services, attempt({tries: 3, fruitlessCuts: 3}));
	assert.deepEqual([refusal?.reason, refusal?.verdict], ['upstream-cut', 'may-have-run']);
	assert.ok(judgeFailure(services, attempt({tries: 3, fruitlessCuts: 3, hasBegun: true})), 'also one whose answer had begun before');
});

test('a stream that goes on at each upstream is moved as often as it must', () => {
	assert.equal(judgeFailure(services, attempt({tries: 9, fruitlessCuts: 0, hasBegun: true})), undefined);
});
