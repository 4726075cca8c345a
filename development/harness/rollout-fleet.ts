/**
 * Simulates in virtual time boxes that roll a service out to another software version, with the real views, permits, evidence and steps. Development only.
 */
import * as Effect from 'effect/Effect';
import {SilentEventLog} from '../../src/base/event-log.js';
import {
	MetadataStore, RevisionConflict, StoreUnavailable, type Changes, type Listing, type StoredObject,
} from '../../src/follow/metadata-store.js';
import {aggregatorCount, exchangeInterval, isLargeFleet} from '../../src/gossip/exchange-topology.js';
import {boxOf} from '../../src/gossip/gossip-message.js';
import type {AdmittedRequest} from '../../src/relay/admitted-request.js';
import {VersionAssignment} from '../../src/relay/version-assignment.js';
import {ReplicaDirectory} from '../../src/replicas/replica-directory.js';
import type {Replica} from '../../src/replicas/replica.js';
import {ServiceVersions} from '../../src/replicas/service-versions.js';
import {FleetEvidence} from '../../src/rollout/fleet-evidence.js';
import {confirmationLifetime, RolloutDuty} from '../../src/rollout/rollout-duty.js';
import type {RolloutState, RolloutStatus, StoredRollout} from '../../src/rollout/rollout-order.js';
import {RolloutView, type RolloutUpdate} from '../../src/rollout/rollout-view.js';
import {VersionEvidence, type AnswerObservation} from '../../src/rollout/version-evidence.js';
import {ManualClock} from './manual-clock.js';
import {modelReplicaEntry} from './model-replica.js';
import {createRandom} from './seeded-random.js';

const service = 's';
const oldVersion = 'v1';
/** Software version that the order names. */
const newVersion = 'v2';
/** Milliseconds of a step of the simulation. */
const stepTime = 10;
/** Milliseconds between two proofs from the store. */
const proofInterval = 400;
/** Milliseconds between two checks for a due step. */
const dutyInterval = 100;
/** Milliseconds between two additional messages of a box. */
const minRequestInterval = 100;
/** Milliseconds after which a box that does not send counts as lost. */
const lossDetectionTime = 1000;
/** Rounds within which each box that can be reached is heard. */
const roundsHeardWithin = 5;
/** Milliseconds from a kill to the next start. */
const restartTime = 800;
/** Milliseconds for which a write without an answer may still be carried out. */
const lateWrite = 2000;
/** Requests that a replica runs at once. */
const slots = 12;
/** Mean milliseconds of a request. */
const requestTime = 700;
const millisecondsPerSecond = 1000;
const routes = [{name: 'short', part: 0.6}, {name: 'long', part: 0.3}, {name: 'rare', part: 0.1}] as const;

/** How a version is bad. */
export type BadKind = 'none' | 'fails' | 'slow' | 'later' | 'under-load' | 'one-route';

/** Parameters of a history. */
export type RolloutHistory = {
	readonly boxes: number;
	/** Replicas of each version. */
	readonly replicas: number;
	/** Requests a second of all boxes. */
	readonly rate: number;
	readonly kind: BadKind;
	/** Part of the answers that are bad where the version is bad. */
	readonly badPart: number;
	/** Part of the bad answers of the old version, and of a good new one. */
	readonly usualBadPart: number;
	/** Milliseconds within which the rollout is to be decided. */
	readonly duration: number;
	/** Part of the messages that are lost. */
	readonly loss: number;
	/** Mean milliseconds between two kills of a box. */
	readonly killInterval: number;
	/** Boxes that are killed, by index, the milliseconds after the order at which each is, and those until it starts again. */
	readonly kills: ReadonlyArray<{readonly box: number; readonly at: number; readonly downtime: number}>;
	/** Milliseconds after the order at which all boxes are killed; `undefined` for never. */
	readonly killAllAt: number | undefined;
	/** Milliseconds after the order between which the store does not answer; `undefined` for never. */
	readonly outage: {readonly from: number; readonly until: number} | undefined;
	/** Part of the boxes that neither the store nor other boxes reach, between two moments after the order. */
	readonly cut: {readonly part: number; readonly from: number; readonly until: number} | undefined;
	/** Part of the writes whose answers are lost; some of these are carried out late. */
	readonly lostAnswers: number;
	/** Milliseconds after the order from which on its version is bad, for the kind `later`. */
	readonly badFrom: number;
	readonly seed: number;
};

