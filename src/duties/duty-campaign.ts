/**
 * Decides whether this box is to take the duties over.
 */
import type {Peer} from '../gossip/peer-table.js';
import type {DutyRecord} from './duty-record.js';

/** What the decision rests on. */
export type CampaignFacts = {
	readonly self: string;
	readonly incarnation: string;
	readonly record: DutyRecord | undefined;
	/** Milliseconds since the store came back from a copy and nobody has taken the duties anew; zero where the record counts. */
	readonly outdatedFor: number;
	/** Boxes that were heard lately. */
	readonly heard: readonly Peer[];
	/** Those of them that may take the duties over too. */
	readonly rivals: readonly Peer[];
	/** Part of all boxes that are heard, this one too. */
	readonly heardPart: number;
	/** Milliseconds since the store last answered this box. */
	readonly storeSilence: number;
	readonly isStopping: boolean;
	/** Whether all other boxes tell this one. */
	readonly isAggregator: boolean;
};

/** Milliseconds of silence after which the store counts as out of a candidate's reach. */
const candidateSilence = 2500;
/** Milliseconds of silence after which a holder, which writes each second, is taken to be out of the store's reach. */
const holderSilence = 3000;
/** Milliseconds for which the box that a restored record names is left to take the duties anew. */
const renewalTime = 2000;
/** Part of the boxes that must be heard to take the duties over from a box that may only be out of hearing. */
const majorityPart = 0.5;

/**
 * @param facts - What the decision rests on.
 * @returns Whether the box that holds the duties is at work, as far as this one can tell.
 */
export function isHolderAtWork({self, incarnation, record, outdatedFor, heard}: CampaignFacts): boolean {
	if (!record || record.holder === '' || outdatedFor > renewalTime) {
		return false;
	}

	if (record.holder === self) {
		return record.incarnation === incarnation && outdatedFor === 0;
	}

	const last = heard.find(({address}) => address.name === record.holder)?.last;
	return last?.incarnation === record.incarnation && !last.isStopping && last.storeAge < holderSilence;
}

/**
 * @param facts - What the decision rests on.
 * @returns Whether this box is the one to take the duties over: the box that held them last, where it is
 * there again, since its own acts need not be waited out; else the first by name.
 */
export function isCandidate({self, record, outdatedFor, rivals, storeSilence, isStopping, isAggregator}: CampaignFacts): boolean {
	if (isStopping || !isAggregator || storeSilence > candidateSilence) {
		return false;
	}

	const others = rivals.filter(({last}) => last && !last.isStopping && last.storeAge < candidateSilence).map(({address}) => address.name);
	if (record?.holder === self) {
		return true;
	}

	return (outdatedFor > renewalTime || !others.includes(record?.holder ?? '')) && others.every(name => self < name);
}

/**
 * Two parts of a fleet may both reach the store and not each other. The greater one goes ahead; the lesser one takes the
 * duties over only where nobody shows life in the store.
 *
 * @param facts - What the decision rests on.
 * @returns Whether this box is to look for signs of life first.
 */
export function mustLookForLife({heardPart, record, self}: CampaignFacts): boolean {
	return heardPart < majorityPart && record !== undefined && record.holder !== '' && record.holder !== self;
}
