/**
 * A fleet in virtual time whose replicas crash on a part of prompts: boxes with their real quarantines exchange updates, datagrams are
 * lost, boxes are killed, and replicas also crash for other reasons. Development only.
 */
import {SilentEventLog} from '../../src/base/event-log.js';
import {hashText} from '../../src/base/rendezvous.js';
import {maxCrashesSent, type CrashLedgerUpdate} from '../../src/quarantine/crash-ledger.js';
import {Fingerprint} from '../../src/quarantine/fingerprint.js';
import {Quarantine, survivalTime} from '../../src/quarantine/quarantine.js';
import {ReplicaDirectory} from '../../src/replicas/replica-directory.js';
import type {Replica} from '../../src/replicas/replica.js';
import {ManualClock} from './manual-clock.js';
import {modelReplicaEntry} from './model-replica.js';
import {createRandom} from './seeded-random.js';

/** A kind of requests. */
export type RequestKind = {
	/** Requests a second, at all boxes. */
	readonly rate: number;
	/** Shared parts of their prompts. */
	readonly parts: readonly string[];
	/** Parts that crash the replica which answers. */
	readonly poison?: readonly string[];
	readonly clientAccount: string;
	/** Milliseconds of a run until the answer begins, and from then on; each is drawn from half to one and a half of it. */
	readonly reading: number;
	readonly writing: number;
};

/** Parameters of a fleet. */
export type PoisonFleetPlan = {
	readonly boxes: number;
	readonly replicas: number;
	readonly kinds: readonly RequestKind[];
	/** Milliseconds between crashes for other reasons; infinite for none. */
	readonly otherCrashInterval: number;
	/** Milliseconds between kills of a box; infinite for none. */
	readonly killInterval: number;
	/** Fraction of the datagrams that are lost. */
	readonly loss: number;
	readonly seed: number;
};

/** What happened to the requests of one kind. */
export type KindReport = {
	/** Times at which its requests were sent to replicas. */
	readonly arrivals: number[];
	/** Times at which requests were sent by clients, and which of them were served at the first attempt. */
	readonly outcomes: Array<{readonly at: number; readonly outcome: 'served' | 'cut' | 'refused' | 'deferred'}>;
};

/** Milliseconds of a simulation step. */
const step = 20;
/** Milliseconds from a cut connection to the report that the replica has crashed. */
const probeTime = 30;
/** Milliseconds between gossip rounds, in a small and in a large fleet. */
const rounds = {small: 200, large: 600} as const;
/** Milliseconds between two writes of the quarantine to the store. */
const saveInterval = 200;
/** Milliseconds for which a request on trial waits for its turn. */
const maxTurnWait = 500;
/** Boxes above which a fleet has aggregators, and their number. */
const smallFleet = 12;
const aggregatorCount = 3;
/** Every which message of a box of a large fleet contains all that others must know. */
const wholeInterval = 8;
/** Bounds in milliseconds of the time until a replica is listed again. */
const restartTime = {least: 1500, spread: 3000} as const;
/** Bounds in milliseconds from the begin of an answer to the crash of its replica. */
const crashDelay = {least: 0, spread: 200} as const;
const millisecondsPerSecond = 1000;

type Box = {readonly index: number; readonly clock: ManualClock; readonly replicas: ReplicaDirectory; quarantine: Quarantine; sent: number};
type Request = {readonly kind: number; readonly fingerprint: Fingerprint; readonly at: number; readonly box: Box};
type Run = Request & {
	readonly start: string;
	readonly beganAt: number;
	readonly answersAt: number;
	readonly endsAt: number;
	readonly crashes: boolean;
	readonly endRun: () => void;
	hasSurvived: boolean;
};
type Report = {readonly at: number; readonly box: Box; readonly replica: Replica; readonly runs: readonly Run[]; readonly cutAt: number};

/** The fleet. */
export class PoisonFleet {
	/**
	 * @param plan - Its parameters.
	 * @returns The fleet, with all boxes and replicas running.
	 */
	static create(plan: PoisonFleetPlan): PoisonFleet {
		return new PoisonFleet(plan);
	}

