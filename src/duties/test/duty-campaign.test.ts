import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {StoreStandin} from '../../../development/relay/store-standin.js';
import {HttpMetadataStore} from '../../../platform/metadata-store.js';
import {
	isCandidate, isHolderActive, mustCheckHolder, type CampaignFacts,
} from '../duty-campaign.js';
import {firstRecord} from '../duty-record.js';
import {HolderLiveness} from '../holder-liveness.js';

const facts = (changes: Partial<CampaignFacts>): CampaignFacts => ({
	self: 'box-2', incarnation: 'one', record: {
		...firstRecord, holder: 'box-1', incarnation: 'x', fence: 3,
	}, outdatedFor: 0, heard: [], rivals: [], heardPart: 1, storeSilence: 0,
	isStopping: false, isAggregator: true, ...changes,
});

test('in a network partition the minority checks whether the holder is alive before it acquires the duties, the majority does not', () => {
	assert.equal(mustCheckHolder(facts({heardPart: 0.35})), true);
	assert.equal(mustCheckHolder(facts({heardPart: 0.65})), false);
	assert.equal(mustCheckHolder(facts({heardPart: 0.35, record: firstRecord})), false, 'no box holds the duties');
	assert.equal(mustCheckHolder(facts({heardPart: 0.35, self: 'box-1'})), false, 'this box held the duties last');
});

test('a box that does not receive the gossip of all other boxes is not a candidate', () => {
	assert.equal(isCandidate(facts({})), true);
	assert.equal(isCandidate(facts({isAggregator: false})), false);
});

test('a holder counts as alive while it writes its draft, and as stopped after 4 s without a write', async () => {
	const standin = await StoreStandin.start();
	const clock = new ManualClock(10_000);
	const life = HolderLiveness.create(HttpMetadataStore.create('127.0.0.1', standin.port), clock);
	const look = async (write: boolean): Promise<boolean> => {
		clock.now += 1100;
		if (write) {
			standin.put('waydrift-duties', 'usage', {starts: [], at: clock.now});
		}

		return Effect.runPromise(life.mayBeAlive());
	};

	for (let round = 0; round < 8; round++) {
		assert.equal(await look(true), true);
	}

	const silent = [await look(false), await look(false), await look(false), await look(false)];
	assert.deepEqual(silent, [true, true, true, false]);
	clock.now += 60_000;
	assert.equal(await look(false), true, 'an interrupted observation starts again');
	await standin.close();
});

test('after a restore of the store the recorded holder acquires the duties again, or the first candidate by name if it does not', () => {
	const named = {name: 'box-1', host: '10.0.0.1', port: 1};
	const last = {incarnation: 'x', isStopping: false, storeAge: 100};
	const peer = {address: named, last} as unknown as CampaignFacts['heard'][number];
	const self = facts({self: 'box-1', incarnation: 'x', outdatedFor: 1});
	assert.deepEqual([isHolderActive(self), isCandidate(self)], [false, true]);
	const other = {self: 'box-0', heard: [peer], rivals: [peer]};
	assert.equal(isHolderActive(facts({...other, outdatedFor: 500})), true);
	const waited = facts({...other, outdatedFor: 2500});
	assert.deepEqual([isHolderActive(waited), isCandidate(waited)], [false, true]);
});
