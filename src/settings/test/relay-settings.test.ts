import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Result from 'effect/Result';
import {decodeRelaySettings} from '../relay-settings.js';

const text = (limits: string): string => `
node: "box-1"
dataCentre: "a"
listen: {front: "10.0.0.1:80", ready: null, control: null}
metrics: {port: 7615}
seeds: null
isFirstStart: true
store: {address: "10.0.0.2:90"}
duties: {address: null, kinds: null}
${limits}
bounds: {grace: null, revoke: null, isRevocationStrict: null, retryRatio: null, retryWindow: null, retrySlack: null, lease: null, reportWindow: null, reportDelay: null}
`;
const limitsOf = (limits: string) => {
	const decoded = decodeRelaySettings(text(limits));
	return Result.isSuccess(decoded) ? decoded.success.limits : decoded.failure;
};

test('the resources of a box are decoded from the share of a core, the speed of the core and the link; unknown ones are absent', () => {
	assert.deepEqual(limitsOf('limits: {processorShare: 0.5, processorSpeed: 2, link: 200}'), {processor: 1, link: 200});
	assert.deepEqual(limitsOf('limits: {processorShare: 0.5, processorSpeed: null, link: null}'), {processor: 0.5});
	assert.deepEqual(limitsOf('limits: {processorShare: null, processorSpeed: null, link: null, memory: 350, descriptors: 4100}'), {memory: 350, descriptors: 4100});
	assert.deepEqual(limitsOf('limits: {processorShare: null, processorSpeed: null, link: null, memory: null, descriptors: null}'), {});
	assert.deepEqual(limitsOf(''), {});
	assert.ok(Array.isArray(limitsOf('limits: {processorShare: many, processorSpeed: 1, link: 1}')), 'a fault is reported');
});

test('the fingerprints that an operator released from quarantine are decoded; there are none without the setting', () => {
	const releasedOf = (part: string) => {
		const decoded = decodeRelaySettings(text(part));
		return Result.isSuccess(decoded) ? decoded.success.released : decoded.failure;
	};

	assert.deepEqual(releasedOf('quarantine: {released: ["AbC-_1234567"]}'), ['AbC-_1234567']);
	assert.deepEqual(releasedOf('quarantine: {released: null}'), []);
	assert.deepEqual(releasedOf(''), []);
	assert.match(JSON.stringify(releasedOf('quarantine: {released: [7]}')), /quarantine\.released\.0/v);
});

test('a deployment has rollouts only if all of their bounds are set', () => {
	const rolloutOf = (part: string) => {
		const decoded = decodeRelaySettings(text(part));
		return Result.isSuccess(decoded) ? decoded.success.rollout : decoded.failure;
	};

	assert.deepEqual(rolloutOf('rollout: {share: 0.1, slack: 50, rollback: 5000}'), {share: 0.1, slack: 50, rollback: 5000});
	assert.equal(rolloutOf('rollout: {share: null, slack: null, rollback: null}'), undefined);
	assert.equal(rolloutOf(''), undefined);
	assert.match(JSON.stringify(rolloutOf('rollout: {share: -1, slack: 50, rollback: 5000}')), /rollout\.share/v);
});

const schedulingOf = (part: string) => {
	const decoded = decodeRelaySettings(text(part));
	return Result.isSuccess(decoded) ? decoded.success.scheduling : decoded.failure;
};

test('without the section, its fields or their values, requests are scheduled as in earlier versions', () => {
	// Guards against a deployment that gets a new behaviour without asking for it.
	const defaults = {
		placement: 'load', queueing: 'replica', services: 'all',
	};
	for (const part of ['', 'scheduling: null', 'scheduling: {}', 'scheduling: {placement: null, queueing: null, services: null}']) {
		assert.deepEqual(schedulingOf(part), defaults, part);
	}
});

test('all fields of the section on scheduling are decoded', () => {
	// Guards against a field that is accepted and has no effect.
	assert.deepEqual(schedulingOf('scheduling: {placement: cost, queueing: box, services: paced}'), {
		placement: 'cost', queueing: 'box', services: 'paced',
	});
});

test('unknown values and fields of the section on scheduling are faults', () => {
	// Guards against a misspelt value that is taken for the default.
	const faultOf = (part: string) => JSON.stringify(schedulingOf(`scheduling: {${part}}`));
	for (const field of ['placement', 'queueing', 'services']) {
		assert.match(faultOf(`${field}: other`), new RegExp(String.raw`"scheduling\.${field}"`, 'v'), field);
	}

	assert.match(faultOf('pace: 1'), /scheduling\.pace/v);
});

test('an address without a valid port is a fault in every setting', () => {
	const faultsOf = (before: string, after: string) => {
		const decoded = decodeRelaySettings(text('').replace(before, after));
		return Result.isSuccess(decoded) ? [] : [...new Set(decoded.failure.map(({path}) => path))];
	};

	for (const address of ['10.0.0.1', '10.0.0.1:', ':7000', 'box-2', '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:1e3', '']) {
		assert.deepEqual(faultsOf('seeds: null', `seeds: ["10.0.0.3:7000", "${address}"]`), ['seeds.1'], address);
		assert.deepEqual(faultsOf('"10.0.0.2:90"', `"${address}"`), ['store.address'], address);
	}

	assert.deepEqual(faultsOf('seeds: null', 'seeds: ["10.0.0.3:7000", "10.0.0.4:65535"]'), []);
	assert.deepEqual(faultsOf('7615', '65535.5'), ['metrics.port']);
	assert.deepEqual(faultsOf('7615', '0'), ['metrics.port']);
});
