import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RecipientRegistry} from '../recipient-registry.js';
import type {Peer} from '../peer-table.js';

const peer = (name: string, incarnation: string): Peer => ({
	address: {name, host: '127.0.0.1', port: 1},
	last: {
		sender: {name, host: '127.0.0.1', port: 1}, incarnation, sequence: 1, uptime: 0, wall: 0, version: 1, isStopping: false, storeAge: 0,
		quota: [], isWhole: true, work: [], departed: [], usage: [], members: [],
	},
	heardAt: 0, listedAt: 0, wallOffset: 0, unanswered: 0,
});

test('a box counts as a new recipient for three rounds, and again after a missed round or a restart', () => {
	const registry = RecipientRegistry.create();
	const a = peer('a', 'one');
	const b = peer('b', 'one');
	const newIn = (...targets: readonly Peer[]) => [...registry.newAmong(targets)].map(({address}) => address.name).join(' ');
	assert.deepEqual([newIn(a), newIn(a), newIn(a, b), newIn(a, b)], ['a', 'a', 'a b', 'b']);
	assert.equal(newIn(b), 'b');
	assert.equal(newIn(a, b), 'a', 'nothing was sent to it in one round');
	assert.equal(newIn(a, peer('b', 'two')), 'a b', 'its process has restarted');
});