	/** Virtual milliseconds. */
	now = 10_000;
	/** Crashes that requests caused. */
	readonly crashes: Array<{readonly at: number; readonly kind: number}> = [];
	readonly reports: readonly KindReport[];
	/** Milliseconds for which boxes have each sound part quarantined, summed over the boxes, by part. */
	readonly mistaken = new Map<string, number>();
	private readonly random: () => number;
	private readonly boxes: readonly Box[];
	private readonly restartsAt: number[];
	private runs: readonly Run[] = [];
	private waiting: readonly Request[] = [];
	private pendingReports: readonly Report[] = [];
	private requests = 0;
	/** What the store has of the quarantine. */
	private saved: {readonly at: number; readonly causes: CrashLedgerUpdate} = {at: 0, causes: {crashes: [], completions: []}};
	private nextOtherCrash: number;
	private nextKill: number;

	private constructor(private readonly plan: PoisonFleetPlan) {
		this.random = createRandom(plan.seed);
		this.reports = plan.kinds.map(() => ({arrivals: [], outcomes: []}));
		this.restartsAt = Array.from({length: plan.replicas}, () => 0);
		this.boxes = Array.from({length: plan.boxes}, (_, index) => this.createBox(index));
		this.nextOtherCrash = this.now + plan.otherCrashInterval;
		this.nextKill = this.now + plan.killInterval;
		for (const index of this.restartsAt.keys()) {
			this.startReplica(index);
		}
	}

	/**
	 * @param time - Milliseconds to advance.
	 * @param rateOf - Requests a second of each kind meanwhile; by default those of the plan.
	 */
	advance(time: number, rateOf: (kind: number) => number = kind => this.plan.kinds[kind]!.rate): void {
		const until = this.now + time;
		while (this.now < until) {
			this.now += step;
			for (const {clock} of this.boxes) {
				clock.now = this.now;
			}

			this.arrive(rateOf);
			this.retryWaiting();
			this.progress();
			this.disturb();
			this.report();
			this.exchange();
			this.save();
			this.observe();
		}
	}

	/** Kills all boxes at once. */
	killAll(): void {
		for (const box of this.boxes) {
			this.kill(box);
		}
	}

	private get isLarge(): boolean {
		return this.boxes.length > smallFleet;
	}

	private createBox(index: number): Box {
		const clock = new ManualClock(this.now);
		const replicas = ReplicaDirectory.create(clock, SilentEventLog.create());
		return {
			index, clock, replicas, quarantine: this.createQuarantine(index, clock, replicas), sent: 0,
		};
	}

	private createQuarantine(index: number, clock: ManualClock, replicas: ReplicaDirectory): Quarantine {
		const owners = this.plan.boxes > smallFleet ? aggregatorCount : this.plan.boxes;
		return Quarantine.create({
			clock, log: SilentEventLog.create(), replicas, isOwner: cause => hashText(cause) % owners === index, released: () => [],
		});
	}

	private arrive(rateOf: (kind: number) => number): void {
		for (const kind of this.plan.kinds.keys()) {
			if (this.random() < rateOf(kind) * step / millisecondsPerSecond) {
				this.requests++;
				this.send({
					kind, fingerprint: Fingerprint(`request-${this.requests}`), at: this.now, box: this.pick(this.boxes),
				});
			}
		}
	}

	private retryWaiting(): void {
		const {waiting} = this;
		this.waiting = [];
		for (const request of waiting) {
			this.send(request);
		}
	}

	private send(request: Request): void {
		const {box: {quarantine, replicas}} = request;
		const {status, cause} = quarantine.standingOf(this.suspectOf(request));
		const ready = replicas.all;
		if (status === 'quarantined' || ready.length === 0) {
			this.end(request, status === 'quarantined' ? 'refused' : 'cut');
			return;
		}

		const mustWait = status === 'trial' && quarantine.isRunning(cause);
		const eligible = mustWait ? [] : quarantine.eligibleReplicas(cause, status, ready);
		if (eligible.length === 0) {
			if (this.now - request.at < maxTurnWait) {
				this.waiting = [...this.waiting, request];
			} else {
				this.end(request, 'deferred');
			}

			return;
		}

		const {start} = this.pick(eligible);
		this.begin(request, start, status === 'sound' ? () => undefined : quarantine.begin(cause, start));
	}

