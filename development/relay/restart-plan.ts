/**
 * Draws histories of a fleet whose relays are all killed, several times, while versions come and go and the store misbehaves. Development only.
 */
import {configurationKind, replicaKind} from '../../platform/formats.js';
import {originKind} from '../../src/stream-versions/origin-record.js';
import {historyKind} from '../../src/stream-versions/version-history.js';
import {seededBy} from '../soak/seeded-by.js';
import type {CallFault} from './store-standin.js';

/** A change of the replicas. */
export type VersionChange = {
	/** Milliseconds from the start of the round. */
	readonly at: number;
	readonly ids: readonly string[];
	/** Version with which the replicas are listed; `undefined` if they leave. */
	readonly version: string | undefined;
};

/** A fault of the store for calls of some boxes. */
export type PlannedFault = {
	/** Milliseconds from the start of the round. */
	readonly from: number;
	readonly to: number;
	/** Kinds of objects; `undefined` for all calls. */
	readonly kinds: readonly string[] | undefined;
	/** Whether it also applies to reads. */
	readonly affectsReads: boolean;
	readonly boxes: readonly string[];
	readonly fault: CallFault;
};

/** Something that happens to the store as a whole. */
export type StoreEvent = {
	/** Milliseconds from the start of the round. */
	readonly at: number;
	readonly kind: 'back-up' | 'restore' | 'compact' | 'refresh';
} | {readonly at: number; readonly kind: 'keep-stale'; readonly objects: string};

/** When a box is killed and started. */
export type BoxPlan = {
	readonly name: string;
	/** Milliseconds from the start of the round, in turn: killed, started, killed, started and so on. */
	readonly times: readonly number[];
};

/** Boxes that no datagram reaches or leaves. */
export type PlannedPartition = {readonly from: number; readonly to: number; readonly boxes: readonly string[]};

/** One loss of all boxes, with what goes on around it. */
export type RestartRound = {
	/** Milliseconds that it lasts. */
	readonly duration: number;
	/** Milliseconds from its start to the first kill. */
	readonly lossAt: number;
	readonly changes: readonly VersionChange[];
	readonly faults: readonly PlannedFault[];
	readonly events: readonly StoreEvent[];
	readonly boxes: readonly BoxPlan[];
	readonly partitions: readonly PlannedPartition[];
};

/** A history. */
export type RestartPlan = {
	readonly seed: number;
	/** Version of each replica at the start, by id. */
	readonly versions: Readonly<Record<string, string>>;
	/** Part of the datagrams that is lost. */
	readonly lostDatagrams: number;
	/** Whether the store fails in any way. */
	readonly hasStoreFaults: boolean;
	readonly rounds: readonly RestartRound[];
};

/** Names of the boxes. */
export const boxNames = ['relay-1', 'relay-2', 'relay-3', 'relay-4'];
/** Ids of the replicas. */
export const replicaIds = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];
const versions = ['v1', 'v2', 'v3', 'v4'];
const kindSets = [
	undefined,
	[replicaKind],
	[historyKind],
	[historyKind],
	[originKind],
	[historyKind, originKind],
	[replicaKind, configurationKind],
];
const faults: readonly CallFault[] = [
	{kind: 'silent'},
	{kind: 'silent'},
	{kind: 'slow', milliseconds: 400},
	{kind: 'slow', milliseconds: 850},
	{kind: 'refused', status: 429},
	{kind: 'refused', status: 503},
	{kind: 'reset'},
	{kind: 'unanswered'},
	{kind: 'late', milliseconds: 1000},
	{kind: 'late', milliseconds: 3000},
];
/** Kinds that may be read stale. */
export const staleKinds = [replicaKind, historyKind];
/** Faults that leave reads as they are if they are limited to writes. */
const writeFaults: ReadonlySet<CallFault['kind']> = new Set(['unanswered', 'late']);
/** Milliseconds around a loss in which versions change and the store misbehaves. */
const disturbance = 2000;

/** Draws one history. */
export class RestartDraw {
	/**
	 * @param seed - The seed.
	 * @param startTime - Milliseconds that a box needs until it is ready, beyond those that it waits for others.
	 * @returns The history that belongs to them.
	 */
	static plan(seed: number, startTime = 0): RestartPlan {
		return new RestartDraw(seed, startTime).draw();
	}

	private readonly random: () => number;

	private constructor(private readonly seed: number, private readonly startTime: number) {
		this.random = seededBy(seed, 'restarts');
	}

	private draw(): RestartPlan {
		const hasStoreFaults = this.chance(0.65);
		const rounds = this.pick([1, 2, 2, 2, 3]);
		const second = this.chance(0.6) ? this.pick(versions) : 'v1';
		return {
			seed: this.seed,
			versions: {
				'i-1': 'v1', 'i-2': 'v1', 'i-3': second, 'i-4': second,
			},
			lostDatagrams: this.pick([0, 0, 0.1, 1 / 3]),
			hasStoreFaults,
			rounds: Array.from({length: rounds}, () => this.round(hasStoreFaults)),
		};
	}

