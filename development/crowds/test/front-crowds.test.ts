/*
 * Clients that do not behave, at the front end of a relay and at its listener for forwarded requests. The process lives and stays under the memory and the
 * descriptors of its settings, and an ordinary request is answered afterwards.
 */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {CrowdRelay} from '../crowd-relay.js';
import {
	assertEndures, statusesOf, type Group, type Limits,
} from '../crowd.js';
import {
	excessiveChunks, excessiveLength, fewOneByteChunks, maxBody, pipelined, shortOfLength, silent, unendedExtension, unendedHead, unendedLargeChunks,
	unendedOneByteChunks, unendedTrailers, whole, wholeInOneByteChunks, wholeWithPause, type HeadWriter,
} from '../requests.js';

const limits: Limits = {memory: 200, descriptors: 700};
const limitsForHeads: Limits = {memory: 200, descriptors: 3500};

/** A listener, and heads of requests for it. */
type Door = {readonly port: number; readonly head: HeadWriter; readonly largeHead: HeadWriter};

/** @returns A crowd of one kind. */
type Crowd = (door: Door) => readonly Group[];

const bodyCrowds: Readonly<Record<string, Crowd>> = {
	'10 clients send 1 MiB in chunks of one byte, then nothing': ({port, head}) => [{connections: 10, port, conduct: () => unendedOneByteChunks(head)}],
	'400 clients send a few chunks of one byte at a time': ({port, head}) => [{connections: 400, port, conduct: () => fewOneByteChunks(head)}],
	'60 clients send nearly 4 MiB in large chunks, then nothing': ({port, head}) => [{connections: 60, port, conduct: () => unendedLargeChunks(head)}],
	'60 clients announce 4 MiB and stop 64 KiB short': ({port, head}) => [{connections: 60, port, conduct: () => shortOfLength(head)}],
	'60 clients send whole bodies of 4 MiB at once': ({port, head}) => [{connections: 60, port, conduct: () => whole(head)}],
};

const otherCrowds: Readonly<Record<string, Crowd>> = {
	'40 clients announce 1 GB, and 40 send chunks without an end': ({port, head}) => [
		{connections: 40, port, conduct: () => excessiveLength(head)}, {connections: 40, port, conduct: () => excessiveChunks(head)},
	],
	'20 clients send 2,000 requests each at once and read no answer': ({port, head}) => [{connections: 20, port, conduct: () => pipelined(head, 2000)}],
	'40 clients send four requests each with answers of 3 MiB and read nothing': ({port, largeHead}) => [
		{connections: 40, port, conduct: () => pipelined(largeHead, 4)},
	],
	'1,000 connections send nothing': ({port}) => [{connections: 1000, port, conduct: () => silent}],
	'60 clients send extensions of a chunk and trailers without an end': ({port, head}) => [
		{connections: 30, port, conduct: () => unendedExtension(head)}, {connections: 30, port, conduct: () => unendedTrailers(head)},
	],
};

const frontOf = ({ports, head, largeHead}: CrowdRelay): Door => ({port: ports.front, head, largeHead});
const forwardedOf = ({ports, forwardedHead}: CrowdRelay): Door => ({port: ports.control, head: forwardedHead, largeHead: forwardedHead});

async function startRelay(context: TestContext, granted = limits): Promise<CrowdRelay> {
	const relay = await CrowdRelay.start(granted);
	context.after(async () => relay.close());
	return relay;
}

for (const [name, crowd] of Object.entries({...bodyCrowds, ...otherCrowds})) {
	test(`front end: ${name}`, async context => {
		const relay = await startRelay(context);
		await assertEndures(relay, [crowd(frontOf(relay))]);
	});
}

for (const [name, crowd] of Object.entries(bodyCrowds)) {
	test(`forwarded requests: ${name}`, async context => {
		const relay = await startRelay(context);
		await assertEndures(relay, [crowd(forwardedOf(relay))]);
	});
}

test('front end: 3,000 clients send 60 KB of a head without its end', async context => {
	const relay = await startRelay(context, limitsForHeads);
	await assertEndures(relay, [[{connections: 3000, port: relay.ports.front, conduct: () => unendedHead(relay.head)}]]);
});

test('front end and forwarded requests: crowds of all kinds at once', async context => {
	const relay = await startRelay(context);
	const all = Object.values({...bodyCrowds, ...otherCrowds}).flatMap(crowd => crowd(frontOf(relay)));
	const forwarded = Object.values(bodyCrowds).flatMap(crowd => crowd(forwardedOf(relay)));
	await assertEndures(relay, [[...all, ...forwarded].map(group => ({...group, connections: Math.ceil(group.connections / 8)}))]);
});

test('front end: crowds of all kinds one after the other', async context => {
	const relay = await startRelay(context);
	await assertEndures(relay, Object.values({...bodyCrowds, ...otherCrowds}).map(crowd => crowd(frontOf(relay))));
});

const wholeBodies = {
	'in chunks of one byte': {connections: 1, conduct: wholeInOneByteChunks},
	'with a pause between its parts': {connections: 1, conduct: wholeWithPause},
	'from four clients at once': {connections: 4, conduct: whole},
};

for (const [name, {connections, conduct}] of Object.entries(wholeBodies)) {
	test(`a body of the largest size is served in calm: ${name}`, async context => {
		const relay = await startRelay(context);
		const statuses = await statusesOf([{connections, port: relay.ports.front, conduct: () => conduct(relay.head)}]);
		assert.deepEqual(statuses, Array.from({length: connections}, () => 200));
		assert.deepEqual(relay.bodies.filter(size => size > 1000), Array.from({length: connections}, () => maxBody));
	});
}
