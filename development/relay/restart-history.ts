/**
 * Carries out a drawn history against relays, with clients that take their streams up. Development only.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {replicaKind} from '../../platform/formats.js';
import {DatagramNetwork} from '../harness/datagram-network.js';
import {StallMeter} from '../harness/stall-meter.js';
import {seededBy} from '../soak/seeded-by.js';
import {RelayInstallation, routeTo, until} from './relay-installation.js';
import type {RelayHost, RelayLine, StartedRelay} from './relay-host.js';
import {ResumedStream, type StreamPiece} from './resumed-stream.js';
import {
	boxNames, replicaIds, staleKinds, type BoxPlan, type PlannedFault, type RestartPlan, type RestartRound, type StoreEvent, type VersionChange,
} from './restart-plan.js';
import type {CallFault, StoreBackup, StoreCall} from './store-standin.js';

/** A stream with events of several versions, and the log lines that explain it. */
export type JoinedStream = {readonly name: string; readonly versions: readonly string[]; readonly lines: readonly RelayLine[]};

/** An attempt to take a stream up that got a response. */
export type TakeUp = {
	readonly attempt: string;
	readonly relay: string;
	/** Version that began the stream. */
	readonly version: string;
	readonly status: number;
	/** What came of it: `cut` if its replica ended under it, `unread` if the box closed the connection without reading the request, as overloaded boxes do. */
	readonly result: 'continued' | 'refused' | 'cut' | 'unread';
	/** Number of attempts before it that were refused since the stream broke off. */
	readonly tries: number;
	/** Whether the version has served since the stream broke off, and the stream was settled by then. */
	readonly isSettled: boolean;
	/** Milliseconds until the first event or the end of the response. */
	readonly duration: number;
	/** Milliseconds of these in which this process was late with its timers. */
	readonly stall: number;
	readonly body: string;
};

/** What came of a history. */
export type RestartOutcome = {
	readonly plan: RestartPlan;
	readonly streams: number;
	readonly joined: readonly JoinedStream[];
	/** Names of streams whose events are not consecutive. */
	readonly torn: readonly string[];
	readonly takeUps: readonly TakeUp[];
	/** Milliseconds from the moment at which the first box was ready until the first stream began, for each loss. */
	readonly firstBegins: readonly number[];
	/** Lines of all starts of boxes. */
	readonly lines: ReadonlyArray<{readonly relay: string; readonly start: number; readonly becameReady: boolean; readonly lines: readonly RelayLine[]}>;
};

type RunningRelay = {readonly relay: StartedRelay; readonly start: number; isReady: boolean; isGone: boolean};
/** Versions of the listed replicas by id, from a moment on. */
type Listing = {readonly at: number; readonly versions: ReadonlyMap<string, string>};

/** Milliseconds from the first event of a stream after which its version must survive the loss of all boxes. */
const settleTime = 400;
/** Milliseconds between two streams that begin. */
const arrivalPause = 120;
/** Milliseconds before a loss at which further streams begin: what happens last is known to the boxes alone. */
const lastArrivals = [300, 250, 200, 150, 120, 100, 90, 80, 70, 60, 50, 40];
/** Milliseconds between two events; streams go on until the end of the history. */
const gap = 100;
const events = 600;
/** Milliseconds before versions change and boxes are killed for the first time. */
const warmUpTime = 500;
/** HTTP status of a request whose replica brought no whole answer. */
const badGateway = 502;
/** Milliseconds between two checks whether a box is ready. */
const readinessInterval = 10;
/** Times that a client is refused before it gives a stream up. */
const maxRefusals = 2;
/** Mean milliseconds before a client tries again, and most milliseconds from the break until it first tries. */
const retryPause = 800;
const shortPause = 900;
const longPause = 6000;
/** Part of the clients that wait long. */
const longPausePart = 0.1;
/** Milliseconds after a restore of the store until replicas have written their entries again. */
const relistingDelay = 300;
/** Milliseconds within which a ready box must refuse a stream that cannot go on. */
export const maxRefusalTime = 100;
/** Part of the streams whose version still serves that must go on if the store does not fail. */
export const minContinued = 0.98;

