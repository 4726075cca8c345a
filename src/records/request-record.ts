/**
 * State of a chat request that a box keeps while the request runs and for a retention time after it: enough to continue it at
 * another upstream, to resume it for its client and to hand it over to a peer.
 */
import type {ClientAccountName, RequestKey} from '../base/identifiers.js';
import type {Refusal} from '../base/verdict.js';
import type {EngineUsage} from '../upstream/model-engine.js';

/** State of a request. `paused`: its client disconnected, and the request can be resumed. */
export type RecordState = 'running' | 'paused' | 'finished' | 'refused';

/** Receives appended events; must not throw. `onEvents` returns false to apply back pressure. */
export type RecordListener = {
	readonly onEvents: (events: readonly string[], firstIndex: number) => boolean;
	readonly onEnd: () => void;
};

/** Identity of a record. */
export type RecordName = {
	readonly account: ClientAccountName;
	readonly key: RequestKey;
};

/** The request from which a record was created; a peer can create the record again from it. */
export type RecordOrigin = RecordName & {
	/** Hash of the client's request, to detect a key that is reused for another request. */
	readonly fingerprint: string;
	readonly service: string;
	readonly kind: string;
	readonly body: Readonly<Record<string, unknown>>;
	/** Identifier of the request at model engines. */
	readonly requestId: string;
	/** Whether the client chose the key, so that it can ask for the request again. */
	readonly isNamed: boolean;
};

/** Record of one chat request. */
export class RequestRecord {
	/**
	 * @param origin - The request.
	 * @param events - Events received before at another box, which its client may have already.
	 * @returns A record in state `running`.
	 */
	static create(origin: RecordOrigin, events: readonly string[] = []): RequestRecord {
		return new RequestRecord(origin, [...events]);
	}

	usage: (EngineUsage & {readonly recomputedTokens: number}) | undefined;
	usageEvent: string | undefined;
	refusal: Refusal | undefined;
	/** Callback for the moment when listeners that applied back pressure are ready again. */
	private readonly drainCallback = {wake: (): void => undefined};
	private currentEpoch = 0;
	private currentState: RecordState = 'running';
	private readonly listeners = new Set<RecordListener>();
	private size: number;

	private constructor(readonly origin: RecordOrigin, private readonly log: string[]) {
		this.size = log.join('').length;
	}

	/** Changes when a run is stopped, so that its late tokens can be distinguished from those of the next run. */
	get epoch(): number {
		return this.currentEpoch;
	}

	/** State of the request. */
	get state(): RecordState {
		return this.currentState;
	}

	/** Number of tokens received. */
	get position(): number {
		return this.log.length;
	}

	/** The events received, one per token. */
	get events(): readonly string[] {
		return this.log;
	}

	/** Size of the events in characters, an estimate of the bytes: nearly all characters are single bytes. */
	get bytes(): number {
		return this.size;
	}

	/** Whether a listener still reads it. */
	get hasListeners(): boolean {
		return this.listeners.size > 0;
	}

	/**
	 * Appends received events.
	 *
	 * @param events - One per token, in order.
	 * @returns Whether all listeners are ready for more.
	 */
	append(events: readonly string[]): boolean {
		const firstIndex = this.log.length;
		let isReady = true;
		for (const event of events) {
			this.log.push(event);
			this.size += event.length;
		}

		for (const listener of this.listeners) {
			isReady = listener.onEvents(events, firstIndex) && isReady;
		}

		return isReady;
	}

	/**
	 * @param wake - Called when listeners that applied back pressure are ready again.
	 */
	onDidDrain(wake: () => void): void {
		this.drainCallback.wake = wake;
	}

	/** Signals that a listener that applied back pressure is ready for more. */
	notifyDrained(): void {
		this.drainCallback.wake();
	}

	/** Ends the request with a complete response. */
	finish(): void {
		this.end('finished');
	}

	/** Ends the request without a response. */
	refuse(refusal: Refusal): void {
		this.refusal = refusal;
		this.end('refused');
	}

	/** Pauses the request until its client resumes it; events that its stopped run still receives are dropped. */
	pause(): void {
		this.currentState = 'paused';
		this.currentEpoch++;
	}

	/** Continues after {@link pause}. */
	restart(): void {
		this.currentState = 'running';
	}

	/**
	 * @param listener - Receives events appended from now on.
	 * @returns Ends the subscription when called.
	 */
	listen(listener: RecordListener): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** Text of the response so far. */
	text(): string {
		return this.log.map(event => textOf(event)).join('');
	}

	private end(state: 'finished' | 'refused'): void {
		this.currentState = state;
		const ended = [...this.listeners];
		this.listeners.clear();
		for (const listener of ended) {
			listener.onEnd();
		}
	}
}

type ChunkEvent = {readonly choices: ReadonlyArray<{readonly delta: {readonly content?: string}}>};

/**
 * @param event - One event of the stream, in the published format.
 * @returns The text that it adds to the response.
 */
export function textOf(event: string): string {
	const chunk = JSON.parse(event.slice('data: '.length)) as ChunkEvent;
	return chunk.choices[0]?.delta.content ?? '';
}
