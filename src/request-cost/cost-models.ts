/**
 * The cost models of all services, and their exchange between boxes.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {getOrCreate} from '../base/get-or-create.js';
import {pooledEvidence, weightOf, type CostEvidence} from './cost-evidence.js';
import {CostModel} from './cost-model.js';
import {fromCostRow, toCostRow, type CostRow} from './cost-row.js';

/** Milliseconds for which the rows of a box count; spans several rounds of the exchange. */
const boxLifetime = 10_000;
/** Milliseconds between two poolings of what was received; with 320 boxes, pooling at each message would take most of the time. */
const poolingInterval = 200;
/** Boxes whose rows are kept; the oldest are evicted. */
const maxBoxes = 1024;
/** Versions of a service that are kept; the oldest are evicted. */
const maxVersions = 16;
/** Services that are kept; the oldest are evicted. */
const maxServices = 256;

type BoxEvidence = {
	readonly evidence: readonly CostEvidence[];
	/** Monotonic milliseconds at which it arrived. */
	readonly at: number;
};

/** The cost models of all services. */
export class CostModels {
	/**
	 * @param clock - Measures the age of the evidence.
	 * @returns Models without evidence.
	 */
	static create(clock: Clock): CostModels {
		return new CostModels(clock);
	}

	/** Models by service and software version; in each service in the order of their creation. */
	private readonly models = new Map<string, Map<string, CostModel>>();
	private readonly boxes = new Map<string, BoxEvidence>();
	private pooledAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/** Evidence measured at this box, for other boxes: one row of at most 200 bytes of JSON for each service, on the version with the most evidence. */
	get summaries(): readonly CostRow[] {
		return rowsOf(this.ownEvidence);
	}

	/**
	 * Evidence of this box and of all boxes whose rows were merged, for boxes that do not receive the rows of all others. It is computed at each
	 * call; a sender calls it once a round.
	 */
	get pooled(): readonly CostRow[] {
		return rowsOf(pooledByModel([...this.ownEvidence, ...this.receivedEvidence]));
	}

	/**
	 * @param service - Name of a service.
	 * @param software - Software version of a replica.
	 * @returns Its model. A new version starts with a quarter of the weight of the version before.
	 */
	of(service: string, software: string): CostModel {
		const versions = getOrCreate(this.models, service, () => new Map<string, CostModel>());
		const earlier = [...versions.values()].at(-1);
		return versions.get(software) ?? this.createModel(versions, {service, software}, earlier);
	}

	/** @param rows - Pooled rows that an aggregator sent, or those of one box; malformed ones are ignored. They replace those before. */
	adopt(rows: readonly unknown[]): void {
		for (const evidence of decoded(rows)) {
			this.of(evidence.service, evidence.software).adoptEvidence(evidence);
		}
	}

	/**
	 * Takes in the rows of another box, which replace its earlier ones, so that a row counts once however often it arrives. The models of
	 * this box use the evidence of all other boxes, within 200 ms.
	 *
	 * @param box - Process of the box.
	 * @param rows - Its rows; malformed ones are ignored.
	 */
	merge(box: string, rows: readonly unknown[]): void {
		// Re-inserted to keep the map ordered by arrival; the first key is evicted.
		this.boxes.delete(box);
		this.boxes.set(box, {evidence: decoded(rows), at: this.clock.monotonic()});
		evictOldest(this.boxes, maxBoxes);
		if (this.clock.monotonic() - this.pooledAt >= poolingInterval) {
			this.pooledAt = this.clock.monotonic();
			this.adoptReceived();
		}
	}

	/** Replaces what the models have received by the evidence of all other boxes. */
	private adoptReceived(): void {
		for (const evidence of pooledByModel(this.receivedEvidence)) {
			this.of(evidence.service, evidence.software).adoptEvidence(evidence);
		}
	}

	private get ownEvidence(): readonly CostEvidence[] {
		return [...this.models.values()].flatMap(versions => [...versions.values()].flatMap(({evidence}) => evidence ? [evidence] : []));
	}

	/** Evidence of the other boxes, with the age that it has by now. */
	private get receivedEvidence(): readonly CostEvidence[] {
		return [...this.boxes.values()].flatMap(({evidence, at}) => {
			const age = this.clock.ageOf(at);
			return age > boxLifetime ? [] : evidence.map(one => ({...one, age: one.age + age}));
		});
	}

	private createModel(versions: Map<string, CostModel>, {service, software}: Pick<CostEvidence, 'service' | 'software'>, earlier: CostModel | undefined): CostModel {
		const model = CostModel.create(this.clock, service, software);
		if (earlier) {
			model.inherit(earlier);
		}

		versions.set(software, model);
		evictOldest(versions, maxVersions);
		evictOldest(this.models, maxServices);
		return model;
	}
}

const keyOf = ({service, software}: CostEvidence): string => JSON.stringify([service, software]);

const decoded = (rows: readonly unknown[]): readonly CostEvidence[] => rows.flatMap(row => fromCostRow(row) ?? []);

function pooledByModel(evidence: readonly CostEvidence[]): readonly CostEvidence[] {
	const byModel = new Map<string, CostEvidence[]>();
	for (const one of evidence) {
		getOrCreate(byModel, keyOf(one), () => []).push(one);
	}

	return [...byModel.values()].map(group => pooledEvidence(group));
}

/** One row for each service, as the size of messages is bounded by service. */
function rowsOf(evidence: readonly CostEvidence[]): readonly CostRow[] {
	const best = new Map<string, CostEvidence>();
	for (const one of evidence) {
		const other = best.get(one.service);
		if (other === undefined || weightOf(one) > weightOf(other)) {
			best.set(one.service, one);
		}
	}

	return [...best.values()].map(one => toCostRow(one)).filter(row => row !== undefined);
}