/** A history as it is carried out. */
export class RestartHistory {
	/**
	 * @param plan - What happens.
	 * @param createHost - Creates what starts the relays.
	 * @returns What came of it.
	 */
	static async play(plan: RestartPlan, createHost: (installation: RelayInstallation, names: readonly string[]) => Promise<RelayHost>): Promise<RestartOutcome> {
		const installation = await RelayInstallation.start({
			relays: 0, replicas: [], routes: [routeTo('/stream/', {
				kind: 'streaming', resumable: true, timeout_ms: 60_000, max_attempts: 4,
			})],
		});
		const history = new RestartHistory(plan, installation, await createHost(installation, boxNames));
		try {
			return await history.run();
		} finally {
			await history.close();
		}
	}

	private readonly random: () => number;
	private readonly network: DatagramNetwork;
	private readonly stalls = StallMeter.start();
	private readonly relays = new Map<string, RunningRelay>();
	private readonly allRelays: RunningRelay[] = [];
	private readonly streams: ResumedStream[] = [];
	private readonly takeUps: TakeUp[] = [];
	private readonly listings: Listing[] = [];
	private readonly listed = new Map<string, string>();
	private readonly firstBegins: number[] = [];
	private readonly clients: Array<Promise<void>> = [];
	private faults: readonly PlannedFault[] = [];
	private partitioned: ReadonlySet<number> = new Set();
	private backup: StoreBackup | undefined;
	/** Monotonic milliseconds at which the first box was ready after a loss, until a stream has begun. */
	private readySince: number | undefined;
	private hasEnded = false;

	private constructor(private readonly plan: RestartPlan, private readonly installation: RelayInstallation, private readonly host: RelayHost) {
		this.random = seededBy(plan.seed, 'clients');
		const random = seededBy(plan.seed, 'datagrams');
		const boxPorts = new Set([...host.places.values()].map(({ports: {control}}) => control));
		this.network = DatagramNetwork.install(({from, to}) => boxPorts.has(to) && (random() < plan.lostDatagrams || this.partitioned.has(from) !== this.partitioned.has(to)));
		installation.store.faultOf = call => this.faultOf(call);
	}

	private async run(): Promise<RestartOutcome> {
		await Promise.all(boxNames.map(async name => this.startBox(name)));
		for (const version of new Set(Object.values(this.plan.versions))) {
			await this.list(Object.keys(this.plan.versions).filter(id => this.plan.versions[id] === version), version);
		}

		await until(() => this.ready.length === boxNames.length);
		await until(() => this.ready.every(({relay: {lines}}) => new Set(lines.filter(({eventName}) => eventName === 'memberHeard').map(({member}) => member)).size === boxNames.length - 1));
		await pause(warmUpTime);
		const arrivals = this.beginStreams();
		for (const round of this.plan.rounds) {
			await this.playRound(round);
		}

		this.hasEnded = true;
		for (const stream of this.streams) {
			stream.close();
		}

		await arrivals;
		await Promise.all(this.clients);
		return this.outcome;
	}

	private async close(): Promise<void> {
		this.hasEnded = true;
		this.network.remove();
		this.stalls.stop();
		await Promise.all([...this.relays.values()].map(async ({relay: {kill}}) => kill()));
		await Promise.all(this.installation.allReplicas.filter(({isUp}) => isUp).map(async replica => replica.close()));
		this.installation.replicas.clear();
		await this.installation.close();
		this.host.close();
	}

	private get outcome(): RestartOutcome {
		const begun = this.streams.filter(({hasBegun}) => hasBegun);
		return {
			plan: this.plan,
			streams: begun.length,
			joined: begun.filter(({versions}) => versions.size > 1).map(stream => ({name: stream.name, versions: [...stream.versions], lines: this.linesOf(stream)})),
			torn: begun.filter(({isConsecutive}) => !isConsecutive).map(({name}) => name),
			takeUps: this.takeUps,
			firstBegins: this.firstBegins,
			lines: this.allRelays.map(({relay: {name, lines}, start, isReady}) => ({
				relay: name, start, becameReady: isReady, lines,
			})),
		};
	}

	/** @returns The lines of a stream's requests, and of the history of versions. */
	private linesOf(stream: ResumedStream): readonly RelayLine[] {
		const attempts = new Set<unknown>(stream.pieces.map(({attempt}) => attempt));
		return this.allRelays.flatMap(({relay, start}) => relay.lines
			.filter(line => Object.values(line).some(value => attempts.has(value)) || /^version|^streamOrigins/v.test(String(line.eventName)))
			.map(line => ({relay: relay.name, start, ...line})));
	}

