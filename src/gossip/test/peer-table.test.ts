import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import type {GossipMessage} from '../gossip-message.js';
import {PeerTable} from '../peer-table.js';

const messageOf = (name: string, sequence: number): GossipMessage => ({
	sender: {name, host: '127.0.0.1', port: 7000}, incarnation: 'one', sequence, uptime: 5000, wall: 0, version: 1, isStopping: false, storeAge: 0, isWhole: true,
	quota: [], work: [], departed: [], usage: [], members: [],
});

test('all boxes count as heard only if the known boxes reach the received fleet size and each of them was heard in that time', () => {
	const clock = new ManualClock(100_000);
	const peers = PeerTable.create('box-1', clock, SilentEventLog.create());
	assert.equal(peers.hasHeardAllWithin(1000), true, 'a box that knows of no other is the whole fleet');
	peers.recordMessage(messageOf('box-2', 1));
	assert.equal(peers.hasHeardAllWithin(1000), true);
	peers.recordFleetSize(3);
	assert.equal(peers.hasHeardAllWithin(1000), false, 'one box is not known');
	peers.addMembers([{name: 'box-3', host: '127.0.0.1', port: 7001}]);
	assert.equal(peers.hasHeardAllWithin(1000), false, 'one box was never heard');
	peers.recordMessage(messageOf('box-3', 1));
	assert.equal(peers.hasHeardAllWithin(1000), true);
	clock.now += 1500;
	peers.recordMessage(messageOf('box-2', 2));
	assert.equal(peers.hasHeardAllWithin(1000), false, 'one box was last heard too long ago');
});