	private begin(request: Request, start: string, endRun: () => void): void {
		const {reading, writing, poison = []} = this.plan.kinds[request.kind]!;
		const answersAt = this.now + (reading * (0.5 + this.random()));
		const crashes = poison.length > 0;
		const endsAt = answersAt + (crashes ? crashDelay.least + (crashDelay.spread * this.random()) : writing * (0.5 + this.random()));
		this.reports[request.kind]!.arrivals.push(this.now);
		this.runs = [...this.runs, {
			...request, start, beganAt: this.now, answersAt, endsAt, crashes, endRun, hasSurvived: false,
		}];
	}

	private progress(): void {
		for (const run of this.runs.filter(({answersAt, hasSurvived}) => !hasSurvived && this.now - answersAt >= survivalTime)) {
			run.hasSurvived = true;
			run.box.quarantine.recordPartSurvival(this.suspectOf(run).parts, run.answersAt);
		}

		for (const run of this.runs.filter(({endsAt}) => endsAt <= this.now)) {
			if (!this.runs.includes(run)) {
				continue;
			}

			if (run.crashes) {
				this.crashes.push({at: this.now, kind: run.kind});
				this.crash(run.start);
			} else {
				this.complete(run);
			}
		}
	}

	private complete(run: Run): void {
		const {box: {quarantine}, fingerprint, answersAt} = run;
		this.remove([run]);
		quarantine.recordCompletion(fingerprint);
		quarantine.recordPartCompletion(this.suspectOf(run).parts, answersAt);
		this.end(run, 'served');
	}

	private crash(start: string): void {
		const replica = this.boxes[0]!.replicas.byStart(start);
		if (!replica) {
			return;
		}

		const cut = this.runs.filter(run => run.start === start);
		this.remove(cut);
		this.restartsAt[Number(replica.entry.id.slice(2))] = this.now + restartTime.least + (restartTime.spread * this.random());
		for (const box of this.boxes) {
			const runs = cut.filter(run => run.box === box);
			if (runs.length > 0) {
				this.pendingReports = [...this.pendingReports, {
					at: this.now + probeTime, box, replica, runs, cutAt: this.now,
				}];
			}

			box.replicas.remove(replica.entry.id, this.now);
		}

		for (const run of cut) {
			this.end(run, 'cut');
		}
	}

	private disturb(): void {
		const {all} = this.boxes[0]!.replicas;
		if (this.now >= this.nextOtherCrash) {
			this.nextOtherCrash += this.plan.otherCrashInterval;
			if (all.length > 0) {
				this.crash(this.pick(all).start);
			}
		}

		if (this.now >= this.nextKill) {
			this.nextKill += this.plan.killInterval;
			this.kill(this.pick(this.boxes));
		}

		for (const [index, at] of this.restartsAt.entries()) {
			if (at > 0 && at <= this.now) {
				this.startReplica(index);
			}
		}
	}

	private kill(box: Box): void {
		box.quarantine = this.createQuarantine(box.index, box.clock, box.replicas);
		box.quarantine.merge(agedBy(this.saved.causes, this.now - this.saved.at));
		this.pendingReports = this.pendingReports.filter(report => report.box !== box);
		const runs = this.runs.filter(run => run.box === box);
		this.remove(runs);
		for (const run of runs) {
			this.end(run, 'cut');
		}
	}

	private report(): void {
		const due = this.pendingReports.filter(({at}) => at <= this.now);
		this.pendingReports = this.pendingReports.filter(({at}) => at > this.now);
		for (const {box, replica, runs, cutAt} of due) {
			box.quarantine.recordCrash(replica, runs.map(run => ({...this.suspectOf(run), ranFor: cutAt - run.beganAt})), cutAt);
			this.sendUpdate(box);
			this.cancel(box);
		}
	}

