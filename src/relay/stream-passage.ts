/**
 * Passes a stream of events on as they come, whole events only, and knows the last one that the client has.
 */
import * as Effect from 'effect/Effect';
import type {EventFields} from '../base/event-log.js';
import {EventSplitter, isComment} from '../upstream/event-splitter.js';
import {withoutLength} from './answer-headers.js';
import {AttemptFailure} from './attempt-failure.js';
import type {ClientAnswer} from './client-answer.js';
import {EventSequence, type EventMisfit} from './event-sequence.js';
import type {RelayFormat} from './relay-format.js';
import type {RelayMetrics} from './relay-metrics.js';
import {onceEnded, type OpenAnswer} from './replica-exchange.js';

/** One byte is one character, both ways. */
const byteEncoding = 'latin1';

/** What is told of a stream as it passes. */
export type StreamListener = {
	/** The first event of a run has come. */
	readonly onFirstEvent: () => void;
	/** Bytes have come. */
	readonly onHeard: () => void;
};

/** What a passage needs. */
export type PassageParts = {
	/** Where events go. */
	readonly client: ClientAnswer;
	/** Reads ids. */
	readonly format: RelayFormat;
	readonly metrics: RelayMetrics;
	/** Id of the last event that the client has from before; `undefined` where it has none. */
	readonly lastEventId: string | undefined;
};

/** One client's stream, over all the replicas that make it. */
export class StreamPassage {
	/**
	 * @param parts - What it needs.
	 * @returns A passage that has passed nothing.
	 */
	static create(parts: PassageParts): StreamPassage {
		return new StreamPassage(parts);
	}

	/** Bytes of events that runs ended inside of. */
	private heldBack = 0;
	/** Events that were not the next one. */
	private misfits = 0;
	/** Ids behind which later runs were to go on. */
	private readonly resumedBehind: string[] = [];
	private readonly sequence: EventSequence;

	private constructor(private readonly parts: PassageParts) {
		this.sequence = EventSequence.create(parts.lastEventId);
	}

	/** Id of the last event that was passed on; `undefined` where none was. */
	get lastEventId(): string | undefined {
		return this.sequence.taken > 0 ? this.sequence.lastEventId : undefined;
	}

	/** What became of the stream, for the line of its request; nothing where it is none. */
	get fields(): EventFields {
		const {taken} = this.sequence;
		return taken + this.heldBack + this.misfits === 0
			? {}
			: {
				events: taken,
				lastEvent: this.lastEventId,
				resumedBehind: this.resumedBehind.length === 0 ? undefined : this.resumedBehind.join(' '),
				heldBack: this.heldBack === 0 ? undefined : this.heldBack,
				misfits: this.misfits === 0 ? undefined : this.misfits,
			};
	}

	/**
	 * Passes one replica's events on to the end of its answer. The head goes with the first event, and only once.
	 *
	 * @param answer - The replica's answer.
	 * @param listener - Told of the first event.
	 * @returns Ends when the stream is whole; fails where it was cut, ended inside an event, or went on with another event than the next.
	 */
	pass(answer: OpenAnswer, listener: StreamListener): Effect.Effect<void, AttemptFailure> {
		return Effect.callback<void, AttemptFailure>(resume => {
			const splitter = EventSplitter.create();
			const {message} = answer;
			const takenBefore = this.sequence.taken;
			let isOver = false;
			const end = (failure?: AttemptFailure) => {
				isOver = true;
				this.noteEnd(splitter.heldBack);
				resume(failure ? Effect.fail(failure) : Effect.void);
			};

			this.noteRun();
			// Each byte is one character, so that bytes which are no text reach the client as they are.
			message.setEncoding(byteEncoding);
			message.on('data', (chunk: string) => {
				if (isOver) {
					return;
				}

				listener.onHeard();
				const hadEvents = this.sequence.taken > takenBefore;
				const {fitting, misfit} = this.judge(splitter.split(chunk));
				if (!hadEvents && this.sequence.taken > takenBefore) {
					listener.onFirstEvent();
				}

				if (fitting.length > 0) {
					this.passEvents(answer, fitting);
					this.holdBack(answer);
				}

				if (misfit !== undefined || splitter.isOverfull) {
					answer.abandon();
					end(this.garbled(misfit ?? 'oversize'));
				}
			});
			onceEnded(answer, isWhole => {
				if (isOver) {
					return;
				}

				// The framing may say that an answer is whole whose last event is not.
				if (!isWhole || splitter.heldBack > 0) {
					end(AttemptFailure.mayHaveRun('cut', `the stream was cut after ${this.sequence.taken} events, ${splitter.heldBack} bytes into the next`));
					return;
				}

				this.beginOnce(answer);
				this.parts.client.end();
				end();
			});
			// Nothing of a run that is given up on reaches the client behind that.
			return Effect.sync(() => {
				isOver = true;
			});
		});
	}

	/** Only what comes next is passed on: parts of two runs, one behind the other, would look like one stream. */
	private judge(events: readonly string[]): {readonly fitting: readonly string[]; readonly misfit: EventMisfit | undefined} {
		let misfit: EventMisfit | undefined;
		const at = events.findIndex(event => {
			misfit = this.misfitOf(event);
			return misfit !== undefined;
		});
		return {fitting: at === -1 ? events : events.slice(0, at), misfit};
	}

	private misfitOf(event: string): EventMisfit | undefined {
		const misfit = this.sequence.take(this.parts.format.eventId(event));
		return misfit === 'unnumbered' && isComment(event) ? undefined : misfit;
	}

	private garbled(reason: EventMisfit | 'oversize'): AttemptFailure {
		this.misfits++;
		this.parts.metrics.eventMisfits.inc({reason});
		return AttemptFailure.mayHaveRun('garbled', `an event came that is ${reason}, after ${this.sequence.taken} events`);
	}

	private noteRun(): void {
		if (this.lastEventId !== undefined) {
			this.resumedBehind.push(this.lastEventId);
		}
	}

	private noteEnd(heldBack: number): void {
		this.heldBack += heldBack;
		if (heldBack > 0) {
			this.parts.metrics.streamsEndedInside.inc();
		}
	}

	private passEvents(answer: OpenAnswer, events: readonly string[]): void {
		this.beginOnce(answer);
		this.parts.client.write(events.join(''), byteEncoding);
	}

	/** The length that the first replica told is not that of a stream which goes on elsewhere: none is told on. */
	private beginOnce({message, status}: OpenAnswer): void {
		const {client, format} = this.parts;
		if (!client.hasBegun) {
			client.begin(status, withoutLength(format.answerHeaders(message)));
		}
	}

	/** A client that reads slowly slows its replica down, not this box's memory up. */
	private holdBack({message}: OpenAnswer): void {
		const {client} = this.parts;
		if (client.isCongested) {
			message.pause();
			client.onceDrained(() => {
				message.resume();
			});
		}
	}
}
