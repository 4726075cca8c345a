/**
 * A fleet of relays that are all killed together, and clients that take up their streams afterwards. Development only.
 */
import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {
	RelayInstallation, routeTo, until, type ClientCall, type ClientView,
} from './relay-installation.js';

const relayNames = ['relay-1', 'relay-2', 'relay-3', 'relay-4'];
const streams = 48;
const path = '/stream/x';
const events = 60;
/** Milliseconds between two events. */
const gap = 25;
/** Milliseconds from the first event of a stream after which its version must survive the loss of all boxes. */
const settleTime = 400;
/** Number of times that a client sends a call whose connection is closed unread, and milliseconds until it does so again. */
const maxCalls = 20;
const retryPause = 100;
/** Part of the streams of a version that still serves that must go on. */
const minContinued = 0.98;

/** Replicas of two versions. */
export const oldReplicas = ['i-1', 'i-2'];
export const bothVersions: Readonly<Record<string, string>> = {
	'i-1': 'v1', 'i-2': 'v1', 'i-3': 'v2', 'i-4': 'v2',
};

/** A relay of the fleet. */
export type KillableRelay = {
	readonly name: string;
	/** TCP port for clients. */
	readonly port: number;
	/** Lines of its log. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly kill: () => Promise<void>;
};

/**
 * Starts relays.
 *
 * @returns The relays once they are ready.
 */
export type RelayStart = (installation: RelayInstallation, names: readonly string[]) => Promise<readonly KillableRelay[]>;

/** A stream that its client took up. */
export type TakenUp = {
	/** Version that began the stream. */
	readonly begun: string;
	/** Version at which it went on; `undefined` if it did not. */
	readonly continued: string | undefined;
	readonly view: ClientView;
};

/** The fleet. */
export class KilledFleet {
	/**
	 * @param context - The test that uses the fleet.
	 * @param versions - Software version of each replica, by id.
	 * @param startRelays - Starts the relays.
	 * @returns A fleet whose relays know each other and all replicas.
	 */
	static async start(context: TestContext, versions: Readonly<Record<string, string>>, startRelays: RelayStart): Promise<KilledFleet> {
		const installation = await RelayInstallation.start({
			relays: 0,
			replicas: [],
			routes: [routeTo('/stream/', {
				kind: 'streaming', resumable: true, timeout_ms: 8000, max_attempts: 4,
			})],
		});
		const fleet = new KilledFleet(installation, versions, startRelays);
		context.after(async () => {
			await fleet.kill();
			await installation.close();
			if (fleet.closedUnread > 0) {
				context.diagnostic(`${fleet.closedUnread} calls were sent again, since busy relays closed their connections unread`);
			}
		});
		installation.prepareReplicas(replica => {
			replica.behave({delay: 10, events, gap});
			replica.namesRequests = true;
		});
		await fleet.restart();
		await Promise.all(Object.entries(versions).map(async ([id, version]) => installation.addReplica(id, {version, slots: 100})));
		const linesOf = ({lines}: KillableRelay, name: string) => lines.filter(({eventName}) => eventName === name);
		await until(() => fleet.relays.every(relay => new Set(linesOf(relay, 'memberHeard').map(({member}) => member)).size === relayNames.length - 1));
		await until(() => fleet.relays.every(relay => linesOf(relay, 'replicaListed').length >= Object.keys(versions).length));
		return fleet;
	}

	readonly relayNames = relayNames;
	relays: readonly KillableRelay[] = [];
	/** Number of calls whose connection a busy relay closed unread; they were sent again. */
	closedUnread = 0;
	private begun: ReadonlyArray<Promise<ClientView>> = [];

	private constructor(readonly installation: RelayInstallation, private readonly versions: Readonly<Record<string, string>>, private readonly startRelays: RelayStart) {}

	/** Begins the streams at all relays in turn. */
	async begin(): Promise<void> {
		const {relays} = this;
		await pause(settleTime);
		this.begun = Array.from({length: streams}, async (_, index) => this.callUntilRead({
			path, method: 'POST', body: `stream ${index}`, headers: {'Attempt-Id': `first-${index}`, 'Deadline-Ms': '8000'},
		}, relays[index % relays.length]!));
		await until(() => this.runs('first').size === streams);
		await pause(settleTime);
	}

	/** Kills all relays at once. */
	async kill(): Promise<void> {
		const {relays} = this;
		this.relays = [];
		await Promise.all(relays.map(async ({kill}) => kill()));
	}

	/** Starts all relays, which know nothing of before. */
	async restart(): Promise<void> {
		this.relays = await this.startRelays(this.installation, relayNames);
	}

	/** @returns What became of each stream that its client took up. */
	async takeUp(attempt = 'second'): Promise<readonly TakenUp[]> {
		const {relays} = this;
		const cut = await Promise.all(this.begun);
		const first = this.runs('first');
		const views = await Promise.all(cut.map(async ({body}, index) => {
			const view = await this.callUntilRead({
				path,
				method: 'POST',
				body: `stream ${index}`,
				headers: {
					'Attempt-Id': `${attempt}-${index}`, 'Last-Event-Id': [...body.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)?.groups?.id ?? '', Resumes: `first-${index}`, 'Deadline-Ms': '8000',
				},
			}, relays[(index * 7) % relays.length]!);
			return view;
		}));
		const second = this.runs(attempt);
		return views.map((view, index) => ({
			begun: first.get(`first-${index}`)!, continued: second.get(`${attempt}-${index}`), view,
		}));
	}

	/** @returns Milliseconds until each relay, one after the other, refused its first stream that a client takes up. */
	async refusalTimes(): Promise<readonly number[]> {
		await Promise.all(this.begun);
		const times: number[] = [];
		for (const relay of this.relays) {
			const sentAt = performance.now();
			const {status} = await this.installation.call({
				path, method: 'POST', body: 'x', headers: {'Attempt-Id': `alone-${relay.name}`, 'Last-Event-Id': '3', Resumes: 'never-begun'},
			}, relay);
			assert.equal(status, 503);
			times.push(performance.now() - sentAt);
		}

		return times;
	}

	/** Replicas that are listed again under their ids with another version. */
	relist(ids: readonly string[], version: string): void {
		for (const id of ids) {
			this.installation.list(id, {version, slots: 100, born: Date.now()});
		}
	}

	/** Removes the entries of replicas. */
	unlist(ids: readonly string[]): void {
		for (const id of ids) {
			this.installation.unlist(id);
		}
	}

	/** Calls again if a busy relay closes the connection unread, as clients do: it then has no answer, and no replica has run the request. */
	private async callUntilRead(call: ClientCall, relay: KillableRelay, callsLeft = maxCalls): Promise<ClientView> {
		const view = await this.installation.call(call, relay);
		const isUnread = view.status === 0 && this.relays.includes(relay) && !this.hasRun(call.headers!['Attempt-Id']!);
		if (!isUnread || callsLeft === 1) {
			return view;
		}

		this.closedUnread++;
		await pause(retryPause);
		return this.callUntilRead(call, relay, callsLeft - 1);
	}

	private hasRun(attempt: string): boolean {
		return [...this.installation.replicas.values()].some(replica => replica.runs.some(({id}) => id === attempt));
	}

	/** @returns The version that ran each request whose id begins so. */
	private runs(prefix: string): ReadonlyMap<string, string> {
		const {entries, replicas} = this.installation;
		const versionOf = (id: string): string => prefix === 'first' ? this.versions[id]! : String((entries.get(id) as {readonly version?: string} | undefined)?.version ?? this.versions[id]);
		return new Map([...replicas].flatMap(([id, replica]) => replica.runs.filter(run => run.id.startsWith(`${prefix}-`)).map(run => [run.id, versionOf(id)] as const)));
	}
}

/**
 * Fails if a stream was joined from two versions, or if too few went on whose version serves.
 *
 * @param context - The test.
 * @param taken - The streams.
 * @param serving - Versions of which replicas serve.
 */
export function assertContinued(context: TestContext, taken: readonly TakenUp[], serving: ReadonlySet<string>): void {
	const joined = taken.filter(({begun, continued}) => continued !== undefined && continued !== begun);
	const ofServing = taken.filter(({begun}) => serving.has(begun));
	const whole = ofServing.filter(({continued, view: {status, isWhole}}) => continued !== undefined && status === 200 && isWhole);
	const refused = taken.filter(({continued}) => continued === undefined);
	const summary = `${joined.length} joined; ${whole.length} of ${ofServing.length} went on whose version serves; ${refused.length} of ${taken.length} refused`;
	context.diagnostic(summary);
	assert.equal(joined.length, 0, summary);
	assert.ok(whole.length >= ofServing.length * minContinued, summary);
	for (const {view} of refused) {
		assert.equal(view.status, 503, view.body);
		assert.match(view.body, /"verdict":"not-run"/v);
	}
}
