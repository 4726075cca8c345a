/*
 * Guards against a request that crashes upstreams one after another: each attempt was cut, and the request was retried at the next upstream, up
 * to ten times. The same class of fault let one request crash all replicas of a service behind the relays. The limit is three consecutive
 * attempts that were cut before any of the answer arrived.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {PoolName} from '../../base/identifiers.js';
import type {UpstreamState} from '../../routing/upstream-state.js';
import {UpstreamFailure} from '../../upstream/upstream-failure.js';
import {evaluateFailure, type FailedAttempt} from '../dispatch-outcome.js';
import type {DispatchServices} from '../dispatch-services.js';

const counter = {inc: () => undefined};
/** The retry budget always allows a retry. */
const services = {
	metrics: {retries: counter, retriesDenied: counter, leavingDispatches: counter},
	gates: {budget: () => ({withdraw: () => true})},
	log: {write: () => undefined},
} as unknown as DispatchServices;
const upstream = {box: {id: 'engine-1'}, recordFailure: () => false} as unknown as UpstreamState;

const attempt = (changes: Partial<FailedAttempt>): FailedAttempt => ({
	failure: new UpstreamFailure({reason: 'cut', verdict: 'may-have-run', detail: 'the connection was cut'}),
	upstream, pool: 'pool' as PoolName, isRepeatable: true, hasBegun: false, mayHaveRun: false, attempts: 1, cutsWithoutProgress: 1, ...changes,
});

test('a request is not retried after three consecutive attempts that were cut before any of the answer arrived', () => {
	assert.equal(evaluateFailure(services, attempt({attempts: 2, cutsWithoutProgress: 2})), undefined);
	const refusal = evaluateFailure(services, attempt({attempts: 3, cutsWithoutProgress: 3}));
	assert.deepEqual([refusal?.reason, refusal?.verdict], ['upstream-cut', 'may-have-run']);
	assert.ok(evaluateFailure(services, attempt({attempts: 3, cutsWithoutProgress: 3, hasBegun: true})), 'also if part of the answer arrived in an earlier attempt');
});

test('the limit of consecutive cuts does not apply to a stream that progresses at each upstream', () => {
	assert.equal(evaluateFailure(services, attempt({attempts: 9, cutsWithoutProgress: 0, hasBegun: true})), undefined);
});
