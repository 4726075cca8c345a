/**
 * How requests and answers look on the wire; the adapter at the root implements it.
 */
import type {IncomingMessage} from 'node:http';
import type {ReplicaStatement} from '../replicas/replica-statement.js';

/** A part of a prompt, which requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** What the head of a client's request says. */
export type RequestHead = {
	/** Names this try of the client's. */
	readonly id: string | undefined;
	/** Milliseconds the client will wait; `undefined` where it did not say. */
	readonly deadline: number | undefined;
	readonly key: string | undefined;
	/** Tokens of the prompt; `undefined` where the request is no generation. */
	readonly promptTokens: number | undefined;
	/** Most tokens to be made. */
	readonly outputTokens: number;
	readonly parts: readonly PromptPart[];
	/** Last event the client has, where it resumes a stream. */
	readonly lastEventId: string | undefined;
};

/** What the system tells a replica besides what the client said. */
export type SentHead = {
	readonly replica: string;
	readonly clientAccount: string | undefined;
	/** Milliseconds left. */
	readonly deadline: number;
	/** Zero is the most urgent; `undefined` leaves it. */
	readonly urgency: number | undefined;
	/** Last event that was passed on, where a stream is resumed. */
	readonly lastEventId: string | undefined;
	/** Bytes of the body; `undefined` where there is none. */
	readonly bodyLength: number | undefined;
};

/** What the head of a replica's answer says. */
export type AnswerHead = {
	/** The request it belongs to; `undefined` where it does not say. */
	readonly id: string | undefined;
	/** Whether the replica promises that it has not run the request. */
	readonly isNotRun: boolean;
	/** Whether another replica has this address now. */
	readonly isElsewhere: boolean;
	/** Whether the body is the replica's own bytes. */
	readonly isPlain: boolean;
	/** Milliseconds for which the replica keeps the connection; `undefined` where it does not say. */
	readonly idleLifetime: number | undefined;
	/** What the replica says of itself. */
	readonly statement: ReplicaStatement;
};

/** Reads and writes heads. */
export abstract class RelayFormat {
	/** Path at which the balancer asks whether this box takes clients. */
	abstract readonly readyPath: string;

	/**
	 * @param incoming - A client's request.
	 * @returns What its head says.
	 */
	abstract readRequest(incoming: IncomingMessage): RequestHead;

	/**
	 * @param incoming - A client's request.
	 * @param sent - What the system adds.
	 * @returns Names and values in turn, as Node's `http` takes them.
	 */
	abstract requestHeaders(incoming: IncomingMessage, sent: SentHead): string[];

	/**
	 * @param answer - A replica's answer.
	 * @returns What its head says.
	 */
	abstract readAnswer(answer: IncomingMessage): AnswerHead;

	/**
	 * @param answer - A replica's answer.
	 * @returns Names and values in turn, without those of one connection.
	 */
	abstract answerHeaders(answer: IncomingMessage): string[];

	/**
	 * @param event - One event of a stream, with its closing blank line.
	 * @returns Its id; `undefined` where it has none.
	 */
	abstract eventId(event: string): string | undefined;
}
