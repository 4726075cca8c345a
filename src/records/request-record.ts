/**
 * What a box keeps of a chat request while it runs and for a while after: enough to go on with it at
 * another upstream, to resume it for its caller, and to hand it to a peer.
 */
import type {ClientAccountName, RequestKey} from '../base/identifiers.js';
import type {Refusal} from '../base/verdict.js';
import type {EngineUsage} from '../upstream/model-engine.js';

/** How far a request is. `paused`: its caller hung up, and it can be resumed. */
export type RecordState = 'running' | 'paused' | 'finished' | 'refused';

/** Told of what is appended; must not throw. Returns false to ask for a pause. */
export type RecordListener = {
	readonly onEvents: (events: readonly string[], firstIndex: number) => boolean;
	readonly onEnd: () => void;
};

/** What names a record. */
export type RecordName = {
	readonly account: ClientAccountName;
	readonly key: RequestKey;
};

/** What a record was made from; it can be made again from this at a peer. */
export type RecordOrigin = RecordName & {
	/** Hash of the caller's request, to tell a reused key. */
	readonly fingerprint: string;
	readonly service: string;
	readonly kind: string;
	readonly body: Readonly<Record<string, unknown>>;
	/** Name of the request at engines. */
	readonly requestId: string;
	/** Whether the caller gave the key, so that it can ask for the request again. */
	readonly isNamed: boolean;
};

/** One chat request. */
export class RequestRecord {
	/**
	 * @param origin - What it is made from.
	 * @param events - What its caller may have got already, at a box before this one.
	 * @returns A running record.
	 */
	static create(origin: RecordOrigin, events: readonly string[] = []): RequestRecord {
		return new RequestRecord(origin, [...events]);
	}

	usage: (EngineUsage & {readonly recomputedTokens: number}) | undefined;
	usageEvent: string | undefined;
	refusal: Refusal | undefined;
	/** Called when listeners that asked for a pause are ready. */
	private readonly waking = {wake: (): void => undefined};
	private currentEpoch = 0;
	private currentState: RecordState = 'running';
	private readonly listeners = new Set<RecordListener>();
	private size: number;

	private constructor(readonly origin: RecordOrigin, private readonly log: string[]) {
		this.size = log.join('').length;
	}

	/** Changes when a run is stopped, so that its late tokens can be told from those of the next. */
	get epoch(): number {
		return this.currentEpoch;
	}

	/** How far it is. */
	get state(): RecordState {
		return this.currentState;
	}

	/** Tokens that were received. */
	get position(): number {
		return this.log.length;
	}

	/** The events received, one a token. */
	get events(): readonly string[] {
		return this.log;
	}

	/** Characters that the events take; nearly all are single bytes. */
	get bytes(): number {
		return this.size;
	}

	/** Whether somebody still reads it. */
	get isRead(): boolean {
		return this.listeners.size > 0;
	}

	/**
	 * Appends what came.
	 *
	 * @param events - One a token, in order.
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
	 * @param wake - Called when listeners that asked for a pause are ready.
	 */
	onDidDrain(wake: () => void): void {
		this.waking.wake = wake;
	}

	/** A listener that asked for a pause is ready for more. */
	drained(): void {
		this.waking.wake();
	}

	/** Ends it: the answer is whole. */
	finish(): void {
		this.end('finished');
	}

	/** Ends it without its answer. */
	refuse(refusal: Refusal): void {
		this.refusal = refusal;
		this.end('refused');
	}

	/** Stops it until its caller comes back; what its run still receives is dropped. */
	pause(): void {
		this.currentState = 'paused';
		this.currentEpoch++;
	}

	/** Goes on after {@link pause}. */
	restart(): void {
		this.currentState = 'running';
	}

	/**
	 * @param listener - Told of what comes from now on.
	 * @returns Ends the subscription.
	 */
	listen(listener: RecordListener): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** Text of the answer so far. */
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
 * @param event - One event of the published stream.
 * @returns The text it adds to the answer.
 */
export function textOf(event: string): string {
	const chunk = JSON.parse(event.slice('data: '.length)) as ChunkEvent;
	return chunk.choices[0]?.delta.content ?? '';
}
