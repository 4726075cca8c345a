import assert from 'node:assert/strict';
import {test} from 'node:test';
import {attributeCrashes, type SuspectedCrash} from '../crash-attribution.js';
import {Fingerprint} from '../fingerprint.js';

const crashes = (...suspects: readonly string[]): readonly SuspectedCrash[] => suspects.map((text, index) => ({
	start: `i-${index}`, suspects: text.split(' ').map(name => {
		const [letter, ranFor] = name.split(':');
		return {fingerprint: Fingerprint(letter!), ranFor: Number(ranFor ?? 100)};
	}),
}));

const attributed = (list: readonly SuspectedCrash[]) => Object.fromEntries([...attributeCrashes(list)].map(([name, {starts, isShared}]) => [name, `${starts.length}${isShared ? ' shared' : ''}`]));

test('crashes are attributed to the request that is common to all of them, and not to bystanders', () => {
	assert.deepEqual(attributed(crashes('x a b', 'x c', 'x a d')), {x: '3'});
});

test('a request that was at fewer crashes than another is counted only in those that remain unexplained', () => {
	assert.deepEqual(attributed(crashes('x a', 'x a', 'x', 'x', 'a')), {x: '4', a: '1'});
});

test('two requests that were at the same crashes cannot be distinguished until one runs without the other', () => {
	assert.deepEqual(attributed(crashes('x a', 'x a', 'x a')), {x: '3 shared', a: '3 shared'});
	assert.deepEqual(attributed(crashes('x a', 'x a', 'x', 'a')), {x: '3 shared', a: '3 shared'}, 'each may have been at one crash with another cause');
	assert.deepEqual(attributed(crashes('x a', 'x a', 'x a', 'x')), {x: '4'});
});

test('of crashes without a common request, such as those of a whole rack, at most one is attributed to each request', () => {
	assert.deepEqual(attributed(crashes('a b', 'c', 'd e f')), {
		a: '1 shared', b: '1 shared', c: '1 shared', d: '1 shared', e: '1 shared', f: '1 shared',
	});
	assert.deepEqual(attributed([]), {});
});

test('of two requests that were at the same crashes, the one that had run for a short time at each is the cause', () => {
	assert.deepEqual(attributed(crashes('x:60 a:30', 'x:70 a:300', 'x:60 a:140')), {x: '3'});
	assert.deepEqual(attributed(crashes('x:60 a:30', 'x:70 a:90', 'x:60 a:100')), {x: '3 shared', a: '3 shared'});
});

/** Each crash is a list of requests, written as name/part/part. */
const withParts = (...texts: readonly string[]): readonly SuspectedCrash[] => texts.map((text, index) => ({
	start: `i-${index}`, crashedAt: index * 100, suspects: text.split(' ').map(request => {
		const [name, ...parts] = request.split('/');
		return {fingerprint: Fingerprint(name!), ranFor: 100, parts: parts.map(part => Fingerprint(part))};
	}),
}));
const completions = (times: Readonly<Record<string, number>>) => (part: Fingerprint): number | undefined => times[part];
const partsOf = (list: readonly SuspectedCrash[], times: Readonly<Record<string, number>> = {}) => [...attributeCrashes(list, completions(times))]
	.filter(([, {parts}]) => parts.length > 0)
	.map(([, {parts, starts}]) => `${parts.join('+')} ${starts.length}`);

test('crashes of different requests are attributed to the parts that all of them share', () => {
	assert.deepEqual(partsOf(withParts('a/first/bad', 'b/first/bad', 'c/first/bad')), ['first+bad 3']);
	assert.deepEqual(partsOf(withParts('a/first/bad', 'b/other/bad', 'c/first/bad')), ['bad 3']);
});

test('a part that replicas have completed before is no cause if another one is', () => {
	assert.deepEqual(partsOf(withParts('a/first/bad', 'b/first/bad', 'c/first/bad'), {first: -10}), ['bad 3']);
	assert.deepEqual(partsOf(withParts('a/first/bad d/first', 'b/first/bad', 'c/first/bad', 'e/first'), {first: -10}), ['bad 3']);
});

test('two parts that crash replicas are told apart, although requests with them share a third', () => {
	const crashes = withParts('a/bad/x', 'b/worse/x', 'c/bad/x', 'd/worse/x', 'e/bad/x', 'f/worse/x');
	assert.deepEqual(partsOf(crashes, {x: -10}), ['bad 3', 'worse 3']);
});

test('a part that replicas have completed before is the cause only if they complete requests without it meanwhile', () => {
	const crashes = withParts('a/first/bad', 'b/first/bad', 'c/first/bad', 'd/first/bad', 'e/first/bad');
	assert.deepEqual(partsOf(crashes, {first: -10, bad: -10}), []);
	assert.deepEqual(partsOf(crashes, {first: 350, bad: -10}), ['bad 5']);
});

test('crashes before an answer on the part began are not attributed to it', () => {
	assert.deepEqual(partsOf(withParts('a/x', 'b/x', 'c/x'), {x: 250}), []);
});

test('a request that was sent again is the simpler explanation than its parts', () => {
	assert.deepEqual(partsOf(withParts('a/first/bad', 'a/first/bad', 'a/first/bad')), []);
});
