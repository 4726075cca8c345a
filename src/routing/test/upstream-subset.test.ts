import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {BoxId} from '../../base/identifiers.js';
import {chooseSubset} from '../upstream-subset.js';

const names = (prefix: string, count: number) => Array.from({length: count}, (_, index) => `${prefix}-${index}` as BoxId);

const linksOf = (boxes: readonly BoxId[], upstreams: readonly BoxId[], target = 32) =>
	new Map(boxes.map(self => [self, chooseSubset({
		self, boxes, upstreams, target,
	})]));

test('a small pool is linked whole', () => {
	const upstreams = names('engine', 13);
	for (const links of linksOf(names('entry', 9), upstreams).values()) {
		assert.deepEqual([...links], upstreams);
	}
});

test('at the planned size every upstream has as many boxes as any other, and every box about the target', () => {
	const boxes = names('entry', 340);
	const upstreams = names('engine', 2200);
	const links = linksOf(boxes, upstreams);
	const counts = new Map<BoxId, number>();
	for (const upstream of [...links.values()].flatMap(subset => [...subset])) {
		counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
	}

	assert.deepEqual([...new Set(upstreams.map(upstream => counts.get(upstream)))], [5]);
	const sizes = [...links.values()].map(({size}) => size);
	assert.ok(Math.min(...sizes) >= 12 && Math.max(...sizes) <= 60, `from ${Math.min(...sizes)} to ${Math.max(...sizes)} links`);
});

test('one upstream more changes the links of the boxes that take it, and few others', () => {
	const boxes = names('entry', 40);
	const before = linksOf(boxes, names('engine', 200));
	const after = linksOf(boxes, names('engine', 201));
	const changed = boxes.filter(box => [...before.get(box)!].some(upstream => !after.get(box)!.has(upstream)));
	assert.deepEqual(changed, []);
});
