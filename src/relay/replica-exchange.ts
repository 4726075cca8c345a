/**
 * Sends one request over one connection to a replica, and validates the head of the answer.
 */
import {request, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import {AnswerBounds, maxAnswerHeadBytes, maxBodyBytes} from '../base/answer-bounds.js';
import {AnswerEnd} from '../base/answer-end.js';
import {answerFaultOf} from '../base/answer-head.js';
import {ByteCollector} from '../base/byte-collector.js';
import {SystemClock} from '../base/clock.js';
import {containedListener} from '../base/contained-listener.js';
import type {ReplicaConnections} from '../replicas/replica-connections.js';
import {AnswerBodies, type AnswerBody} from '../resources/answer-bodies.js';
import {AttemptFailure} from './attempt-failure.js';
import type {AnswerHead, RelayFormat} from './relay-format.js';

/** Statuses 204 and 304. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
 * @param incoming - A client's request.
 * @returns Whether it has a body, which may be empty.
 */
export const hasBody = ({headers}: IncomingMessage): boolean => headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;

/** A request as it is sent to a replica. */
export type OutgoingRequest = {
	readonly id: string | undefined;
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Uint8Array | undefined;
};

/** An answer whose head has been received and validated. */
export type OpenAnswer = {
	readonly message: IncomingMessage;
	/** @returns Whether the complete answer has been received; false if its connection was reset, whatever its framing says. */
	readonly isWhole: () => boolean;
	/** @returns Why an incomplete answer is garbled; `undefined` if its connection was merely cut. */
	readonly fault?: () => string | undefined;
	/** Resets the connection of an answer that is not read any further. */
	readonly abandon: () => void;
	readonly head: AnswerHead;
	readonly status: number;
	/** Whether it never has a body, as with HEAD, 204 and 304. */
	readonly isBodiless: boolean;
};

/** The connection that a request is sent over, and how its answer is parsed. */
export type ExchangePath = {
	readonly connections: ReplicaConnections;
	readonly socket: Socket;
	readonly format: Pick<RelayFormat, 'readAnswer'>;
	/** Called with the head of the answer, also if the request failed; not called if the head belongs to another replica or request. */
	readonly onHead?: (head: AnswerHead) => void;
};

/**
 * Sends a request and waits for the head of its answer.
 *
 * @param path - The connection and the format.
 * @param outgoing - The request.
 * @returns The answer, checked to belong to the request. A failure states whether the request may have run.
 */
export function openAnswer({connections, socket, format, onHead}: ExchangePath, outgoing: OutgoingRequest): Effect.Effect<OpenAnswer, AttemptFailure> {
	return Effect.callback<OpenAnswer, AttemptFailure>(resume => {
		let lifetime: number | undefined;
		let isSettled = false;
		let fault: string | undefined;
		const fail = (failure: AttemptFailure) => {
			if (!isSettled) {
				isSettled = true;
				abandon(socket);
				resume(Effect.fail(failure));
			}
		};

		// Node emits 'free' when the complete answer has been received and the connection can be reused.
		socket.once('free', () => {
			connections.release(socket, lifetime);
		});
		const message = request({
			method: outgoing.method, path: outgoing.path, headers: outgoing.headers, createConnection: () => socket, maxHeaderSize: maxAnswerHeadBytes,
		});
		// Without an agent, Node closes the connection after one request unless this is set.
		message.shouldKeepAlive = true;
		const end = AnswerEnd.watch(message);
		AnswerBounds.watch(message, {
			onExcess(detail) {
				fault ??= detail;
				fail(AttemptFailure.mayHaveRun('garbled', detail));
				abandon(socket);
			},
		});
		message.on('error', error => {
			if (isParseError(error) && !end.isWhole) {
				fault ??= error.message;
			}

			fail(AttemptFailure.mayHaveRun(isParseError(error) ? 'garbled' : 'cut', error.message));
		});
		message.once('response', containedListener(resume, (answer: IncomingMessage) => {
			if (isSettled) {
				answer.on('error', ignore);
				return;
			}

			const answerFault = answerFaultOf(answer);
			if (answerFault !== undefined) {
				answer.on('error', ignore);
				fail(AttemptFailure.mayHaveRun('garbled', answerFault));
				return;
			}

			const head = format.readAnswer(answer);
			lifetime = head.idleLifetime;
			// An error of the answer is also reported by its 'close' event.
			answer.on('error', ignore);
			if (!head.isMisdirected && (outgoing.id === undefined || head.id === outgoing.id)) {
				onHead?.(head);
			}

			const failure = judgeHead(head, answer, outgoing.id);
			if (failure) {
				fail(failure);
				return;
			}

			isSettled = true;
			const {statusCode: status = 0} = answer;
			const isBodiless = outgoing.method === 'HEAD' || bodilessStatuses.has(status);
			resume(Effect.succeed({
				message: answer, head, status, isBodiless, isWhole: () => end.isWhole && fault === undefined, fault: () => fault, abandon() {
					abandon(socket);
				},
			}));
		}));
		// Node reports an answer that switches protocols only to this listener, and without one destroys the request silently.
		message.once('upgrade', () => {
			fail(AttemptFailure.mayHaveRun('garbled', 'the replica switched to another protocol'));
		});
		message.end(outgoing.body);
		return Effect.sync(() => {
			isSettled = true;
			abandon(socket);
		});
	});
}

/** Only an explicit statement of the replica proves that it has not run the request. */
function judgeHead(head: AnswerHead, answer: IncomingMessage, id: string | undefined): AttemptFailure | undefined {
	if (id !== undefined && head.id !== id) {
		return AttemptFailure.mayHaveRun('garbled', `the answer belongs to ${head.id ?? 'no request'}`);
	}

	if (head.isNotRun) {
		return AttemptFailure.notRun(head.isMisdirected ? 'elsewhere' : 'refused', `the replica answered ${answer.statusCode ?? 0}`);
	}

	return head.isPlain ? undefined : AttemptFailure.mayHaveRun('garbled', 'the body of the answer is encoded');
}

/** How a body is read. */
export type BodyReading = {
	/** Maximum size of the body in bytes. */
	readonly maxBytes?: number;
	/** The answers of this process, which share its memory. */
	readonly answers?: AnswerBodies;
};

/** A body that was read; its memory counts until it is released. */
export type ReadBody = {
	readonly bytes: Uint8Array;
	readonly memory: AnswerBody;
};

/**
 * Reads a body to its end. It is kept in memory until it is complete, so that a client never gets a part of a body.
 *
 * @param answer - The answer.
 * @param reading - How it is read.
 * @returns The complete body; fails if it is truncated or too large, and then resets its connection if that is still open.
 */
export function readWholeBody(answer: OpenAnswer, {maxBytes = maxBodyBytes, answers = defaultAnswers}: BodyReading = {}): Effect.Effect<ReadBody, AttemptFailure> {
	return Effect.callback<ReadBody, AttemptFailure>(resume => {
		const collector = ByteCollector.create();
		let size = 0;
		const giveUp = (failure: AttemptFailure) => {
			settle(Effect.fail(failure));
			answer.abandon();
		};

		const memory = answers.begin(bytes => {
			giveUp(AttemptFailure.mayHaveRun('failed', `the box had no memory for a body of ${bytes} bytes`));
		});
		let isSettled = false;
		const settle = (result: Effect.Effect<Uint8Array, AttemptFailure>) => {
			isSettled = true;
			collector.clear();
			resume(result.pipe(
				Effect.map(bytes => ({bytes, memory})),
				Effect.tapError(() => Effect.sync(() => {
					memory.end();
				})),
			));
		};

		const collect = containedListener(resume, (chunk: Uint8Array) => {
			if (isSettled) {
				return;
			}

			size += chunk.length;
			collector.add(chunk);
			memory.add(chunk.length);
			if (size > maxBytes) {
				giveUp(AttemptFailure.mayHaveRun('garbled', `the body is longer than ${maxBytes} bytes`));
			}
		});
		onceEnded(answer, containedListener(resume, isWhole => {
			if (!isSettled) {
				settle(isWhole ? Effect.succeed(collector.concatenate()) : Effect.fail(incompleteFailure(answer, 'the answer was cut short')));
			}
		}));
		memory.expect(Math.min(maxBytes, expectedLength(answer)), () => {
			answer.message.on('data', collect);
		});
		return Effect.sync(() => {
			memory.end();
		});
	});
}

/**
 * Reads a body that is not passed on.
 *
 * @param answer - The answer.
 * @param reading - How it is read.
 * @returns As {@link readWholeBody}; its memory no longer counts.
 */
export function readBody(answer: OpenAnswer, reading?: BodyReading): Effect.Effect<Uint8Array, AttemptFailure> {
	return readWholeBody(answer, reading).pipe(Effect.map(({bytes, memory}) => {
		memory.end();
		return bytes;
	}));
}

/** Zero if there is no body or its length is not known. */
function expectedLength({message, isBodiless}: OpenAnswer): number {
	const length = Number(message.headers['content-length'] ?? 0);
	return isBodiless || !Number.isFinite(length) ? 0 : length;
}

/** Answers that are read by themselves, as in tests. */
const defaultAnswers = AnswerBodies.create(SystemClock.create());

/**
 * @param socket - The connection of an exchange.
 * @returns Adds to an exchange that its connection is reset if the exchange is interrupted or ends with a defect.
 */
export const abandonUnlessSettled = (socket: Socket) => <Success, Failure>(exchange: Effect.Effect<Success, Failure>): Effect.Effect<Success, Failure> =>
	exchange.pipe(Effect.onExit(exit => Effect.sync(() => {
		if (Exit.isFailure(exit) && !Cause.hasFails(exit.cause)) {
			abandon(socket);
		}
	})));

/**
 * @param answer - An answer that ended before it was complete.
 * @param cutDetail - What happened if its connection was cut.
 * @returns The failure: garbled if a bound was exceeded or the framing was invalid, and otherwise cut.
 */
export function incompleteFailure({fault}: OpenAnswer, cutDetail: string): AttemptFailure {
	const detail = fault?.();
	return detail === undefined ? AttemptFailure.mayHaveRun('cut', cutDetail) : AttemptFailure.mayHaveRun('garbled', detail);
}

/**
 * @param answer - An answer that is being read.
 * @param listener - Called once when the answer ends or its connection closes, with whether the answer is complete.
 */
export function onceEnded({message, isWhole}: OpenAnswer, listener: (isWhole: boolean) => void): void {
	let isNotified = false;
	const notify = () => {
		if (!isNotified) {
			isNotified = true;
			listener(isWhole());
		}
	};

	message.once('end', notify);
	message.once('close', notify);
}

/**
 * Resets a connection whose request is abandoned. A reset discards data that is still buffered during a network partition, so that it
 * does not reach the replica when the partition ends.
 *
 * @param socket - The connection.
 */
export function abandon(socket: Socket): void {
	if (!socket.destroyed) {
		socket.resetAndDestroy();
	}
}

const isParseError = (error: NodeJS.ErrnoException): boolean => error.code?.startsWith('HPE_') === true;

const ignore = () => undefined;
