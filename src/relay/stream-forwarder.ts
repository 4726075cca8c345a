/**
 * Forwards a stream of events as they arrive, complete events only, and tracks the last event that the client has.
 */
import * as Effect from 'effect/Effect';
import {isDelimited} from '../base/answer-head.js';
import {containedListener} from '../base/contained-listener.js';
import type {EventFields} from '../base/event-log.js';
import type {AnswerBodies, AnswerBody} from '../resources/answer-bodies.js';
import {EventSplitter, isComment} from '../upstream/event-splitter.js';
import {withoutContentLength} from './answer-headers.js';
import {AttemptFailure} from './attempt-failure.js';
import type {ClientAnswer} from './client-answer.js';
import {EventSequence, type EventMisfit} from './event-sequence.js';
import type {RelayFormat} from './relay-format.js';
import type {RelayMetrics} from './relay-metrics.js';
import {incompleteFailure, onceEnded, type OpenAnswer} from './replica-exchange.js';

/** Maps each byte to one character and back. */
const byteEncoding = 'latin1';

/** Receives notifications about a stream. */
export type StreamListener = {
	/** Called at the first event of a run. */
	readonly onFirstEvent: () => void;
	/** Called when bytes arrive. */
	readonly onBytes: () => void;
};

/** Dependencies of a passage. */
export type StreamForwarderParts = {
	/** The answer that events are written to. */
	readonly client: ClientAnswer;
	/** Parses event ids. */
	readonly format: RelayFormat;
	readonly metrics: RelayMetrics;
	/** The answers of this process, which share its memory; absent if what clients have not read need not count. */
	readonly answers?: AnswerBodies;
	/** Id of the last event that the client received earlier; `undefined` if there is none. */
	readonly lastEventId: string | undefined;
};

/** One client's stream, across all replicas that produce it. Each replica's part of it is a run. */
export class StreamForwarder {
	/**
	 * @param parts - Its dependencies.
	 * @returns A passage that has forwarded no event.
	 */
	static create(parts: StreamForwarderParts): StreamForwarder {
		return new StreamForwarder(parts);
	}

	/** Bytes of incomplete events at the end of runs; they are not forwarded. */
	private incompleteBytes = 0;
	/** Events that were not the next one or were too large. */
	private misfits = 0;
	/** Ids of the events after which later runs were asked to resume. */
	private readonly resumedAfter: string[] = [];
	private readonly sequence: EventSequence;
	/** What the client has not read yet; `undefined` while that is little. */
	private unread: AnswerBody | undefined;

	private constructor(private readonly parts: StreamForwarderParts) {
		this.sequence = EventSequence.create(parts.lastEventId);
	}

	/** Id of the last event that was forwarded; `undefined` if none was. */
	get lastEventId(): string | undefined {
		return this.sequence.acceptedCount > 0 ? this.sequence.lastEventId : undefined;
	}

	/** Events that were forwarded. */
	get eventCount(): number {
		return this.sequence.acceptedCount;
	}

	/** Fields for the log record of the request; empty if nothing was streamed. */
	get fields(): EventFields {
		const {acceptedCount} = this.sequence;
		return acceptedCount + this.incompleteBytes + this.misfits === 0
			? {}
			: {
				events: acceptedCount,
				lastEvent: this.lastEventId,
				resumedBehind: this.resumedAfter.length === 0 ? undefined : this.resumedAfter.join(' '),
				heldBack: this.incompleteBytes === 0 ? undefined : this.incompleteBytes,
				misfits: this.misfits === 0 ? undefined : this.misfits,
			};
	}

