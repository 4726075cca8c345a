/**
 * A stand-in for the platform's metadata store and duty calls, with fault injection. Development only.
 */
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {header, path} from '../../platform/names.js';
import {resetConnection} from '../harness/reset-connection.js';
import {
	portOf, sendJson, startStandin, type StandinRequest,
} from '../standins/standin-server.js';

/** An object in the store's wire format. */
type StoredObject = {
	readonly meta: {readonly name: string; readonly rev: number};
	readonly spec: unknown;
	readonly status: unknown;
};

type RecordedChange = {readonly kind: string; readonly object: StoredObject; readonly gone: boolean; readonly rev: number};

type WriteTarget = {readonly kind: string; readonly nameInPath: string | undefined; readonly isStatus: boolean};

type Watcher = {
	readonly kind: string;
	readonly after: number;
	readonly response: ServerResponse;
	readonly timer: NodeJS.Timeout;
};

/** A received duty call. */
export type DutyCall = {
	readonly path: string;
	readonly holder: string;
	readonly fence: number;
	readonly body: Readonly<Record<string, unknown>>;
};

/** Injected faults of the store. */
export type StoreFaults = {
	/** No call gets a response. */
	readonly isSilent: boolean;
	/** All calls get status 503. */
	readonly isBusy: boolean;
	/** Writes take effect, but their connection is closed without a response. */
	readonly losesAnswers: boolean;
};

/** A call of a box, as far as faults depend on it. */
export type StoreCall = {
	/** Kind of the objects; empty for duty calls. */
	readonly kind: string;
	readonly isWrite: boolean;
	/** TCP port that it arrived at, which tells the box if each has a listener of its own. */
	readonly port: number;
};

/** Fault of a single call. */
export type CallFault =
	| {readonly kind: 'none'}
	/** It is neither carried out nor answered. */
	| {readonly kind: 'silent'}
	/** It is refused without being carried out. */
	| {readonly kind: 'refused'; readonly status: 429 | 503}
	/** Its connection is reset without it being carried out. */
	| {readonly kind: 'reset'}
	/** It is carried out at once and answered later, so that the answer tells of an earlier state. */
	| {readonly kind: 'slow'; readonly milliseconds: number}
	/** It is carried out at once, and its connection closed without a response. */
	| {readonly kind: 'unanswered'}
	/** It is carried out later, if its condition still holds then, and not answered. */
	| {readonly kind: 'late'; readonly milliseconds: number};

/** A backup of the store. */
export type StoreBackup = {
	readonly revision: number;
	readonly objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
	readonly history: readonly RecordedChange[];
	readonly discardedUpTo: number;
};

/** A separate listener of the store for one box. */
export type StoreListener = {
	/** TCP port. */
	readonly port: number;
	/** HTTP status with which this listener refuses all calls; `undefined` if it accepts them. */
	refusalStatus: number | undefined;
	/** Whether this listener closes the connection of each call without a response. */
	isClosed: boolean;
};

/** Content of a kind at an earlier revision. */
type EarlierContent = {readonly revision: number; readonly objects: ReadonlyMap<string, StoredObject>};

/** Number of changes that are kept for watches. */
const historyLength = 500;
const noFault: CallFault = {kind: 'none'};
const noFaults: StoreFaults = {isSilent: false, isBusy: false, losesAnswers: false};

/** The stand-in for the metadata store. */
export class StoreStandin {
	/** @returns The store, listening on loopback. */
	static async start(): Promise<StoreStandin> {
		const store = new StoreStandin();
		store.server = await startStandin(0, async request => {
			store.answer(request);
		});
		return store;
	}

	/** Received duty calls, in order of arrival. */
	readonly dutyCalls: DutyCall[] = [];
	/** Number of received calls of any kind. */
	calls = 0;
	faults: StoreFaults = noFaults;
	/** Decides the fault of each call; `undefined` if none has one. */
	faultOf: ((call: StoreCall) => CallFault) | undefined;
	/** Incremented each time the store is restored from a backup. */
	era = 1;
	private server!: Server;
	private readonly listenerServers: Server[] = [];
	private revision = 1;
	private objects = new Map<string, Map<string, StoredObject>>();
	private history: readonly RecordedChange[] = [];
	private discardedUpTo = 0;
	private watchers: readonly Watcher[] = [];
	private readonly stale = new Map<string, EarlierContent>();

	private constructor() {
		// Use start().
	}

	/** TCP port. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** @returns A further listener of the same store, on loopback. */
	async openListener(): Promise<StoreListener> {
		const server = await startStandin(0, async request => {
			if (door.isClosed) {
				request.incoming.socket.destroy();
			} else if (door.refusalStatus === undefined) {
				this.answer(request);
			} else {
				sendJson(request.response, door.refusalStatus);
			}
		});
		this.listenerServers.push(server);
		const door: StoreListener = {port: portOf(server), refusalStatus: undefined, isClosed: false};
		return door;
	}

