/*
 * Records are handed over in messages of up to 16, and a peer reads messages up to a maximum size. Guards against messages of long prompts
 * that exceed this size: all records of such a message were lost, and the link to the peer was closed.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ampleResources} from '../../../development/harness/ample-resources.js';
import {SilentEventLog} from '../../base/event-log.js';
import type {
	BoxId, ClientAccountName, DataCentre, RequestKey,
} from '../../base/identifiers.js';
import {BoxDirectory} from '../../boxes/box-directory.js';
import {SystemClock} from '../../base/clock.js';
import {Metrics} from '../../base/metrics.js';
import {RunRegistry} from '../../dispatch/run-registry.js';
import {Peer, PeerFailure} from '../../peers/peer.js';
import type {RecordSnapshot} from '../../peers/peer-messages.js';
import {listenForPeers} from '../../peers/peer-server.js';
import {RemotePeer} from '../../peers/remote-peer.js';
import type {ReachablePeer} from '../../peers/peer-links.js';
import {RecordRegistry} from '../../records/record-registry.js';
import {RequestRecord} from '../../records/request-record.js';
import {RecordHandOver} from '../record-hand-over.js';

const unexpectedCall = () => Effect.fail(new PeerFailure({detail: 'not expected in this test'}));

/** Stores the records that are handed over to it, and counts the messages. */
class AdoptingPeer extends Peer {
	readonly adopted: RecordSnapshot[] = [];
	messages = 0;

	override exchange() {
		return unexpectedCall();
	}

	override announceLeaving() {
		return unexpectedCall();
	}

	override fetchTable() {
		return unexpectedCall();
	}

	override fetchRecord() {
		return unexpectedCall();
	}

	override adoptRecords(records: readonly RecordSnapshot[]) {
		return Effect.sync(() => {
			this.messages++;
			this.adopted.push(...records);
			return records.length;
		});
	}
}

const recordWith = (key: string, prompt: string): RequestRecord => RequestRecord.create({
	account: 'a' as ClientAccountName, key: key as RequestKey, fingerprint: key, service: 's', kind: 'k',
	body: {messages: [{role: 'user', content: prompt}], max_tokens: 5}, requestId: key, isNamed: true,
}, ['data: {}\n\n']);

async function handOver(prompts: readonly string[]): Promise<{readonly adopted: readonly string[]; readonly messages: number; readonly moved: number}> {
	const clock = SystemClock.create();
	const log = SilentEventLog.create();
	const receiver = new AdoptingPeer();
	const handingOver = Effect.gen(function * () {
		const port = yield * listenForPeers(receiver, ampleResources(), '127.0.0.1', 0);
		const peer = RemotePeer.create('127.0.0.1', port);
		const records = RecordRegistry.create({retention: 1000, maximumBytes: 1000}, clock);
		for (const [index, prompt] of prompts.entries()) {
			records.add(recordWith(`key-${String(index).padStart(3, '0')}`, prompt));
		}

		const reachable = {box: {id: 'b', dataCentre: 'd'}, peer, state: {isStopping: false}} as unknown as ReachablePeer;
		const moved = yield * RecordHandOver.create({
			dataCentre: 'd' as DataCentre, directory: BoxDirectory.create('box' as BoxId, clock, log), records, runs: RunRegistry.create(Metrics.create()), log, peers: () => [reachable],
		}).moveActive();
		peer.close();
		return moved;
	});
	const moved = await Effect.runPromise(Effect.scoped(handingOver));
	return {adopted: receiver.adopted.map(({origin}) => origin.key).sort(), messages: receiver.messages, moved};
}

const keys = (count: number): readonly string[] => Array.from({length: count}, (_, index) => `key-${String(index).padStart(3, '0')}`);

test('all requests with long prompts are handed over, although fewer of them fit into a message', async () => {
	// Each prompt has 400,000 characters of three bytes, 1.2 million bytes.
	const {adopted, moved} = await handOver(Array.from({length: 18}, () => '₹'.repeat(400_000)));
	assert.deepEqual(adopted, keys(18));
	assert.equal(moved, 18);
});

test('short requests share messages, and a very long one is sent in a message of its own', async () => {
	const {adopted, messages} = await handOver([...Array.from({length: 20}, () => 'short'), 'x'.repeat(9_000_000), 'short']);
	assert.deepEqual(adopted, keys(22));
	assert.ok(messages <= 4, `${messages} messages`);
});

test('no message is sent if no request is in progress', async () => {
	assert.deepEqual(await handOver([]), {adopted: [], messages: 0, moved: 0});
});
