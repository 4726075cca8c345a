/**
 * Delivers the answer to one attempt to the client: events as they arrive, any other body once it is complete.
 */
import * as Effect from 'effect/Effect';
import type {AnswerBodies} from '../resources/answer-bodies.js';
import type {AdmittedRequest} from './admitted-request.js';
import {withoutContentLength} from './answer-headers.js';
import {AttemptFailure} from './attempt-failure.js';
import type {ClientAnswer} from './client-answer.js';
import type {RelayFormat} from './relay-format.js';
import {readWholeBody, type OpenAnswer, type ReadBody} from './replica-exchange.js';
import type {StreamForwarder} from './stream-forwarder.js';

const firstRedirection = 300;
const firstServerError = 500;

/** Receives notifications about an answer. */
export type DeliveryListener = {
	/** Called when bytes of a stream arrive. */
	readonly onBytes: () => void;
	/** Called at the first event of a stream. */
	readonly onFirstEvent: () => void;
	/** Called when a body that is not a stream is complete, with whether its status is a server error. */
	readonly onBody: (isError: boolean) => void;
	/** Called when a stream is complete. */
	readonly onStreamEnd: () => void;
};

/** Dependencies of a delivery. */
export type DeliveryParts = {
	readonly format: RelayFormat;
	/** The answers of this process, which share its memory. */
	readonly answers: AnswerBodies;
	readonly client: ClientAnswer;
	readonly streamForwarder: StreamForwarder;
	readonly request: AdmittedRequest;
	/** Whether a server error may be followed by another attempt. */
	readonly mayRetryError: boolean;
};

/** The delivery of one answer. */
export class AnswerDelivery {
	/**
	 * @param parts - Its dependencies.
	 * @returns A delivery; call {@link deliver} once.
	 */
	static create(parts: DeliveryParts): AnswerDelivery {
		return new AnswerDelivery(parts);
	}

	/** Sends an error answer that was held back to the client; `undefined` if there is none. */
	failedAnswer: (() => void) | undefined;

	private constructor(private readonly parts: DeliveryParts) {}

	/**
	 * @param answer - The answer.
	 * @param listener - Notified of its progress.
	 * @returns An effect that completes when the answer was sent to the client; fails if it is incomplete or held back.
	 */
	deliver(answer: OpenAnswer, listener: DeliveryListener): Effect.Effect<void, AttemptFailure> {
		const {request, streamForwarder, answers} = this.parts;
		const isStream = request.route.kind === 'stream' && answer.status < firstRedirection;
		return isStream
			? streamForwarder.forward(answer, listener).pipe(Effect.tap(() => Effect.sync(listener.onStreamEnd)))
			: readWholeBody(answer, {answers}).pipe(Effect.flatMap(body => this.deliverBody(answer, body, listener)));
	}

	private deliverBody(answer: OpenAnswer, body: ReadBody, {onBody}: DeliveryListener): Effect.Effect<void, AttemptFailure> {
		const {client, mayRetryError} = this.parts;
		const {status} = answer;
		const isError = status >= firstServerError;
		onBody(isError);
		client.onceClosed(() => {
			body.memory.end();
		});
		if (client.hasBegun) {
			return Effect.fail(AttemptFailure.mayHaveRun('failed', `the replica that was to go on answered ${status}`));
		}

		const sendToClient = () => {
			this.sendBody(answer, body);
		};

		if (isError && mayRetryError) {
			this.failedAnswer = sendToClient;
			return Effect.fail(AttemptFailure.mayHaveRun('failed', `the replica answered ${status}`));
		}

		sendToClient();
		return Effect.void;
	}

	private sendBody(answer: OpenAnswer, {bytes, memory}: ReadBody): void {
		const {format, client} = this.parts;
		const headers = format.answerHeaders(answer.message);
		const {status, isBodiless} = answer;
		memory.beginSending(() => {
			client.reset();
		});
		client.send(status, isBodiless ? headers : withoutContentLength(headers), bytes, {
			isBodiless, onProgress() {
				memory.recordProgress();
			},
		});
	}
}