	/**
	 * Writes an object on behalf of an operator or a replica, without a revision check.
	 *
	 * @param kind - Its kind.
	 * @param name - Its name.
	 * @param spec - Its content.
	 */
	put(kind: string, name: string, spec: unknown): StoredObject {
		return this.replace(kind, name, {spec, status: this.status(kind, name)});
	}

	/**
	 * Removes an object.
	 *
	 * @param kind - Its kind.
	 * @param name - Its name.
	 */
	remove(kind: string, name: string): void {
		const held = this.objects.get(kind)?.get(name);
		if (held) {
			this.revision++;
			this.objects.get(kind)!.delete(name);
			this.recordChange(kind, {...held, meta: {name, rev: this.revision}}, true);
		}
	}

	/**
	 * @param kind - Kind of an object.
	 * @param name - Its name.
	 * @returns Its content; `undefined` if it does not exist.
	 */
	spec(kind: string, name: string): unknown {
		return this.objects.get(kind)?.get(name)?.spec;
	}

	/**
	 * @param kind - Kind of an object.
	 * @param name - Its name.
	 * @returns Its status; null if it has none.
	 */
	status(kind: string, name: string): unknown {
		return this.objects.get(kind)?.get(name)?.status ?? null;
	}

	/** Discards the change history and closes the connections of all waiting watches. */
	forgetHistory(): void {
		this.discardedUpTo = this.revision;
		this.history = [];
		this.cutWatches();
	}

	/**
	 * Answers reads of a kind with its present content until {@link refresh}, whatever is written in between.
	 *
	 * @param kind - The kind.
	 */
	keepStale(kind: string): void {
		this.stale.set(kind, {revision: this.revision, objects: new Map(this.objects.get(kind))});
	}

	/**
	 * Ends {@link keepStale}.
	 *
	 * @param kind - The kind.
	 */
	refresh(kind: string): void {
		if (this.stale.delete(kind)) {
			this.wakeWatchers(kind);
		}
	}

	/** @returns A backup of the current state. */
	backUp(): StoreBackup {
		const objects = new Map([...this.objects].map(([kind, held]) => [kind, new Map(held)]));
		return {
			revision: this.revision, objects, history: this.history, discardedUpTo: this.discardedUpTo,
		};
	}

	/**
	 * Restores a backup. Later writes are lost, and their revisions are assigned again.
	 *
	 * @param copy - The backup.
	 * @param cutsWatches - Whether the connections of waiting watches are closed; otherwise the watches keep waiting for changes after the restore.
	 */
	restore({revision, objects, history, discardedUpTo}: StoreBackup, cutsWatches = true): void {
		this.era++;
		this.stale.clear();
		this.revision = revision;
		this.objects = new Map([...objects].map(([kind, held]) => [kind, new Map(held)]));
		this.history = history;
		this.discardedUpTo = discardedUpTo;
		if (cutsWatches) {
			this.cutWatches();
		}
	}

	/** Removes all injected faults. */
	clearFaults(): void {
		this.faults = noFaults;
	}

	/** Closes all connections and stops. */
	async close(): Promise<void> {
		await Promise.all([this.server, ...this.listenerServers].map(async server => {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		}));
	}

	private cutWatches(): void {
		for (const {response, timer} of this.watchers) {
			clearTimeout(timer);
			response.socket?.destroy();
		}

		this.watchers = [];
	}

	private recordChange(kind: string, object: StoredObject, gone: boolean): void {
		const history = [...this.history, {
			kind, object, gone, rev: this.revision,
		}];
		this.discardedUpTo = history.at(-historyLength - 1)?.rev ?? this.discardedUpTo;
		this.history = history.slice(-historyLength);
		if (!this.stale.has(kind)) {
			this.wakeWatchers(kind);
		}
	}

	private wakeWatchers(kind: string): void {
		const woken = this.watchers.filter(watcher => watcher.kind === kind);
		this.watchers = this.watchers.filter(watcher => watcher.kind !== kind);
		for (const watcher of woken) {
			clearTimeout(watcher.timer);
			this.sendChanges(watcher);
		}
	}

	private answer(request: StandinRequest): void {
		this.calls++;
		const {response} = request;
		if (this.faults.isSilent) {
			return;
		}

		response.setHeader('Store-Era', String(this.era));
		if (this.faults.isBusy) {
			sendJson(response, 503);
			return;
		}

		this.answerWithFault(request, this.faultOf?.(callOf(request)) ?? noFault);
	}

	private answerWithFault(request: StandinRequest, fault: CallFault): void {
		const {response} = request;
		switch (fault.kind) {
			case 'silent': {
				return;
			}

			case 'refused': {
				sendJson(response, fault.status);
				return;
			}

			case 'reset': {
				resetConnection(request.incoming.socket);
				return;
			}

			case 'slow': {
				const {end} = response;
				response.end = (...parameters: unknown[]) => {
					setTimeout(() => Reflect.apply(end, response, parameters) as unknown, fault.milliseconds).unref();
					return response;
				};

				break;
			}

			case 'unanswered': {
				response.end = () => response.destroy();
				break;
			}

			case 'late': {
				response.end = () => response;
				setTimeout(() => {
					this.carryOut(request);
				}, fault.milliseconds).unref();
				return;
			}

			default:
		}

		this.carryOut(request);
	}