/** A box. */
type Box = {
	readonly index: number;
	readonly process: string;
	readonly view: RolloutView;
	readonly evidence: VersionEvidence;
	readonly fleet: FleetEvidence;
	readonly duty: RolloutDuty;
	/** The last process of each other box that was heard, by index of the box. */
	readonly heard: Map<number, {readonly process: string; readonly at: number}>;
	readonly inProgress: Map<string, number>;
	provenAt: number;
	sentAt: number;
	wantsRound: boolean;
	wantsPush: boolean;
};

type Run = {
	readonly box: Box;
	readonly replica: Replica;
	readonly observation: AnswerObservation;
	readonly startsAt: number;
	readonly endsAt: number;
	readonly isFailing: boolean;
	hasStarted: boolean;
};

type StoredState = {readonly revision: number; readonly status: RolloutStatus | undefined};

const bound = {share: 0.1, slack: 50} as const;
const rollback = 5000;

/** One box's connection to the simulated store. */
class RolloutStore extends MetadataStore {
	override readonly era = 0;

	constructor(private readonly fleet: RolloutFleet, private readonly box: number) {
		super();
	}

	override list(): Effect.Effect<Listing, StoreUnavailable> {
		return Effect.die('not used');
	}

	override read(): Effect.Effect<undefined, StoreUnavailable> {
		return Effect.die('not used');
	}

	override watch(): Effect.Effect<Changes, StoreUnavailable> {
		return Effect.die('not used');
	}

	override create(): Effect.Effect<StoredObject, StoreUnavailable> {
		return Effect.die('not used');
	}

	override replace(): Effect.Effect<StoredObject, StoreUnavailable> {
		return Effect.die('not used');
	}

	override remove(): Effect.Effect<void, StoreUnavailable> {
		return Effect.die('not used');
	}

	override replaceStatus(_kind: string, name: string, status: unknown, expected: number): Effect.Effect<StoredObject, StoreUnavailable | RevisionConflict> {
		return Effect.suspend((): Effect.Effect<StoredObject, StoreUnavailable | RevisionConflict> => {
			const outcome = this.fleet.write(this.box, status as RolloutStatus, expected);
			switch (outcome) {
				case 'unanswered': {
					return Effect.fail(new StoreUnavailable({mayHaveApplied: true, detail: 'no answer'}));
				}

				case 'conflict': {
					return Effect.fail(new RevisionConflict({name}));
				}

				case 'done': {
					return Effect.succeed({name, revision: this.fleet.revision, spec: null});
				}
			}
		});
	}
}

/** The fleet. */
export class RolloutFleet {
	/**
	 * @param history - Its parameters.
	 * @returns The fleet, before the order.
	 */
	static create(history: RolloutHistory): RolloutFleet {
		return new RolloutFleet(history);
	}

	now = 100_000;
	/** Requests that were sent to any version since the order. */
	arrivals = 0;
	/** Times at which requests were sent to the target version before the rollout was complete. */
	readonly exposed: number[] = [];
	/** Times of bad answers of the target version. */
	readonly badAnswers: number[] = [];
	/** Requests in progress at old replicas when the rollout was complete. */
	remainingAtCompletion = 0;
	decidedAt: number | undefined;
	orderedAt = Number.POSITIVE_INFINITY;
	private readonly random: () => number;
	private readonly clock: ManualClock;
	private readonly replicas: ReplicaDirectory;
	private readonly versions: ServiceVersions;
	private boxes: readonly Box[] = [];
	private running: readonly Box[] = [];
	private aggregators: ReadonlySet<Box> = new Set();
	private readonly startsAt = new Map<number, number>();
	private readonly runs = new Set<Run>();
	private stored: StoredState | undefined;
	private storeRevision = 1;
	private lateWrites: ReadonlyArray<{readonly at: number; readonly status: RolloutStatus; readonly expected: number}> = [];
	private starts = 0;

	private constructor(private readonly history: RolloutHistory) {
		this.random = createRandom(history.seed);
		this.clock = new ManualClock(this.now);
		this.replicas = ReplicaDirectory.create(this.clock, SilentEventLog.create());
		this.versions = ServiceVersions.create(this.replicas, this.clock);
		this.list(oldVersion);
		this.boxes = Array.from({length: history.boxes}, (_, index) => this.createBox(index));
	}