	/**
	 * Forwards one replica's events to the end of its answer. The head is sent once, with the first event.
	 *
	 * @param answer - The replica's answer.
	 * @param listener - Notified of received bytes and of the first event.
	 * @returns An effect that completes when the stream is complete; fails if it was cut, ended inside an event or without one, or an event was
	 * not the next one or too large.
	 */
	forward(answer: OpenAnswer, listener: StreamListener): Effect.Effect<void, AttemptFailure> {
		return Effect.callback<void, AttemptFailure>(resume => {
			const splitter = EventSplitter.create();
			const {message} = answer;
			const acceptedBefore = this.sequence.acceptedCount;
			let isOver = false;
			const end = (failure?: AttemptFailure) => {
				isOver = true;
				this.recordRunEnd(splitter.incompleteLength);
				resume(failure ? Effect.fail(failure) : Effect.void);
			};

			this.recordResumption();
			// Each byte becomes one character, so that bytes that are not valid text reach the client unchanged.
			message.setEncoding(byteEncoding);
			message.on('data', containedListener(resume, (chunk: string) => {
				if (isOver) {
					return;
				}

				listener.onBytes();
				const hadEvents = this.sequence.acceptedCount > acceptedBefore;
				const {fitting, misfit} = this.acceptEvents(splitter.split(chunk));
				if (!hadEvents && this.sequence.acceptedCount > acceptedBefore) {
					listener.onFirstEvent();
				}

				if (fitting.length > 0) {
					this.passEvents(answer, fitting);
					this.applyBackpressure(answer);
				}

				if (misfit !== undefined || splitter.exceedsMaxLength) {
					answer.abandon();
					end(this.misfitFailure(misfit ?? 'oversize'));
				}
			}));
			onceEnded(answer, containedListener(resume, isWhole => {
				if (isOver) {
					return;
				}

				// The framing may mark an answer as complete although its last event is incomplete.
				if (!isWhole || splitter.incompleteLength > 0) {
					end(incompleteFailure(answer, `the stream was cut after ${this.sequence.acceptedCount} events, ${splitter.incompleteLength} bytes into the next`));
					return;
				}

				if (this.sequence.acceptedCount === acceptedBefore && !this.mayLackEvents(answer)) {
					end(AttemptFailure.mayHaveRun('no-event', `the answer ended without an event, after ${acceptedBefore} events`));
					return;
				}

				this.sendHeadOnce(answer);
				this.parts.client.end();
				end();
			}));
			// After an interruption, no further data of this run reaches the client.
			return Effect.sync(() => {
				isOver = true;
			});
		});
	}

	/** Accepts events up to the first that is not the next one: otherwise parts of two runs would look like one continuous stream. */
	private acceptEvents(events: readonly string[]): {readonly fitting: readonly string[]; readonly misfit: EventMisfit | undefined} {
		let misfit: EventMisfit | undefined;
		const at = events.findIndex(event => {
			misfit = this.misfitOf(event);
			return misfit !== undefined;
		});
		return {fitting: at === -1 ? events : events.slice(0, at), misfit};
	}

	private misfitOf(event: string): EventMisfit | undefined {
		const misfit = this.sequence.accept(this.parts.format.eventId(event));
		return misfit === 'unnumbered' && isComment(event) ? undefined : misfit;
	}

	private misfitFailure(reason: EventMisfit | 'oversize'): AttemptFailure {
		this.misfits++;
		this.parts.metrics.eventMisfits.inc({reason});
		return AttemptFailure.mayHaveRun('garbled', `an event came that is ${reason}, after ${this.sequence.acceptedCount} events`);
	}

	/** A run that continues behind the last event has none left. Without a length or chunks, it looks like one whose replica stopped. */
	private mayLackEvents({message, isBodiless}: OpenAnswer): boolean {
		return isBodiless || (this.sequence.lastEventId !== undefined && isDelimited(message));
	}

	private recordResumption(): void {
		if (this.lastEventId !== undefined) {
			this.resumedAfter.push(this.lastEventId);
		}
	}

	private recordRunEnd(heldBack: number): void {
		this.incompleteBytes += heldBack;
		if (heldBack > 0) {
			this.parts.metrics.streamsEndedInsideEvent.inc();
		}
	}

	private passEvents(answer: OpenAnswer, events: readonly string[]): void {
		this.sendHeadOnce(answer);
		this.parts.client.write(events.join(''), byteEncoding);
	}

	/** Omits `Content-Length`: the length that the first replica sent is wrong if the stream continues at another replica. */
	private sendHeadOnce({message, status}: OpenAnswer): void {
		const {client, format} = this.parts;
		if (!client.hasBegun) {
			client.begin(status, withoutContentLength(format.answerHeaders(message)));
		}
	}

	/** Applies backpressure: a client that reads slowly slows down its replica instead of filling this box's memory. */
	private applyBackpressure({message}: OpenAnswer): void {
		const {client} = this.parts;
		if (client.isCongested) {
			message.pause();
			this.countUnread();
			client.onceDrained(() => {
				this.unread?.end();
				message.resume();
			});
		}
	}

	private countUnread(): void {
		const {client, answers} = this.parts;
		if (!this.unread) {
			client.onceClosed(() => {
				this.unread?.end();
			});
		}

		const disconnect = () => {
			client.reset();
		};

		this.unread?.end();
		this.unread = answers?.begin(disconnect);
		this.unread?.beginSending(disconnect);
		this.unread?.add(client.unsentBytes);
	}
}
