import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {StoreStandin} from '../../../development/relay/store-standin.js';
import {HttpMetadataStore} from '../../../platform/metadata-store.js';
import {SilentEventLog} from '../../base/event-log.js';
import type {GossipMessage} from '../../gossip/gossip-message.js';
import {PeerTable} from '../../gossip/peer-table.js';
import {MemberRole} from '../member-role.js';

let standin: StoreStandin;

before(async () => {
	standin = await StoreStandin.start();
});
after(async () => standin.close());

const kind = 'waydrift-members';
const messageFrom = (name: string, sequence: number): GossipMessage => ({
	sender: {name, host: '127.0.0.1', port: 1}, incarnation: 'one', sequence, uptime: 5000, wall: 0, version: 1, isStopping: false, storeAge: 0,
	quota: [], isWhole: true, work: [], departed: [], usage: [], members: [],
});

test('a box that is gone for good is removed from the store, and one that sends messages stays', async () => {
	const clock = new ManualClock(1000);
	const peers = PeerTable.create('self', clock, SilentEventLog.create());
	const role = MemberRole.create({
		store: HttpMetadataStore.create('127.0.0.1', standin.port), self: {name: 'self', host: '127.0.0.1', port: 9}, peers, log: SilentEventLog.create(), isNeeded: () => true,
	});
	standin.put(kind, 'living', {host: '127.0.0.1', port: 1});
	standin.put(kind, 'gone', {host: '127.0.0.1', port: 2});
	peers.recordMessage(messageFrom('gone', 1));
	await Effect.runPromise(role.refresh());
	assert.ok(standin.spec(kind, 'self'), 'it registers itself');
	assert.ok(standin.spec(kind, 'gone'), 'no box counts as gone right after the start');
	clock.now += 40_000;
	await Effect.runPromise(role.refresh());
	assert.ok(standin.spec(kind, 'gone'), 'a box that receives no messages removes no other box');
	peers.recordMessage(messageFrom('living', 1));
	peers.sweep();
	await Effect.runPromise(role.refresh());
	assert.equal(standin.spec(kind, 'gone'), undefined);
	assert.ok(standin.spec(kind, 'living'));
	clock.now += 25_000;
	peers.recordMessage(messageFrom('living', 2));
	peers.sweep();
	assert.deepEqual(peers.all.map(({address}) => address.name), ['living']);
});