	/** Revision of the store. */
	get revision(): number {
		return this.storeRevision;
	}

	/** State that the store has; `undefined` before the first. */
	get state(): RolloutState | undefined {
		return this.stored?.status?.state;
	}

	/** Bound on the requests to a bad version so far. */
	get exposureBound(): number {
		return bound.slack + (bound.share * this.arrivals);
	}

	/** @param time - Milliseconds to advance. */
	advance(time: number): void {
		const until = this.now + time;
		while (this.now < until) {
			this.now += stepTime;
			this.clock.now = this.now;
			this.disturb();
			this.findRunning();
			this.progress();
			this.arrive();
			this.follow();
			this.takeSteps();
			this.exchange();
		}
	}

	/** Orders the rollout; its replicas are listed shortly afterwards. */
	order(): void {
		this.orderedAt = this.now;
		this.storeRevision++;
		this.stored = {revision: this.storeRevision, status: undefined};
		this.list(newVersion);
	}

	/**
	 * Writes the status on behalf of a box.
	 *
	 * @param box - Index of the box.
	 * @param status - The status.
	 * @param expected - Revision that the object must have.
	 * @returns Whether it was written.
	 */
	write(box: number, status: RolloutStatus, expected: number): 'done' | 'conflict' | 'unanswered' {
		if (!this.reachesStore(box)) {
			return 'unanswered';
		}

		if (this.random() < this.history.lostAnswers) {
			this.lateWrites = [...this.lateWrites, {at: this.now + (this.random() * lateWrite), status, expected}];
			return 'unanswered';
		}

		return this.applyWrite(status, expected) ? 'done' : 'conflict';
	}

	/** Whether nothing but the loss of messages disturbs the rollout. */
	get isCalm(): boolean {
		const {killInterval, kills, killAllAt, outage, cut, lostAnswers, loss, duration} = this.history;
		return killInterval > duration * 10 && kills.length === 0 && killAllAt === undefined && !outage && !cut && lostAnswers === 0 && loss <= 0.02;
	}

	/** Whether a history breaks a promise, in words; `undefined` if it does not. */
	get violation(): string | undefined {
		const {kind} = this.history;
		const fifty = this.badAnswers[49];
		const late = fifty === undefined ? 0 : this.exposed.filter(at => at > fifty + rollback).length;
		if (kind !== 'none' && this.exposed.length > this.exposureBound) {
			return `${this.exposed.length} requests to a bad version, ${Math.round(this.exposureBound)} allowed`;
		}

		if (kind !== 'none' && late > 0) {
			return `${late} requests later than ${rollback} ms after the fiftieth bad answer`;
		}

		if (kind !== 'none' && this.state === 'complete') {
			return 'a bad version was completed';
		}

		if (kind === 'none' && this.isCalm && this.state !== 'complete') {
			return 'a good version was not completed although nothing disturbed its rollout';
		}

		if (kind === 'none' && this.state === 'reverted') {
			return `a good version was reverted: ${JSON.stringify(this.stored?.status?.progress)}`;
		}

		return this.remainingAtCompletion > 0 ? `${this.remainingAtCompletion} requests were in progress at old replicas when the rollout was complete` : undefined;
	}

	/** Stops all observations. */
	close(): void {
		for (const {observation} of this.runs) {
			observation.close();
		}
	}

	private applyWrite(status: RolloutStatus, expected: number): boolean {
		if (this.stored?.revision !== expected) {
			return false;
		}

		this.storeRevision++;
		const before = this.state;
		this.stored = {revision: this.storeRevision, status};
		if (before !== status.state && status.state !== 'active') {
			this.decidedAt ??= this.now;
			if (status.state === 'complete') {
				this.remainingAtCompletion += [...this.runs].filter(({box, replica}) => replica.entry.software === oldVersion && !this.isOutOfTouch(box.index)).length;
			}
		}

		return true;
	}

	private list(software: string): void {
		for (let index = 0; index < this.history.replicas; index++) {
			this.storeRevision++;
			this.replicas.put({
				...modelReplicaEntry(index, 1), id: `${software}-${index}`, software, revision: this.storeRevision, service, slots,
			});
		}
	}