	private get ready(): readonly RunningRelay[] {
		return [...this.relays.values()].filter(({isReady}) => isReady);
	}

	private async playRound(round: RestartRound): Promise<void> {
		const startedAt = performance.now();
		const at = async (time: number, act: () => Promise<void> | void) => {
			await pause(Math.max(0, startedAt + time - performance.now()));
			await act();
		};

		await Promise.all([
			...round.changes.map(async change => at(change.at, async () => this.change(change))),
			...round.faults.flatMap(fault => [
				at(fault.from, () => {
					this.faults = [...this.faults, fault];
				}),
				at(fault.to, () => {
					this.faults = this.faults.filter(other => other !== fault);
				}),
			]),
			...round.events.map(async event => at(event.at, () => {
				this.applyEvent(event);
			})),
			...round.partitions.flatMap(({from, to, boxes}) => [
				at(from, () => {
					this.partitioned = new Set(boxes.map(name => this.host.places.get(name)!.ports.control));
				}),
				at(to, () => {
					this.partitioned = new Set();
				}),
			]),
			...round.boxes.map(async box => this.restartBox(box, at)),
			...lastArrivals.map(async lead => at(round.lossAt - lead, () => {
				this.clients.push(this.begin());
			})),
			at(round.duration, () => undefined),
		]);
	}

	private async restartBox({name, times}: BoxPlan, at: (time: number, act: () => Promise<void>) => Promise<void>): Promise<void> {
		for (const [index, time] of times.entries()) {
			await at(time, async () => index % 2 === 0 ? this.killBox(name) : this.startBox(name));
		}
	}

	private async startBox(name: string): Promise<void> {
		const start = this.allRelays.filter(({relay}) => relay.name === name).length + 1;
		const running: RunningRelay = {
			relay: await this.host.start(name), start, isReady: false, isGone: false,
		};
		this.relays.set(name, running);
		this.allRelays.push(running);
		void this.watchReadiness(running);
	}

	private async watchReadiness(running: RunningRelay): Promise<void> {
		while (!running.isGone && !this.hasEnded) {
			const isReady = await running.relay.isReady();
			if (isReady && !running.isGone) {
				const isFirst = this.ready.length === 0;
				running.isReady = true;
				if (isFirst) {
					this.readySince = performance.now();
					void this.begin();
				}

				return;
			}

			await pause(readinessInterval);
		}
	}

	private async killBox(name: string): Promise<void> {
		const running = this.relays.get(name);
		if (running) {
			running.isGone = true;
			this.relays.delete(name);
			await running.relay.kill();
		}
	}

	private async change({ids, version}: VersionChange): Promise<void> {
		if (version !== undefined) {
			await this.list(ids, version);
			return;
		}

		for (const id of ids.filter(known => this.listed.has(known))) {
			this.listed.delete(id);
			this.installation.unlist(id);
		}

		this.noteListing();
	}

	/** Lists replicas; one that has another version is replaced under its id. */
	private async list(ids: readonly string[], version: string): Promise<void> {
		const changed = ids.filter(id => this.listed.get(id) !== version);
		const earlier = changed.flatMap(id => this.listed.has(id) ? [this.installation.replicas.get(id)!] : []);
		await Promise.all(changed.map(async id => {
			this.listed.set(id, version);
			const replica = await this.installation.addReplica(id, {version, slots: 100});
			replica.behave({delay: 10, events, gap});
			replica.namesRequests = true;
			replica.software = version;
		}));
		this.noteListing();
		await Promise.all(earlier.filter(({isUp}) => isUp).map(async replica => replica.close()));
	}

	private noteListing(): void {
		this.listings.push({at: performance.now(), versions: new Map(this.listed)});
	}

	private applyEvent(event: StoreEvent): void {
		const {store} = this.installation;
		switch (event.kind) {
			case 'back-up': {
				this.backup = store.backUp();
				return;
			}

			case 'restore': {
				if (this.backup) {
					store.restore(this.backup);
					this.clients.push(this.relistAll());
				}

				return;
			}

			case 'compact': {
				store.forgetHistory();
				return;
			}

			case 'keep-stale': {
				store.keepStale(event.objects);
				return;
			}

			default: {
				for (const kind of staleKinds) {
					store.refresh(kind);
				}
			}
		}
	}

