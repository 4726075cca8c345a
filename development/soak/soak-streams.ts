/**
 * How the replicas of a soak write their streams: in drawn pieces always, and with faults while one is struck.
 */
import type {ReplicaStandin} from '../relay/replica-standin.js';
import {eventOf, type StreamConduct} from '../relay/stream-writer.js';
import {seededBy} from './seeded-by.js';

/** What may be wrong with the streams of a replica. */
export type StreamFault = 'stream-breaks' | 'stream-misfits' | 'stream-stalls';

const pieces: ReadonlyArray<StreamConduct['pieces']> = ['whole', 'first-apart', 'bytes', 'in-character', 'together'];
/** Part of the streams that come without a length. */
const unframedPart = 0.25;
/** Part of the streams of a struck replica that go wrong. */
const wrongPart = 0.8;
/** Part of the breaks that strike runs that go on, too. */
const anyRunPart = 0.5;

type Draw = {
	/** @returns One of several. */
	readonly among: <Choice>(choices: readonly Choice[]) => Choice;
	/** @returns Whether it falls in a part of all. */
	readonly isIn: (part: number) => boolean;
};

const drawOf = (random: () => number): Draw => ({
	among: choices => choices[Math.floor(random() * choices.length)]!,
	isIn: part => random() < part,
});

/** The streams of one soak. */
export class SoakStreams {
	/**
	 * @param seed - Draws all.
	 * @param events - Events of each stream.
	 * @returns Nothing is wrong yet.
	 */
	static create(seed: number, events: number): SoakStreams {
		return new SoakStreams(seed, events);
	}

	/** What is wrong by ids of replicas. */
	readonly faults = new Map<string, StreamFault>();

	private constructor(private readonly seed: number, private readonly events: number) {}

	/** @param replica - A replica that writes its streams so from now on, and names requests in them. */
	prepare(replica: ReplicaStandin): void {
		replica.streamEvents = this.events;
		replica.namesRequests = true;
		replica.scriptOf = body => this.scriptOf(replica.id, body);
	}

	private scriptOf(replica: string, body: string): Partial<StreamConduct> {
		const fault = this.faults.get(replica);
		const draw = drawOf(seededBy(this.seed, `${replica} ${body} ${fault ?? ''}`));
		const usual: Partial<StreamConduct> = {pieces: draw.among(pieces), framing: draw.isIn(unframedPart) ? 'none' : 'chunked'};
		return fault === undefined || !draw.isIn(wrongPart) ? usual : {...usual, ...this.wrong(fault, replica, draw)};
	}

	private wrong(fault: StreamFault, replica: string, draw: Draw): Partial<StreamConduct> {
		const event = draw.among(Array.from({length: this.events}, (_, index) => index + 1));
		switch (fault) {
			case 'stream-breaks': {
				// At least a byte of an event: nobody can tell a stream without a length that ends between events from a whole one.
				const inside = Array.from({length: eventOf(replica, event).length - 1}, (_, index) => index + 1);
				return {breaksAt: {event, bytes: draw.among(inside), isAnyRun: draw.isIn(anyRunPart)}, ending: draw.among(['reset', 'close'])};
			}

			case 'stream-misfits': {
				// Neither the first nor the last: nobody else knows at which number a stream begins, and how many events it has.
				const leftOut = draw.among(Array.from({length: this.events - 2}, (_, index) => index + 2));
				return draw.among<Partial<StreamConduct>>([{goesOn: 'anew'}, {goesOn: 'too-far'}, {leftOut}, {nameless: event}]);
			}

			default: {
				return {silentFrom: event};
			}
		}
	}
}