	private get isLarge(): boolean {
		return isLargeFleet(this.history.boxes);
	}

	/** Determines which boxes run and which of them receive the messages of all. */
	private findRunning(): void {
		this.running = this.boxes.filter(({index}) => (this.startsAt.get(index) ?? 0) <= this.now);
		this.aggregators = new Set(this.isLarge ? this.running.slice(0, aggregatorCount) : this.running);
	}

	private isAggregator(box: Box): boolean {
		return this.aggregators.has(box);
	}

	private isCut(index: number): boolean {
		const {cut, boxes} = this.history;
		const after = this.now - this.orderedAt;
		return cut !== undefined && after >= cut.from && after < cut.until && index % Math.max(1, Math.round(1 / cut.part)) === 0 && index < boxes;
	}

	/** A box that neither the store nor others have reached for long cannot confirm a step. */
	private isOutOfTouch(index: number): boolean {
		const {cut} = this.history;
		return cut !== undefined && this.isCut(index) && this.now - this.orderedAt - cut.from >= confirmationLifetime;
	}

	private reachesStore(index: number): boolean {
		const {outage} = this.history;
		const after = this.now - this.orderedAt;
		return !this.isCut(index) && !(outage && after >= outage.from && after < outage.until);
	}

	private createBox(index: number): Box {
		this.starts++;
		const process = `box-${index}/${this.starts}`;
		const {clock, replicas, versions} = this;
		const log = SilentEventLog.create();
		const inProgress = new Map<string, number>();
		const heard = new Map<number, {readonly process: string; readonly at: number}>();
		const wantRound = () => {
			box.wantsRound = true;
		};

		const view = RolloutView.create({
			clock, log, process, rollback: () => rollback, versions, onlyRecorded: () => undefined, onStep: wantRound,
		});
		const evidence = VersionEvidence.create({
			clock, view, inProgress: (_, isSelected) => [...inProgress].filter(([software]) => isSelected(software)).reduce((sum, [, count]) => sum + count, 0), onEvidence: wantRound,
		});
		const fleet = FleetEvidence.create();
		const duty = RolloutDuty.create({
			clock,
			log,
			store: new RolloutStore(this, index),
			kind: 'rollouts',
			encodeStatus: status => status,
			view,
			evidence: fleet,
			replicas,
			versions,
			duration: () => requestTime,
			processes: within => [process, ...[...heard.values()].filter(({at}) => this.now - at < within).map(one => one.process)],
			boxOf,
			heardWithin: () => Math.max(lossDetectionTime, exchangeInterval(this.history.boxes) * roundsHeardWithin),
			commonTime: () => this.now,
			bound: () => bound,
			isOwner: () => this.isOwner(box),
			recordOwnReports() {
				fleet.record(process, evidence.reports);
			},
			onStep() {
				box.wantsPush = true;
			},
			refresh: () => Effect.sync(() => {
				if (this.reachesStore(index)) {
					this.applyListing(box);
				}
			}),
		});
		const box: Box = {
			index, process, view, evidence, fleet, duty, heard, inProgress, provenAt: Number.NEGATIVE_INFINITY, sentAt: Number.NEGATIVE_INFINITY, wantsRound: false, wantsPush: false,
		};
		return box;
	}

	private isOwner(box: Box): boolean {
		const heard = [...box.heard].filter(([, {at}]) => this.now - at < lossDetectionTime);
		return this.isAggregator(box) && heard.every(([index]) => index > box.index);
	}

	private disturb(): void {
		const {history} = this;
		const after = this.now - this.orderedAt;
		if (this.random() < stepTime / history.killInterval) {
			this.kill(this.pick(this.boxes));
		}

		for (const {box, downtime} of history.kills.filter(({at}) => after >= at && after < at + stepTime)) {
			this.kill(this.boxes[box]!, downtime);
		}

		if (history.killAllAt !== undefined && after >= history.killAllAt && after < history.killAllAt + stepTime) {
			for (const box of this.boxes) {
				this.kill(box);
			}
		}

		const due = this.lateWrites.filter(({at}) => at <= this.now);
		this.lateWrites = this.lateWrites.filter(({at}) => at > this.now);
		for (const {status, expected} of due.filter(() => this.random() < 0.5)) {
			this.applyWrite(status, expected);
		}
	}

