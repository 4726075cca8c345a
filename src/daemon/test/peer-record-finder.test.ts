import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import type {ClientAccountName, RequestKey} from '../../base/identifiers.js';
import type {ReachablePeer} from '../../peers/peer-links.js';
import type {RecordSnapshot} from '../../peers/peer-messages.js';
import {PeerRecordFinder} from '../peer-record-finder.js';

const name = {account: 'a' as ClientAccountName, key: 'k' as RequestKey};
const snapshot = (state: RecordSnapshot['state'], events: number): RecordSnapshot => ({
	origin: {
		...name, fingerprint: 'f', service: 's', kind: 'k', body: {}, requestId: 'r', isNamed: true,
	},
	state, events: Array.from({length: events}, (_, index) => `data: ${index}\n\n`), remaining: 1000,
});

const found = async (snapshots: readonly RecordSnapshot[]) => {
	const peers = snapshots.map(answer => ({peer: {fetchRecord: () => Effect.succeed(answer)}}) as unknown as ReachablePeer);
	return Effect.runPromise(PeerRecordFinder.create(() => peers).lookUp(name, false));
};

test('of several records of a request the longest is chosen, and among equally long ones a finished one', async () => {
	for (const states of [['paused', 'finished'], ['finished', 'paused'], ['running', 'finished']] as const) {
		assert.equal((await found(states.map(state => snapshot(state, 5))))?.state, 'finished', states.join(', '));
	}

	assert.equal((await found([snapshot('finished', 5), snapshot('paused', 7)]))?.state, 'paused', 'the caller may already have all its events');
	assert.equal((await found([snapshot('paused', 2), snapshot('running', 5)]))?.events.length, 5);
	assert.equal(await found([]), undefined);
});
