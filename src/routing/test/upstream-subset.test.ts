import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {BoxId} from '../../base/identifiers.js';
import {chooseSubset} from '../upstream-subset.js';

const names = (prefix: string, count: number) => Array.from({length: count}, (_, index) => `${prefix}-${index}` as BoxId);

const linksOf = (boxes: readonly BoxId[], upstreams: readonly BoxId[], target = 32) =>
	new Map(boxes.map(self => [self, chooseSubset({
		self, boxes, upstreams, target,
	})]));

test('every box links to all upstreams of a small pool', () => {
	const upstreams = names('engine', 13);
	for (const links of linksOf(names('entry', 9), upstreams).values()) {
		assert.deepEqual([...links], upstreams);
	}
});

test('at the planned size every upstream is linked by the same number of boxes, and every box has about the target number of links', () => {
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

test('adding an upstream does not make any box drop an existing link', () => {
	const boxes = names('entry', 40);
	const before = linksOf(boxes, names('engine', 200));
	const after = linksOf(boxes, names('engine', 201));
	const changed = boxes.filter(box => [...before.get(box)!].some(upstream => !after.get(box)!.has(upstream)));
	assert.deepEqual(changed, []);
});
