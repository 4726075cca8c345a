/**
 * Four relay processes, replicas of several software versions, and clients that resume their streams. Development only.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {createPlaces} from '../relay/relay-host.js';
import {RelayInstallation, routeTo} from '../relay/relay-installation.js';
import {ResumedStream} from '../relay/resumed-stream.js';
import {freeDatagramPort} from '../soak/datagram-proxy.js';
import {HeadCutter} from './head-cutter.js';
import {OrderRelay} from './order-relay.js';

const relayNames = ['relay-1', 'relay-2', 'relay-3', 'relay-4'];
/** Events of a stream, and milliseconds between two. */
const events = 40;
const gap = 50;
/** Bytes of an event after which a replica at most cuts it. */
const maxCutBytes = 20;
/** Part of the runs that replicas cut. */
const cutPart = 0.25;
/** Part of the attempts that their client ends, and the longest time until then in milliseconds. */
const abandonedPart = 0.15;
const maxAbandonTime = 2000;
/** Part of the attempts that are sent to the relay that is out of step, if one is. */
const preferredPart = 0.5;
/** Milliseconds between two streams that begin. */
const arrivalInterval = 60;
/** Attempts of a client before it gives up, and longest pause between two in milliseconds. */
const maxAttempts = 14;
const maxPause = 400;
/** Maximum duration of an attempt in milliseconds. */
const maxAttemptTime = 9000;
/** Milliseconds between two checks of a condition, and the longest wait for the start of the fleet. */
const checkInterval = 20;
const startTimeout = 20_000;
/** Milliseconds from the removal of a replica's entry until its process ends. */
const leaveDelay = 200;
const slots = 200;

/** Parameters of a fleet. */
export type OrderFleetPlan = {
	/** Path of the compiled entry point of the relays. */
	readonly program: string;
	readonly random: () => number;
	/** Software version of each replica at the start, by id. */
	readonly versions: Readonly<Record<string, string>>;
	/** Whether replicas damage the heads of their answers. */
	readonly cutsHeads: boolean;
};

/** What the clients of a run saw. */
export type OrderResult = {
	readonly streams: number;
	readonly attempts: number;
	/** Attempts that resumed a stream and received an event. */
	readonly continued: number;
	/** Streams with events of several versions. */
	readonly joined: number;
	/** Streams that lack an event, or have one without a number. */
	readonly gaps: number;
	/** Streams with an event that came again. */
	readonly repeats: number;
	/** Attempts that looked complete before the last event. */
	readonly completeBefore: number;
	/** Streams that reached their last event. */
	readonly finished: number;
};

/** The fleet. */
export class OrderFleet {
	/**
	 * @param plan - Parameters of the fleet.
	 * @returns The fleet, whose relays are ready and know all replicas.
	 */
	static async start(plan: OrderFleetPlan): Promise<OrderFleet> {
		const installation = await RelayInstallation.start({
			relays: 0, replicas: [], routes: [routeTo('/stream/', {
				kind: 'streaming', resumable: true, timeout_ms: 20_000, max_attempts: 4,
			})],
		});
		const fleet = new OrderFleet(plan, installation);
		await fleet.startRelays();
		await Promise.all(Object.entries(plan.versions).map(async ([id, version]) => fleet.add(id, version)));
		await fleet.untilReady();
		return fleet;
	}

	relays: readonly OrderRelay[] = [];
	/** Relay that is out of step, to which more streams are sent; `undefined` if none is. */
	preferred: OrderRelay | undefined;
	readonly streams: ResumedStream[] = [];
	private readonly folder = mkdtempSync(path.join(tmpdir(), 'waydrift-order-'));
	private readonly cutters: HeadCutter[] = [];
	private readonly clients: Array<Promise<void>> = [];
	private completeBefore = 0;

	private constructor(private readonly plan: OrderFleetPlan, private readonly installation: RelayInstallation) {}

	/** What the clients saw so far. */
	get result(): OrderResult {
		const ids = this.streams.map(({eventIds}) => eventIds);
		const count = (isMet: (id: number, before: number) => boolean) => ids.filter(list => list.some((id, index) => isMet(id, list[index - 1] ?? 0))).length;
		const pieces = this.streams.flatMap(stream => stream.pieces.map((piece, index) => ({piece, isFirst: index === 0})));
		return {
			streams: this.streams.length,
			attempts: pieces.length,
			continued: pieces.filter(({piece, isFirst}) => !isFirst && piece.firstEventAt !== undefined).length,
			joined: this.joined.length,
			gaps: count((id, before) => Number.isNaN(id) || id > before + 1),
			repeats: count((id, before) => id <= before),
			completeBefore: this.completeBefore,
			finished: ids.filter(list => list.at(-1) === events).length,
		};
	}

	/** Log lines of streams that violate their order. */
	get violationLines(): ReadonlyArray<Readonly<Record<string, unknown>>> {
		const wrong = this.streams.filter(stream => stream.versions.size > 1 || !stream.isConsecutive);
		const attempts = new Set<unknown>(wrong.flatMap(({pieces}) => pieces.map(({attempt}) => attempt)));
		return this.relays.flatMap(({name, lines}) => lines
			.filter(line => Object.values(line).some(value => attempts.has(value)))
			.map(line => ({relay: name, ...line})));
	}

