/**
 * Passes a stream of events on as they come, whole events only, and knows the last one that the client has.
 */
import * as Effect from 'effect/Effect';
import type {EventFields} from '../base/event-log.js';
import {EventSplitter} from '../upstream/event-splitter.js';
import {AttemptFailure} from './attempt-failure.js';
import type {ClientAnswer} from './client-answer.js';
import {EventSequence} from './event-sequence.js';
import type {RelayFormat} from './relay-format.js';
import type {RelayMetrics} from './relay-metrics.js';
import {onceEnded, type OpenAnswer} from './replica-exchange.js';

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

	/** Id of the last event that was passed on. */
	lastEventId: string | undefined;
	/** Events that were passed on. */
	private events = 0;
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

	/** What became of the stream, for the line of its request; nothing where it is none. */
	get fields(): EventFields {
		return this.events === 0 && this.heldBack === 0
			? {}
			: {
				events: this.events,
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
	 * @returns Ends when the stream is whole; fails where it was cut.
	 */
	pass(answer: OpenAnswer, listener: StreamListener): Effect.Effect<void, AttemptFailure> {
		return Effect.callback<void, AttemptFailure>(resume => {
			const splitter = EventSplitter.create();
			const {message} = answer;
			let hasEvents = false;
			this.noteRun();
			message.setEncoding('utf8');
			message.on('data', (chunk: string) => {
				listener.onHeard();
				const events = splitter.split(chunk);
				if (events.length === 0) {
					return;
				}

				if (!hasEvents) {
					hasEvents = true;
					listener.onFirstEvent();
				}

				this.passEvents(answer, events);
				this.holdBack(answer);
			});
			onceEnded(answer, isWhole => {
				this.noteEnd(splitter.heldBack);
				if (!isWhole) {
					resume(Effect.fail(AttemptFailure.mayHaveRun('cut', `the stream was cut after ${this.events} events`)));
					return;
				}

				this.beginOnce(answer);
				this.parts.client.end();
				resume(Effect.void);
			});
		});
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
		const {client, format, metrics} = this.parts;
		this.beginOnce(answer);
		this.events += events.length;
		const ids = events.map(event => format.eventId(event));
		for (const misfit of ids.map(id => this.sequence.take(id)).filter(found => found !== undefined)) {
			this.misfits++;
			metrics.eventMisfits.inc({reason: misfit});
		}

		this.lastEventId = ids.findLast(id => id !== undefined) ?? this.lastEventId;
		client.write(events.join(''));
	}

	private beginOnce({message, status}: OpenAnswer): void {
		const {client, format} = this.parts;
		if (!client.hasBegun) {
			client.begin(status, format.answerHeaders(message));
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