	private faultOf({kind, isWrite, port}: StoreCall): CallFault {
		const active = this.faults.find(({kinds, boxes, affectsReads}) => (kinds?.includes(kind) ?? true)
			&& (isWrite || affectsReads)
			&& boxes.some(name => this.host.places.get(name)!.store.port === port));
		return active?.fault ?? {kind: 'none'};
	}

	private async beginStreams(): Promise<void> {
		while (!this.hasEnded) {
			this.clients.push(this.begin());
			await pause(arrivalPause);
		}
	}

	private async begin(): Promise<void> {
		const target = this.draw(this.ready);
		if (!target) {
			return;
		}

		const {readySince} = this;
		const stream = ResumedStream.create(`s${this.plan.seed}-${this.streams.length}`);
		this.streams.push(stream);
		const {firstEventAt} = await stream.send(target.relay);
		if (firstEventAt === undefined) {
			return;
		}

		if (readySince !== undefined && this.readySince === readySince) {
			this.firstBegins.push(firstEventAt - readySince);
			this.readySince = undefined;
		}

		await this.follow(stream);
	}

	/** Takes a stream up each time that it breaks off, until the history ends. */
	private async follow(stream: ResumedStream): Promise<void> {
		for (let tries = 0; tries <= maxRefusals && !this.hasEnded;) {
			const broken = stream.pieces.findLast(({firstEventAt}) => firstEventAt !== undefined)!;
			while (broken.endedAt === undefined && !this.hasEnded) {
				await pause(readinessInterval);
			}

			await pause(tries > 0 ? retryPause * (0.2 + this.random()) : this.random() * this.pickPause());
			const target = await this.untilReady();
			if (!target) {
				return;
			}

			const piece = await stream.send(target.relay);
			const result = resultOf(piece);
			// A response that the end of the history or the next kill has cut tells nothing.
			if (!this.hasEnded && (result === 'continued' || !target.isGone)) {
				this.takeUps.push({...this.describe(stream, broken, piece), result, tries});
			}

			tries = result === 'refused' && !target.isGone ? tries + 1 : 0;
		}
	}

	private describe(stream: ResumedStream, broken: StreamPiece, piece: StreamPiece): Omit<TakeUp, 'result' | 'tries'> {
		const [version] = stream.versions;
		const brokenAt = broken.endedAt!;
		const endedAt = piece.firstEventAt ?? piece.endedAt!;
		const begunAt = stream.pieces.find(({firstEventAt}) => firstEventAt !== undefined)!.firstEventAt!;
		const {attempt, relay, status, body, sentAt} = piece;
		return {
			attempt,
			relay,
			version: version!,
			status,
			duration: endedAt - sentAt,
			stall: this.stalls.during(sentAt, endedAt),
			body: status === 200 ? '' : body,
			isSettled: brokenAt - begunAt >= settleTime && this.servesThroughout(version!, brokenAt - settleTime, endedAt),
		};
	}

	/** Whether one replica of a version was listed all the time. */
	private servesThroughout(version: string, from: number, to: number): boolean {
		const listings = this.listings.filter(({at}, index) => at <= to && (this.listings[index + 1]?.at ?? Number.POSITIVE_INFINITY) >= from);
		return listings.length > 0 && [...listings[0]!.versions.keys()].some(id => listings.every(({versions}) => versions.get(id) === version));
	}

	/** @returns A ready box; `undefined` if the history ends before there is one. */
	private async untilReady(): Promise<RunningRelay | undefined> {
		while (this.ready.length === 0 && !this.hasEnded) {
			await pause(readinessInterval);
		}

		return this.hasEnded ? undefined : this.draw(this.ready);
	}

	/** Replicas write their entries again, and those that are gone lapse. */
	private async relistAll(): Promise<void> {
		const {store, entries} = this.installation;
		await pause(relistingDelay);
		for (const id of replicaIds) {
			if (this.listed.has(id)) {
				store.put(replicaKind, id, entries.get(id));
			} else {
				store.remove(replicaKind, id);
			}
		}
	}

	private pickPause(): number {
		return this.random() < longPausePart ? longPause : shortPause;
	}

	private draw<Value>(values: readonly Value[]): Value | undefined {
		return values[Math.floor(this.random() * values.length)];
	}
}

function resultOf({firstEventAt, status}: StreamPiece): TakeUp['result'] {
	if (firstEventAt !== undefined) {
		return 'continued';
	}

	return status === 0 ? 'unread' : (status === badGateway ? 'cut' : 'refused');
}