	private kill({index}: Box, downtime = restartTime): void {
		for (const run of [...this.runs].filter(({box}) => box.index === index)) {
			run.observation.close();
			run.replica.end();
			this.runs.delete(run);
		}

		this.startsAt.set(index, this.now + downtime);
		this.boxes = this.boxes.map(box => box.index === index ? this.createBox(index) : box);
	}

	private arrive(): void {
		const expected = this.history.rate * stepTime / millisecondsPerSecond;
		const count = Math.floor(expected) + (this.random() < expected % 1 ? 1 : 0);
		const {running} = this;
		for (let index = 0; index < count && running.length > 0; index++) {
			this.send(this.pick(running));
		}
	}

	private send(box: Box): void {
		const draw = this.random();
		const route = routes.find((_, index) => draw < routes.slice(0, index + 1).reduce((sum, {part}) => sum + part, 0))!.name;
		// Contains only the members that an assignment uses.
		const request = {service, route: {name: route}} as unknown as AdmittedRequest;
		const assignment = VersionAssignment.create({
			rollouts: box.view, evidence: box.evidence, replicas: this.replicas, request: () => request, random: this.random,
		});
		if (!box.view.isKnown) {
			return;
		}

		assignment.prepare();
		const all = [...this.replicas.all];
		const preferred = all.filter(replica => assignment.prefers(replica));
		const usable = preferred.length > 0 ? preferred : all.filter(replica => assignment.mayUse(replica));
		if (usable.length === 0) {
			return;
		}

		const samples = [this.pick(usable), this.pick(usable)];
		const replica = samples[0]!.ownWork.requests <= samples[1]!.ownWork.requests ? samples[0]! : samples[1]!;
		assignment.recordTry(replica);
		this.begin(box, replica, route);
	}

	private begin(box: Box, replica: Replica, route: string): void {
		const {software} = replica.entry;
		const isTarget = software === newVersion;
		const load = replica.ownWork.requests;
		const isBad = isTarget && this.isBad(route, load);
		const {kind, usualBadPart} = this.history;
		const isFailing = (isBad && kind !== 'slow') || this.random() < usualBadPart;
		const latency = 40 * Math.exp((this.random() + this.random() + this.random() - 1.5) * 0.8) * (1 + (load / slots)) * (isBad && kind === 'slow' ? 4 : 1);
		const length = 200 + (800 * this.random());
		const observation = box.evidence.observe({
			service, route, software, tokens: 0,
		})!;
		replica.begin(0);
		box.inProgress.set(software, (box.inProgress.get(software) ?? 0) + 1);
		if (this.now >= this.orderedAt) {
			this.arrivals++;
			if (isTarget && this.state !== 'complete') {
				this.exposed.push(this.now);
			}

			if (isTarget && (isFailing || isBad)) {
				this.badAnswers.push(this.now + latency);
			}
		}

		this.runs.add({
			box, replica, observation, startsAt: this.now + latency, endsAt: this.now + latency + (isFailing ? 0 : length), isFailing, hasStarted: false,
		});
	}

	private isBad(route: string, load: number): boolean {
		const {kind, badPart, badFrom} = this.history;
		const isAffected = {
			none: false, fails: true, slow: true, later: this.now - this.orderedAt >= badFrom, 'under-load': load >= 1, 'one-route': route === 'long',
		}[kind];
		return isAffected && this.random() < badPart;
	}

	private progress(): void {
		for (const run of this.runs) {
			if (!run.hasStarted && run.startsAt <= this.now) {
				run.hasStarted = true;
				if (run.isFailing) {
					run.observation.recordFailure();
				} else {
					run.observation.recordStart();
				}
			}

			if (run.endsAt <= this.now) {
				this.end(run);
			} else if (run.hasStarted) {
				run.observation.recordProgress();
			}
		}
	}

	private end(run: Run): void {
		const {box, replica, observation, isFailing} = run;
		this.runs.delete(run);
		if (!isFailing) {
			observation.recordCompletion();
		}

		observation.close();
		replica.end();
		const {software} = replica.entry;
		box.inProgress.set(software, (box.inProgress.get(software) ?? 1) - 1);
	}

