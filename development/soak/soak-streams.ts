/**
 * Stream behaviour of the replicas of a soak test: randomly drawn chunk boundaries always, and stream faults while one is in force.
 */
import type {ReplicaStandin} from '../relay/replica-standin.js';
import {eventOf, type StreamConduct} from '../relay/stream-writer.js';
import {seededBy} from './seeded-by.js';
import {isOnTrial, trialSoftware} from './soak-rollout.js';

/** Kinds of faults in the streams of a replica. */
export type StreamFault = 'stream-breaks' | 'stream-misfits' | 'stream-stalls';

const pieces: ReadonlyArray<StreamConduct['pieces']> = ['whole', 'first-apart', 'bytes', 'in-character', 'together'];
/** Fraction of the streams sent without chunked encoding or a length. */
const unframedShare = 0.25;
/** Fraction of the streams that are faulty at a replica with a stream fault. */
const faultyShare = 0.8;
/** Fraction of the breaks that also affect runs that continue a stream. */
const anyRunShare = 0.5;

/**
 * @param replica - Id of a replica.
 * @returns Its software version; replicas of two versions serve side by side.
 */
export const softwareOf = (replica: string): string => isOnTrial(replica) ? trialSoftware : versionOfPair(replica);

const versionOfPair = (replica: string): string => Number(replica.slice(replica.indexOf('-') + 1)) % 2 === 0 ? 'v2' : 'v1';

type Draw = {
	/** @returns One of the choices, drawn uniformly. */
	readonly among: <Choice>(choices: readonly Choice[]) => Choice;
	/** @returns `true` with the given probability. */
	readonly isIn: (part: number) => boolean;
};

const createDraw = (random: () => number): Draw => ({
	among: choices => choices[Math.floor(random() * choices.length)]!,
	isIn: part => random() < part,
});

/** Sets how the replicas of one soak test write their streams. */
export class SoakStreams {
	/**
	 * @param seed - Seed of all random draws.
	 * @param events - Number of events in each complete stream.
	 * @returns Stream behaviour without faults.
	 */
	static create(seed: number, events: number): SoakStreams {
		return new SoakStreams(seed, events);
	}

	/** Faults in force, by replica id. */
	readonly faults = new Map<string, StreamFault>();

	private constructor(private readonly seed: number, private readonly events: number) {}

	/** @param replica - A replica that writes its streams this way from now on, with the request id in its answers. */
	prepare(replica: ReplicaStandin): void {
		replica.streamEvents = this.events;
		replica.namesRequests = true;
		replica.scriptOf = body => this.scriptOf(replica.id, body);
	}

	private scriptOf(replica: string, body: string): Partial<StreamConduct> {
		const fault = this.faults.get(replica);
		const draw = createDraw(seededBy(this.seed, `${replica} ${body} ${fault ?? ''}`));
		const usual: Partial<StreamConduct> = {pieces: draw.among(pieces), framing: draw.isIn(unframedShare) ? 'none' : 'chunked'};
		return fault === undefined || !draw.isIn(faultyShare) ? usual : {...usual, ...this.faultyConduct(fault, replica, draw)};
	}

	private faultyConduct(fault: StreamFault, replica: string, draw: Draw): Partial<StreamConduct> {
		const event = draw.among(Array.from({length: this.events}, (_, index) => index + 1));
		switch (fault) {
			case 'stream-breaks': {
				// At least one byte of an event: a stream without a length that ends between events can't be told from a complete one.
				const inside = Array.from({length: eventOf(replica, event).length - 1}, (_, index) => index + 1);
				return {breaksAt: {event, bytes: draw.among(inside), isAnyRun: draw.isIn(anyRunShare)}, ending: draw.among(['reset', 'close'])};
			}

			case 'stream-misfits': {
				// Neither the first nor the last event: a relay does not know the first number of a stream, nor its number of events.
				const omittedEvent = draw.among(Array.from({length: this.events - 2}, (_, index) => index + 2));
				return draw.among<Partial<StreamConduct>>([{resumesAt: 'anew'}, {resumesAt: 'too-far'}, {omittedEvent}, {eventWithoutId: event}]);
			}

			default: {
				return {silentFrom: event};
			}
		}
	}
}
