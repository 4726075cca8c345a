/**
 * Interface to the wire format of requests and answers; the adapter in `platform` implements it.
 */
import type {IncomingMessage} from 'node:http';
import type {StatedLoad} from '../replica-load/stated-load.js';
import type {ReplicaStatement} from '../replicas/replica-statement.js';

/** A part of a prompt that several requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** Parsed head of a client's request. */
export type RequestHead = {
	/** Identifies this attempt of the client. */
	readonly id: string | undefined;
	/** Milliseconds that the client will wait; `undefined` if not given. */
	readonly deadline: number | undefined;
	readonly key: string | undefined;
	/** Tokens of the prompt; `undefined` if the request is not a generation request. */
	readonly promptTokens: number | undefined;
	/** Maximum number of tokens to generate. */
	readonly outputTokens: number;
	/** The client's estimate of the output tokens; `undefined` if it states none. */
	readonly lengthHint?: number | undefined;
	readonly parts: readonly PromptPart[];
	/** Id of the last event that the client has, if it resumes a stream. */
	readonly lastEventId: string | undefined;
	/** Id of the client's attempt that brought the first event of that stream; `undefined` if not given. */
	readonly resumedAttempt: string | undefined;
};

/** What this box adds to the head of a client's request before it sends the request to a replica. */
export type SentHead = {
	readonly replica: string;
	readonly clientAccount: string | undefined;
	/** Milliseconds left until the deadline. */
	readonly deadline: number;
	/** Zero is the most urgent; `undefined` leaves the client's header unchanged. */
	readonly urgency: number | undefined;
	/** Id of the last event that was forwarded, if a stream is resumed. */
	readonly lastEventId: string | undefined;
	/** Bytes of the body; `undefined` if there is none. */
	readonly bodyLength: number | undefined;
};

/** What this box changes in the head of a client's request before it forwards the request through another box. */
export type ForwardedHead = Pick<SentHead, 'deadline' | 'lastEventId' | 'bodyLength'>;

/** Parsed head of a replica's answer. */
export type AnswerHead = {
	/** Id of the request that it belongs to; `undefined` if not given. */
	readonly id: string | undefined;
	/** Whether the replica declares that it has not run the request. */
	readonly isNotRun: boolean;
	/** Whether another replica now has this address. */
	readonly isMisdirected: boolean;
	/** Whether the body has no content encoding. */
	readonly isPlain: boolean;
	/** Milliseconds for which the replica keeps an idle connection open; `undefined` if not given. */
	readonly idleLifetime: number | undefined;
	/** The replica's announcements about itself, such as a limit or a pause. */
	readonly statement: ReplicaStatement;
	/** The replica's load; `undefined` if it states none, `unreadable` if the value is invalid. */
	readonly load: StatedLoad | 'unreadable' | undefined;
};

/** Parses and builds heads. */
export abstract class RelayFormat {
	/** Path of the load balancer's readiness check. */
	abstract readonly readyPath: string;

	/**
	 * @param incoming - A client's request.
	 * @returns Its parsed head.
	 */
	abstract readRequest(incoming: IncomingMessage): RequestHead;

	/**
	 * @param incoming - A client's request.
	 * @param sent - What this box adds.
	 * @returns Alternating names and values, as Node's `http` takes them.
	 */
	abstract requestHeaders(incoming: IncomingMessage, sent: SentHead): string[];

	/**
	 * @param incoming - A client's request.
	 * @param sent - What this box changes.
	 * @returns Alternating names and values for another box, including the client's key.
	 */
	abstract forwardHeaders(incoming: IncomingMessage, sent: ForwardedHead): string[];

	/**
	 * @param answer - A replica's answer.
	 * @returns Its parsed head.
	 */
	abstract readAnswer(answer: IncomingMessage): AnswerHead;

	/**
	 * @param answer - A replica's answer.
	 * @returns Alternating names and values, without hop-by-hop headers.
	 */
	abstract answerHeaders(answer: IncomingMessage): string[];

	/**
	 * @param event - One event of a stream, including the blank line that ends it.
	 * @returns Its id; `undefined` if it has none.
	 */
	abstract eventId(event: string): string | undefined;
}