	private get listing(): readonly StoredRollout[] {
		return this.stored
			? [{
				name: service, revision: this.stored.revision, order: {service, target: newVersion, duration: this.history.duration}, status: this.stored.status,
			}]
			: [];
	}

	private follow(): void {
		for (const box of this.running) {
			const isFollower = this.isAggregator(box) || !box.view.isKnown || box.view.needsRefresh;
			const isDue = box.view.knownUpTo < (this.stored?.revision ?? 0) || this.now - box.provenAt >= proofInterval || box.view.needsRefresh;
			if (isFollower && isDue && this.reachesStore(box.index)) {
				this.applyListing(box);
			}
		}
	}

	private applyListing(box: Box): void {
		box.provenAt = this.now;
		box.view.applyListing(this.listing, this.storeRevision, this.now);
	}

	private takeSteps(): void {
		for (const box of this.running.filter(one => (this.now + (one.index * stepTime)) % dutyInterval < stepTime && this.isAggregator(one))) {
			Effect.runSync(Effect.ignore(box.duty.takeSteps()));
		}
	}

	private exchange(): void {
		const interval = exchangeInterval(this.history.boxes);
		for (const box of this.running) {
			const isRegular = (this.now + (box.index * 7 * stepTime)) % interval < stepTime;
			const isAdditional = box.wantsRound && this.now - box.sentAt >= minRequestInterval;
			if (isRegular || isAdditional) {
				box.wantsRound = false;
				box.sentAt = this.now;
				this.sendState(box);
			}

			if (box.wantsPush) {
				box.wantsPush = false;
				for (const other of this.running.filter(one => one !== box)) {
					this.pass(box, other);
				}
			}
		}
	}

	private sendState(box: Box): void {
		const receivers = this.running.filter(other => other !== box && this.isAggregator(other));
		for (const receiver of receivers.filter(other => this.arrives(box, other))) {
			receiver.heard.set(box.index, {process: box.process, at: this.now});
			receiver.fleet.record(box.process, box.evidence.reports);
			if (this.isLarge) {
				this.pass(receiver, box);
			} else {
				this.pass(box, receiver);
			}
		}
	}

	private pass(from: Box, to: Box): void {
		if (!from.view.isKnown || !this.arrives(from, to)) {
			return;
		}

		const update: RolloutUpdate = {at: from.view.knownUpTo, age: Math.max(0, from.view.age), ...(this.isAggregator(from) ? {directives: from.view.all} : {})};
		to.view.applyUpdate(update, this.isLarge ? from.view.permitsFor(to.process) : [], this.now);
	}

	private arrives(from: Box, to: Box): boolean {
		return !this.isCut(from.index) && !this.isCut(to.index) && this.random() >= this.history.loss;
	}

	private pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.random() * items.length)]!;
	}
}

/**
 * Draws a history.
 *
 * @param seed - Seed of the draw.
 * @param kind - How the version is bad.
 * @returns The history.
 */
export function drawHistory(seed: number, kind: BadKind): RolloutHistory {
	const random = createRandom(seed * 7919);
	const boxes = [4, 8, 78, 195][Math.floor(random() * 4)]!;
	const maybe = <Value>(part: number, create: () => Value): Value | undefined => random() < part ? create() : undefined;
	const duration = 12_000 + (random() * 18_000);
	const rate = 120 + (random() * 200);
	return {
		boxes,
		replicas: Math.ceil(rate * requestTime / slots / millisecondsPerSecond * (1.5 + (random() * 2))),
		rate,
		kind,
		badPart: 0.4 + (random() * 0.6),
		usualBadPart: random() < 0.5 ? 0 : random() * 0.1,
		duration,
		loss: random() < 0.5 ? 0.02 : random() * 0.3,
		killInterval: random() < 0.5 ? 1e9 : 500 + (random() * 3000),
		kills: [],
		killAllAt: maybe(0.3, () => random() * duration),
		outage: maybe(0.3, () => {
			const from = random() * duration / 2;
			return {from, until: from + (random() * 5000)};
		}),
		cut: maybe(0.3, () => {
			const from = random() * duration / 2;
			return {part: 0.1 + (random() * 0.3), from, until: from + (random() * 6000)};
		}),
		lostAnswers: random() < 0.7 ? 0 : random() * 0.3,
		badFrom: random() * duration * 0.3,
		seed,
	};
}
