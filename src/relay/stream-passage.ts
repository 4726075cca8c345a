/**
 * Passes a stream of events on as they come, whole events only, and knows the last one that the client has.
 */
import * as Effect from 'effect/Effect';
import {EventSplitter} from '../upstream/event-splitter.js';
import {AttemptFailure} from './attempt-failure.js';
import type {ClientAnswer} from './client-answer.js';
import type {RelayFormat} from './relay-format.js';
import {onceEnded, type OpenAnswer} from './replica-exchange.js';

/** What is told of a stream as it passes. */
export type StreamListener = {
	/** The first event of a run has come. */
	readonly onFirstEvent: () => void;
	/** Bytes have come. */
	readonly onHeard: () => void;
};

/** One client's stream, over all the replicas that make it. */
export class StreamPassage {
	/**
	 * @param client - Where events go.
	 * @param format - Reads ids.
	 * @returns A passage that has passed nothing.
	 */
	static create(client: ClientAnswer, format: RelayFormat): StreamPassage {
		return new StreamPassage(client, format);
	}

	/** Id of the last event that was passed on. */
	lastEventId: string | undefined;
	/** Events that were passed on. */
	events = 0;

	private constructor(private readonly client: ClientAnswer, private readonly format: RelayFormat) {}

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
				if (!isWhole) {
					resume(Effect.fail(AttemptFailure.mayHaveRun('cut', `the stream was cut after ${this.events} events`)));
					return;
				}

				this.beginOnce(answer);
				this.client.end();
				resume(Effect.void);
			});
		});
	}

	private passEvents(answer: OpenAnswer, events: readonly string[]): void {
		this.beginOnce(answer);
		this.events += events.length;
		this.lastEventId = events.map(event => this.format.eventId(event)).findLast(id => id !== undefined) ?? this.lastEventId;
		this.client.write(events.join(''));
	}

	private beginOnce({message, status}: OpenAnswer): void {
		if (!this.client.hasBegun) {
			this.client.begin(status, this.format.answerHeaders(message));
		}
	}

	/** A client that reads slowly slows its replica down, not this box's memory up. */
	private holdBack({message}: OpenAnswer): void {
		if (this.client.isCongested) {
			message.pause();
			this.client.onceDrained(() => {
				message.resume();
			});
		}
	}
}
