/*
 * Clients that do not behave, at an entry box: its door for callers, and its listeners for operators and peers.
 */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {CrowdBox} from '../crowd-box.js';
import {
	assertEndures, statusesOf, type Group, type Limits,
} from '../crowd.js';
import {
	excessiveChunks, excessiveLength, fewOneByteChunks, pipelined, shortOfLength, silent, unendedLargeChunks, unendedOneByteChunks, whole, wholeInOneByteChunks,
	type HeadWriter,
} from '../requests.js';

const limits: Limits = {memory: 200, descriptors: 700};

async function startBox(context: TestContext): Promise<CrowdBox> {
	const box = await CrowdBox.start(limits);
	context.after(async () => box.close());
	return box;
}

/** @returns A crowd of one kind at the door of callers. */
type Crowd = (port: number, head: HeadWriter) => readonly Group[];

const crowds: Readonly<Record<string, Crowd>> = {
	'10 clients send 1 MiB in chunks of one byte, then nothing': (port, head) => [{connections: 10, port, conduct: () => unendedOneByteChunks(head)}],
	'400 clients send a few chunks of one byte at a time': (port, head) => [{connections: 400, port, conduct: () => fewOneByteChunks(head)}],
	'60 clients send nearly 4 MiB in large chunks, then nothing': (port, head) => [{connections: 60, port, conduct: () => unendedLargeChunks(head)}],
	'60 clients announce 4 MiB and stop 64 KiB short': (port, head) => [{connections: 60, port, conduct: () => shortOfLength(head)}],
	'60 clients send whole bodies of 4 MiB at once': (port, head) => [{connections: 60, port, conduct: () => whole(head)}],
	'40 clients announce 1 GB, and 40 send chunks without an end': (port, head) => [
		{connections: 40, port, conduct: () => excessiveLength(head)}, {connections: 40, port, conduct: () => excessiveChunks(head)},
	],
	'20 clients send 2,000 requests each at once and read no answer': (port, head) => [{connections: 20, port, conduct: () => pipelined(head, 2000)}],
	'1,000 connections send nothing': port => [{connections: 1000, port, conduct: () => silent}],
};

for (const [name, crowd] of Object.entries(crowds)) {
	test(`door of callers: ${name}`, async context => {
		const box = await startBox(context);
		await assertEndures(box, [crowd(box.ports.callers, box.head)]);
	});
}

test('door of callers: crowds of all kinds one after the other', async context => {
	const box = await startBox(context);
	await assertEndures(box, Object.values(crowds).map(crowd => crowd(box.ports.callers, box.head)));
});

test('door of callers: a body of the largest size in chunks of one byte is served in calm', async context => {
	const box = await startBox(context);
	assert.deepEqual(await statusesOf([{connections: 1, port: box.ports.callers, conduct: () => wholeInOneByteChunks(box.head)}]), [200]);
});

for (const listener of ['operators', 'peers'] as const) {
	test(`listener for ${listener}: 1,000 connections send nothing`, async context => {
		const box = await startBox(context);
		await assertEndures(box, [[{connections: 1000, port: box.ports[listener], conduct: () => silent}]]);
	});
}

test('listener for operators: 20 clients ask 4,000 times each for the metrics and read no answer', async context => {
	const box = await startBox(context);
	const metrics: HeadWriter = () => 'GET /metrics HTTP/1.1\r\nHost: box\r\n\r\n';
	await assertEndures(box, [[{connections: 20, port: box.ports.operators, conduct: () => pipelined(metrics, 4000)}]]);
});
