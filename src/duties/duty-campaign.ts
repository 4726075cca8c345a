/**
 * Decides whether this box should acquire the duties.
 */
import type {Peer} from '../gossip/peer-table.js';
import type {DutyRecord} from './duty-record.js';

/** Input of the decision. */
export type CampaignFacts = {
	readonly self: string;
	readonly incarnation: string;
	readonly record: DutyRecord | undefined;
	/** Milliseconds since the store was restored from a backup without a new holder since; zero while the record is valid. */
	readonly outdatedFor: number;
	/** Boxes from which this box recently received gossip. */
	readonly heard: readonly Peer[];
	/** Those of `heard` that may also acquire the duties. */
	readonly rivals: readonly Peer[];
	/** Fraction of all boxes from which gossip arrives, including this box. */
	readonly heardPart: number;
	/** Milliseconds since the store's last answer to this box. */
	readonly storeSilence: number;
	readonly isStopping: boolean;
	/** Whether all other boxes send their gossip to this box. */
	readonly isAggregator: boolean;
};

/** Milliseconds without an answer after which a candidate counts as cut off from the store. */
const candidateStoreTimeout = 2500;
/** Milliseconds without an answer after which a holder, which writes every second, counts as cut off from the store. */
const holderStoreTimeout = 3000;
/** Milliseconds that the holder named by a restored record has to acquire the duties again before other boxes may. */
const renewalGrace = 2000;
/** Fraction of the boxes that must be reachable to acquire the duties without checking whether the holder still writes to the store. */
const majorityPart = 0.5;

/**
 * @param facts - Input of the decision.
 * @returns Whether the holder of the duties appears to be working, as seen from this box.
 */
export function isHolderActive({self, incarnation, record, outdatedFor, heard}: CampaignFacts): boolean {
	if (!record || record.holder === '' || outdatedFor > renewalGrace) {
		return false;
	}

	if (record.holder === self) {
		return record.incarnation === incarnation && outdatedFor === 0;
	}

	const last = heard.find(({address}) => address.name === record.holder)?.last;
	return last?.incarnation === record.incarnation && !last.isStopping && last.storeAge < holderStoreTimeout;
}

/**
 * @param facts - Input of the decision.
 * @returns Whether this box should acquire the duties. The previous holder has precedence if it is back, since it need
 * not wait for its own calls to complete. Otherwise the candidate with the lowest name acquires them.
 */
export function isCandidate({self, record, outdatedFor, rivals, storeSilence, isStopping, isAggregator}: CampaignFacts): boolean {
	if (isStopping || !isAggregator || storeSilence > candidateStoreTimeout) {
		return false;
	}

	const others = rivals.filter(({last}) => last && !last.isStopping && last.storeAge < candidateStoreTimeout).map(({address}) => address.name);
	if (record?.holder === self) {
		return true;
	}

	return (outdatedFor > renewalGrace || !others.includes(record?.holder ?? '')) && others.every(name => self < name);
}

/**
 * In a network partition, both sides may still reach the store. The majority side acquires the duties directly. The
 * minority side acquires them only if the holder no longer writes to the store.
 *
 * @param facts - Input of the decision.
 * @returns Whether this box must first check that the holder no longer writes to the store.
 */
export function mustCheckHolder({heardPart, record, self}: CampaignFacts): boolean {
	return heardPart < majorityPart && record !== undefined && record.holder !== '' && record.holder !== self;
}
