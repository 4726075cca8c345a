/**
 * Guards against an answer of a peer that ends early and counts as answered.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import {ampleResources} from '../../../development/harness/ample-resources.js';
import {FaultProxy} from '../../../development/harness/fault-proxy.js';
import type {
	BoxId, ClientAccountName, DataCentre, RequestKey,
} from '../../base/identifiers.js';
import {Peer, type PeerFailure} from '../peer.js';
import type {
	Exchange, ExchangeAnswer, RecordSnapshot, StoredTable,
} from '../peer-messages.js';
import {listenForPeers} from '../peer-server.js';
import {RemotePeer} from '../remote-peer.js';

const timeout = 120_000;
/** Each third byte, from this one on; each byte with `CUT_SEED=all npm test -- peers/test/cut-answers`, which takes three times as long. */
const seed = Number(process.env.CUT_SEED ?? 1);
const byteStep = Number.isNaN(seed) ? 1 : 3;
const firstByte = Number.isNaN(seed) ? 0 : seed % byteStep;
/** Calls that are made at once. */
const lanes = 48;
/** Milliseconds after which a call counts as hanging; calls end after 4 s themselves. */
const maxCallMs = 10_000;
/** Upper bound of the bytes of the head of the connection and of an answer. */
const maxBytes = 400;
const state = {
	box: 'box-2' as BoxId, dataCentre: 'a' as DataCentre, tableVersion: 1, inProgress: 0, isStopping: false, leaving: [],
};
const exchange: Exchange = {state, demands: [1, 2]};
const exchangeAnswer: ExchangeAnswer = {state, grants: [1]};
const table: StoredTable = {version: 12, value: 'table'};
const record: RecordSnapshot = {
	origin: {
		account: 'a' as ClientAccountName, key: 'k' as RequestKey, fingerprint: '', service: 's', kind: 'k', body: {}, requestId: 'r', isNamed: true,
	},
	state: 'paused', events: ['e'], remaining: 1,
};

/** A peer with one answer to each call. */
class FixedPeer extends Peer {
	override exchange(): Effect.Effect<ExchangeAnswer, PeerFailure> {
		return Effect.succeed(exchangeAnswer);
	}

	override announceLeaving(): Effect.Effect<void, PeerFailure> {
		return Effect.void;
	}

	override fetchTable(): Effect.Effect<StoredTable | undefined, PeerFailure> {
		return Effect.succeed(table);
	}

	override fetchRecord(): Effect.Effect<RecordSnapshot | undefined, PeerFailure> {
		return Effect.succeed(record);
	}

	override adoptRecords(): Effect.Effect<number, PeerFailure> {
		return Effect.succeed(123);
	}
}

const ways: Readonly<Record<string, readonly [(peer: RemotePeer) => Effect.Effect<unknown, PeerFailure>, unknown]>> = {
	'an exchange': [peer => peer.exchange(exchange), exchangeAnswer],
	'a table': [peer => peer.fetchTable(), table],
	'a record': [peer => peer.fetchRecord({account: 'a' as ClientAccountName, key: 'k' as RequestKey, isTakingOver: false}), record],
	'a hand-over of records': [peer => peer.adoptRecords([record]), 123],
};

/** @returns The answer to a call whose connections end after some bytes, or the kind of the failure. */
async function callCut(port: number, call: (peer: RemotePeer) => Effect.Effect<unknown, PeerFailure>, bytes: number, isReset: boolean): Promise<unknown> {
	const proxy = await FaultProxy.create(port);
	proxy.fault = {kind: 'cut-after', bytes, isReset};
	const peer = RemotePeer.create('127.0.0.1', proxy.port);
	const outcome = await Effect.runPromise(call(peer).pipe(
		Effect.catch(({_tag}) => Effect.succeed(_tag)),
		Effect.timeoutOrElse({duration: maxCallMs, orElse: () => Effect.succeed('hangs')}),
	));
	peer.close();
	proxy.close();
	return outcome;
}

for (const [name, [call, whole]] of Object.entries(ways)) {
	test(`${name} whose answer is cut at any byte is a failure`, {timeout}, async () => {
		const scope = Effect.runSync(Scope.make());
		const port = await Effect.runPromise(listenForPeers(new FixedPeer(), ampleResources(), '127.0.0.1', 0).pipe(Effect.provideService(Scope.Scope, scope)));
		const places = Array.from({length: Math.ceil((maxBytes - firstByte) / byteStep)}, (_, index) => firstByte + (index * byteStep));
		const remaining = places.flatMap(bytes => [false, true].map(isReset => ({bytes, isReset})));
		let failures = 0;
		const runLane = async () => {
			for (let cut = remaining.pop(); cut; cut = remaining.pop()) {
				const outcome = await callCut(port, call, cut.bytes, cut.isReset);
				failures += outcome === 'PeerFailure' ? 1 : 0;
				if (outcome !== 'PeerFailure') {
					assert.deepEqual(outcome, whole, `${cut.isReset ? 'reset' : 'closed'} after ${cut.bytes} bytes`);
				}
			}
		};

		await Promise.all(Array.from({length: lanes}, async () => runLane()));
		await Effect.runPromise(Scope.close(scope, Exit.void));
		assert.ok(failures > 0);
	});
}