	private carryOut(request: StandinRequest): void {
		const {method, url} = request;
		if (url.pathname === path.usage || url.pathname === path.scale) {
			this.recordDutyCall(request);
			return;
		}

		const [kind = '', name, part] = url.pathname.slice(path.objects.length).split('/').map(text => decodeURIComponent(text));
		if (method === 'GET') {
			this.read(request, kind, name);
			return;
		}

		this.write(request, {kind, nameInPath: name, isStatus: part === 'status'});
	}

	private recordDutyCall({url, headers, body, response}: StandinRequest): void {
		this.dutyCalls.push({
			path: url.pathname, holder: String(headers[header.holder]), fence: Number(headers[header.fence]), body: JSON.parse(body) as DutyCall['body'],
		});
		sendJson(response, 200, {});
	}

	private read({url, response}: StandinRequest, kind: string, name: string | undefined): void {
		const earlier = this.stale.get(kind);
		const objects = earlier?.objects ?? this.objects.get(kind);
		const revision = earlier?.revision ?? this.revision;
		if (name !== undefined) {
			const held = objects?.get(name);
			sendJson(response, held ? 200 : 404, held);
			return;
		}

		const watch = url.searchParams.get('watch');
		if (watch === null) {
			sendJson(response, 200, {items: [...objects?.values() ?? []], more: false, at: revision});
			return;
		}

		const after = Number(watch);
		const timer = setTimeout(() => {
			this.watchers = this.watchers.filter(watcher => watcher.response !== response);
			response.setHeader('Store-Era', String(this.era));
			sendJson(response, 200, {events: [], at: this.stale.has(kind) ? after : this.revision});
		}, Number(url.searchParams.get('wait_ms')));
		const watcher: Watcher = {
			kind, after, response, timer,
		};
		if (after < this.discardedUpTo || after > this.revision || this.changesAfter(kind, after).length > 0) {
			clearTimeout(timer);
			this.sendChanges(watcher);
			return;
		}

		this.watchers = [...this.watchers, watcher];
	}

	private sendChanges({kind, after, response}: Watcher): void {
		response.setHeader('Store-Era', String(this.era));
		if (after < this.discardedUpTo || after > this.revision) {
			sendJson(response, 410);
			return;
		}

		const events = this.changesAfter(kind, after).map(({object, gone}) => ({object, gone}));
		sendJson(response, 200, {events, at: this.stale.get(kind)?.revision ?? this.revision});
	}

	/** @returns Changes of a kind that readers may see. */
	private changesAfter(kind: string, after: number): readonly RecordedChange[] {
		const last = this.stale.get(kind)?.revision ?? this.revision;
		return this.history.filter(event => event.kind === kind && event.rev > after && event.rev <= last);
	}

	private replace(kind: string, name: string, {spec, status}: Pick<StoredObject, 'spec' | 'status'>): StoredObject {
		this.revision++;
		const held: StoredObject = {meta: {name, rev: this.revision}, spec, status};
		const objects = this.objects.get(kind) ?? new Map<string, StoredObject>();
		this.objects.set(kind, objects);
		objects.set(name, held);
		this.recordChange(kind, held, false);
		return held;
	}

	private write(request: StandinRequest, {kind, nameInPath, isStatus}: WriteTarget): void {
		const {method, url, body, response} = request;
		if (method === 'DELETE') {
			const isCurrent = this.objects.get(kind)?.get(nameInPath ?? '')?.meta.rev === Number(url.searchParams.get('rev'));
			if (isCurrent) {
				this.remove(kind, nameInPath ?? '');
			}

			sendJson(response, isCurrent ? 200 : 409, {});
			return;
		}

		const {meta, spec, status} = JSON.parse(body) as {readonly meta: {readonly name?: string; readonly rev?: number}; readonly spec: unknown; readonly status: unknown};
		const name = nameInPath ?? meta.name ?? '';
		const held = this.objects.get(kind)?.get(name);
		const isConflict = method === 'POST' ? held !== undefined : held?.meta.rev !== meta.rev;
		if (isConflict) {
			sendJson(response, 409, held);
			return;
		}

		const written = isStatus ? this.replace(kind, name, {spec: held?.spec, status}) : this.put(kind, name, spec);
		if (this.faults.losesAnswers) {
			response.socket?.destroy();
			return;
		}

		sendJson(response, 200, written);
	}
}

function callOf({method, url: {pathname}, incoming}: StandinRequest): StoreCall {
	const [kind = ''] = pathname.startsWith(path.objects) ? pathname.slice(path.objects.length).split('/').map(text => decodeURIComponent(text)) : [];
	return {kind, isWrite: method !== 'GET', port: incoming.socket.localPort ?? 0};
}