	/** The box that owns the record saves it in the store. */
	private save(): void {
		if (this.now % saveInterval < step) {
			this.saved = {at: this.now, causes: this.boxes[0]!.quarantine.causes};
		}
	}

	private exchange(): void {
		const round = this.isLarge ? rounds.large : rounds.small;
		for (const box of this.boxes.filter(({index}) => (this.now + (index * step)) % round < step)) {
			this.sendUpdate(box);
		}
	}

	/** In a large fleet, boxes send to the aggregators, each of which answers. */
	private sendUpdate(sender: Box): void {
		sender.sent++;
		const limit = this.isLarge ? maxCrashesSent.large : maxCrashesSent.small;
		const update = sender.quarantine.collectUpdate(!this.isLarge || sender.sent % wholeInterval === 0, limit);
		const receivers = this.isLarge ? this.boxes.slice(0, aggregatorCount) : this.boxes;
		for (const receiver of receivers.filter(box => box !== sender && this.random() >= this.plan.loss)) {
			if (update) {
				receiver.quarantine.merge(update);
				this.cancel(receiver);
			}

			if (this.isLarge) {
				this.answer(receiver, sender);
			}
		}
	}

	private answer(aggregator: Box, box: Box): void {
		aggregator.sent++;
		const update = this.random() < this.plan.loss ? undefined : aggregator.quarantine.collectUpdate(aggregator.sent % wholeInterval === 0, maxCrashesSent.large);
		if (update) {
			box.quarantine.merge(update);
			this.cancel(box);
		}
	}

	/** Requests whose answer has not begun are cancelled once they are quarantined. */
	private cancel(box: Box): void {
		const cancelled = this.runs.filter(run => run.box === box && run.answersAt > this.now && this.isQuarantined(box, run));
		this.remove(cancelled);
		for (const run of cancelled) {
			this.end(run, 'cut');
		}
	}

	private isQuarantined({quarantine}: Box, request: Pick<Request, 'kind' | 'fingerprint'>): boolean {
		return quarantine.standingOf(this.suspectOf(request)).status === 'quarantined';
	}

	/** What a quarantine knows of a request. */
	private suspectOf({kind, fingerprint}: Pick<Request, 'kind' | 'fingerprint'>) {
		const {parts, clientAccount} = this.plan.kinds[kind]!;
		return {fingerprint, parts: parts.map(part => Fingerprint(part)), clientAccount: Fingerprint(clientAccount)};
	}

	/** Sound kinds of requests that would be refused. */
	private observe(): void {
		for (const [kind, {poison = [], parts}] of this.plan.kinds.entries()) {
			for (const box of poison.length === 0 ? this.boxes.filter(({quarantine}) => quarantine.hasSuspects) : []) {
				if (this.isQuarantined(box, {kind, fingerprint: Fingerprint('observer')})) {
					this.mistaken.set(parts.join(','), (this.mistaken.get(parts.join(',')) ?? 0) + (step / this.boxes.length));
				}
			}
		}
	}

	private remove(runs: readonly Run[]): void {
		const removed = new Set(runs);
		this.runs = this.runs.filter(run => !removed.has(run));
		for (const {endRun} of runs) {
			endRun();
		}
	}

	private end({kind, at}: Request, outcome: KindReport['outcomes'][number]['outcome']): void {
		this.reports[kind]!.outcomes.push({at, outcome});
	}

	private startReplica(index: number): void {
		this.restartsAt[index] = 0;
		for (const {replicas} of this.boxes) {
			replicas.put(modelReplicaEntry(index, this.now));
		}
	}

	private pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.random() * items.length)]!;
	}
}

function agedBy({crashes, completions}: CrashLedgerUpdate, time: number): CrashLedgerUpdate {
	return {crashes: crashes.map(crash => ({...crash, age: crash.age + time})), completions: completions.map(completion => ({...completion, age: completion.age + time}))};
}
