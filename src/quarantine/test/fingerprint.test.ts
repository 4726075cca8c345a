import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {fingerprintOf, partFingerprintOf, type RequestIdentity} from '../fingerprint.js';

const usual: RequestIdentity = {
	method: 'POST', target: '/a/b?c=1', clientAccount: 'basin', body: Buffer.from('{"question":"one"}'),
};

test('the fingerprint of a request is stable, and changes with any part of the request', () => {
	const changed: ReadonlyArray<Partial<RequestIdentity>> = [
		{method: 'PUT'},
		{target: '/a/b?c=2'},
		{clientAccount: 'delta'},
		{clientAccount: undefined},
		{body: Buffer.from('{"question":"two"}')},
		// The boundaries between the parts count: requests that are equal when their parts are concatenated differ.
		{target: '/a/b?c=1","basin', clientAccount: undefined},
	];
	const fingerprints = [usual, ...changed.map(change => ({...usual, ...change}))].map(identity => fingerprintOf(identity));
	assert.equal(new Set(fingerprints).size, fingerprints.length);
	assert.equal(fingerprintOf({...usual, body: Buffer.from(usual.body)}), fingerprints[0]);
	assert.match(fingerprints[0]!, /^[\w\-]{12}$/v);
});

test('the fingerprint of a prompt part depends on the part and the service only', () => {
	const fingerprints = [partFingerprintOf('model', '5c1e07a2'), partFingerprintOf('model', '91bd3f06'), partFingerprintOf('other', '5c1e07a2')];
	assert.equal(new Set(fingerprints).size, fingerprints.length);
	assert.equal(partFingerprintOf('model', '5c1e07a2'), fingerprints[0]);
});