	private round(hasStoreFaults: boolean): RestartRound {
		const lossAt = this.between(600, 2800);
		const boxes = this.boxPlans(lossAt);
		const lastStart = Math.max(...boxes.flatMap(({times}) => times));
		return {
			lossAt,
			boxes,
			duration: lastStart + this.startTime + this.between(800, 3000),
			changes: Array.from({length: this.pick([0, 1, 1, 2, 3])}, () => this.change(lossAt)),
			faults: hasStoreFaults ? Array.from({length: this.pick([0, 1, 1, 2, 3])}, () => this.fault(lossAt)) : [],
			events: hasStoreFaults ? this.storeEvents(lossAt, lastStart) : [],
			partitions: this.chance(0.4) ? [this.partition(lossAt, boxes)] : [],
		};
	}

	private boxPlans(lossAt: number): readonly BoxPlan[] {
		const downTime = this.between(0, 800);
		const isInParts = this.chance(0.25);
		const killsDuringStart = this.pick(['none', 'none', 'one', 'all'] as const);
		const secondKill = this.between(20, 900 + this.startTime);
		const single = this.pick(boxNames);
		const first = this.pick(boxNames);
		const last = this.chance(0.4) ? this.pick(boxNames) : undefined;
		return boxNames.map((name, index) => {
			const killedAt = lossAt + (isInParts && index >= 2 ? this.between(0, 2500) : 0);
			const lead = name === first ? this.pick([0, 300, 700]) : 0;
			const delay = this.between(0, 200) + (name === last ? this.between(1000, 2500) : 0);
			const startedAt = Math.max(killedAt + 10, lossAt + downTime + delay + 700 - lead);
			const isKilledAgain = killsDuringStart === 'all' || (killsDuringStart === 'one' && name === single);
			return {name, times: isKilledAgain ? [killedAt, startedAt, startedAt + secondKill, startedAt + secondKill + this.between(10, 500)] : [killedAt, startedAt]};
		});
	}

	/** A partition of some boxes around the loss, or of the box that starts last from its start on. */
	private partition(lossAt: number, boxes: readonly BoxPlan[]): PlannedPartition {
		const {name, times} = boxes.toSorted((a, b) => b.times.at(-1)! - a.times.at(-1)!)[0]!;
		const isOfLast = this.chance(0.4);
		const from = isOfLast ? times.at(-1)! + this.between(0, 1500) : Math.max(0, lossAt - this.between(200, 1000));
		return {from, to: from + this.between(500, 4000), boxes: isOfLast ? [name] : this.someBoxes()};
	}

	private change(lossAt: number): VersionChange {
		return {
			at: Math.max(0, lossAt + this.between(-disturbance, disturbance)),
			ids: replicaIds.filter(() => this.chance(0.45)),
			version: this.chance(0.35) ? undefined : this.pick(versions),
		};
	}

	private fault(lossAt: number): PlannedFault {
		const from = Math.max(0, lossAt + this.between(-disturbance, disturbance / 2));
		const fault = this.pick(faults);
		return {
			from,
			to: from + this.between(300, 5000),
			kinds: this.pick(kindSets),
			boxes: this.chance(0.5) ? boxNames : this.someBoxes(),
			fault,
			affectsReads: !writeFaults.has(fault.kind) || this.chance(0.3),
		};
	}

	private storeEvents(lossAt: number, lastStart: number): readonly StoreEvent[] {
		const staleFrom = Math.max(0, lossAt + this.between(-disturbance, 800));
		const restores: readonly StoreEvent[] = [{at: this.between(0, lossAt + 1000), kind: 'back-up'}, {at: this.between(lossAt, lastStart + 1000), kind: 'restore'}];
		const stale: readonly StoreEvent[] = [{at: staleFrom, kind: 'keep-stale', objects: this.pick(staleKinds)}, {at: staleFrom + this.between(300, 3000), kind: 'refresh'}];
		const compaction: readonly StoreEvent[] = [{at: this.between(0, lastStart), kind: 'compact'}];
		return [restores, stale, compaction].filter(() => this.chance(0.25)).flat();
	}

	private someBoxes(): readonly string[] {
		const chosen = boxNames.filter(() => this.chance(0.5));
		return chosen.length === 0 ? [this.pick(boxNames)] : chosen;
	}

	private chance(part: number): boolean {
		return this.random() < part;
	}

	private between(low: number, high: number): number {
		return Math.round(low + (this.random() * (high - low)));
	}

	private pick<Value>(values: readonly Value[]): Value {
		return values[Math.floor(this.random() * values.length)]!;
	}
}
