import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import type {EventName} from '../../base/event-catalogue.js';
import {EventLog, SilentEventLog, type EventFields} from '../../base/event-log.js';
import type {GossipMessage} from '../gossip-message.js';
import {PeerTable} from '../peer-table.js';

class RecordingLog extends EventLog {
	readonly fields: EventFields[] = [];

	override write(_: EventName, fields: EventFields = {}): void {
		this.fields.push(fields);
	}
}

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

test('a box that is no aggregator logs when it loses an aggregator, not the boxes that send to it now and then as to a seed', () => {
	const clock = new ManualClock(100_000);
	const log = new RecordingLog();
	const peers = PeerTable.create('box-1', clock, log);
	peers.receivesFromAll = false;
	for (let sequence = 1; sequence <= 5; sequence++) {
		peers.recordMessage(messageOf('box-2', sequence));
		peers.recordMessage({...messageOf('aggregator', sequence), digest: {boxes: 195}});
		clock.now += 10_000;
		peers.sweep();
	}

	assert.equal(log.fields.filter(({member}) => member === 'box-2').length, 0);
	assert.equal(log.fields.filter(({member}) => member === 'aggregator').length, 10);
});