	private get joined(): readonly ResumedStream[] {
		return this.streams.filter(({versions}) => versions.size > 1);
	}

	/**
	 * Starts a replica and lists it.
	 *
	 * @param id - Id of the replica.
	 * @param version - Its software version.
	 */
	async add(id: string, version: string): Promise<void> {
		const {random, cutsHeads} = this.plan;
		const replica = await this.installation.addReplica(id, {version, slots});
		replica.software = version;
		replica.namesRequests = true;
		replica.behave({delay: 10, events, gap});
		replica.scriptOf = () => random() < cutPart
			? {
				breaksAt: {event: 1 + Math.floor(random() * events), bytes: Math.floor(random() * maxCutBytes), isAnyRun: true},
				ending: random() < 0.5 ? 'reset' : 'close',
			}
			: {};
		if (cutsHeads) {
			const cutter = await HeadCutter.create(replica, random);
			this.cutters.push(cutter);
			this.installation.list(id, {version, slots, addr: cutter.address});
		}
	}

	/**
	 * Lists replicas under their ids with another software version, as after a restart.
	 *
	 * @param ids - Ids of the replicas.
	 * @param version - The version.
	 */
	replace(ids: readonly string[], version: string): void {
		for (const id of ids) {
			this.installation.replicas.get(id)!.software = version;
			this.installation.list(id, {version, slots, born: Date.now()});
		}
	}

	/** @param ids - Ids of replicas that leave. */
	async remove(ids: readonly string[]): Promise<void> {
		for (const id of ids) {
			this.installation.unlist(id);
		}

		await pause(leaveDelay);
		await Promise.all(ids.map(async id => this.installation.replicas.get(id)!.close()));
		for (const id of ids) {
			this.installation.replicas.delete(id);
		}
	}

	/** Cuts a relay off from others, in both directions, until it is called again. */
	updateBoxNetwork(): void {
		const ports = new Set(this.relays.filter(({isMuted}) => isMuted).map(({ownPort}) => ownPort));
		for (const {datagrams} of this.relays) {
			datagrams.fault = {kind: 'cut-from', ports};
		}
	}

	/** @param duration - Milliseconds for which streams begin. */
	async beginStreams(duration: number): Promise<void> {
		const count = Math.floor(duration / arrivalInterval);
		for (const index of Array.from({length: count}).keys()) {
			this.clients.push(this.read(ResumedStream.create(`s${index}`)));
			await pause(arrivalInterval);
		}
	}

	/** Waits until all clients have ended. */
	async untilEnded(): Promise<void> {
		await Promise.all(this.clients);
	}

	/** Stops everything. */
	async close(): Promise<void> {
		await Promise.all(this.relays.map(async relay => relay.close()));
		for (const cutter of this.cutters) {
			cutter.close();
		}

		await this.installation.close();
		rmSync(this.folder, {recursive: true});
	}

	private async startRelays(): Promise<void> {
		const places = await createPlaces(this.installation, relayNames);
		const controlPorts = [...places.values()].map(({ports: {control}}) => control);
		this.relays = await Promise.all([...places].map(async ([name, {ports, store}]) => OrderRelay.create({
			name, program: this.plan.program, folder: this.folder, ports, ownPort: await freeDatagramPort(), store, controlPorts,
		})));
	}

	private async untilReady(): Promise<void> {
		const end = performance.now() + startTimeout;
		const linesOf = ({lines}: OrderRelay, event: string) => lines.filter(({eventName}) => eventName === event);
		for (;;) {
			const ready = await Promise.all(this.relays.map(async relay => relay.isReady()));
			const areKnown = this.relays.every(relay => new Set(linesOf(relay, 'memberHeard').map(({member}) => member)).size === relayNames.length - 1
				&& linesOf(relay, 'replicaListed').length >= Object.keys(this.plan.versions).length);
			if (ready.every(Boolean) && areKnown) {
				return;
			}

			if (performance.now() > end) {
				throw new Error('The relays did not become ready.');
			}

			await pause(checkInterval);
		}
	}

	private async read(stream: ResumedStream): Promise<void> {
		const {random} = this.plan;
		this.streams.push(stream);
		while (stream.pieces.length < maxAttempts && stream.eventIds.at(-1) !== events) {
			const isDeceived = await this.attempt(stream);
			if (isDeceived) {
				this.completeBefore++;
				return;
			}

			await pause(random() * maxPause);
		}
	}

	/** @returns Whether the answer looked complete before the last event. */
	private async attempt(stream: ResumedStream): Promise<boolean> {
		const {random} = this.plan;
		const target = this.preferred && random() < preferredPart ? this.preferred : this.relays[Math.floor(random() * this.relays.length)]!;
		const limit = random() < abandonedPart ? random() * maxAbandonTime : maxAttemptTime;
		const abandon = setTimeout(() => {
			stream.close();
		}, limit);
		const piece = await stream.send(target);
		while (piece.endedAt === undefined) {
			await pause(checkInterval);
		}

		clearTimeout(abandon);
		return piece.status === 200 && piece.isWhole && stream.eventIds.at(-1) !== events;
	}
}
