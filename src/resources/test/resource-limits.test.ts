import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sumOf} from '../../base/sum.js';
import {divideResources} from '../resource-limits.js';

const bytesPerMegabyte = 1024 * 1024;

for (const memory of [160, 200, 250, 350, 602, 4096]) {
	for (const descriptors of [512, 700, 4100, 8192, 65_536]) {
		test(`all parts stay below ${memory} MB and ${descriptors} descriptors`, () => {
			const {program, requestBodies, answers, heads, connections, replicaConnections} = divideResources({memory, descriptors});
			assert.ok(program > 0);
			assert.ok(program + requestBodies + answers + heads <= memory * bytesPerMegabyte);
			const open = sumOf(Object.values(connections));
			// Each connection of a client or of another box has one request in progress at most, which uses one connection to a replica.
			const inUse = Math.max(replicaConnections, connections.clients + connections.peers);
			assert.ok(open + inUse < descriptors, `${open} and ${inUse}`);
		});
	}
}

test('a single body of the largest size and an answer of the largest size always fit', () => {
	const {requestBodies, answers} = divideResources({memory: 100, descriptors: 256});
	assert.ok(requestBodies >= 4 * bytesPerMegabyte);
	assert.ok(answers >= 16 * bytesPerMegabyte);
});
