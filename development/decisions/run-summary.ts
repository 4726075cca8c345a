/**
 * Summarises a recorded run per second: requests by outcome, and the state of the fleet.
 */
import type {RunEvent} from './run-log.js';

/** Summary of one second of a run. */
export type SecondSummary = {
	/** Start of the second, in the time of the log, in seconds. */
	readonly second: number;
	/** Answered requests, including the late ones. */
	readonly answered: number;
	/** Requests whose first byte came later than `lateAfter`. */
	readonly late: number;
	/** Refused requests by reason. */
	readonly refused: ReadonlyMap<string, number>;
	/** Requests whose client disconnected before the end of the response. */
	readonly left: number;
	/** Replicas that are eligible for requests at the end of the second. */
	readonly ready: number;
	/** Reclaimable replicas in the orders that hold at the end of the second. */
	readonly reclaimable: number;
	/** Non-reclaimable replicas in the orders that hold at the end of the second. */
	readonly kept: number;
	/** Replicas that the load required at the last calculation of the fleet size; `undefined` before the first. */
	readonly needed: number | undefined;
	/** Orders of replicas that failed. */
	readonly refusedOrders: number;
	/** Log lines that boxes omitted, mostly of answered requests. */
	readonly linesLeftOut: number;
};

/** Processes the events of a run in order, and adds a row at the end of each second. */
class RunSummary {
	readonly rows: SecondSummary[] = [];
	private answered = 0;
	private late = 0;
	private left = 0;
	private refusedOrders = 0;
	private linesLeftOut = 0;
	private refused = new Map<string, number>();
	private needed: number | undefined;
	private readonly ready = new Set<string>();
	private readonly ordered = new Map<string, {readonly count: number; readonly isReclaimable: boolean}>();

	constructor(private readonly lateAfter: number, private readonly scaledService: string | undefined) {}

	addEvent({name, fields}: RunEvent): void {
		const handlers: Readonly<Record<string, () => void>> = {
			requestAnswered: () => {
				this.answered++;
				this.late += Number(fields.firstByte ?? 0) > this.lateAfter ? 1 : 0;
			},
			requestRefused: () => {
				const reason = String(fields.reason);
				this.refused.set(reason, (this.refused.get(reason) ?? 0) + 1);
			},
			logLinesLeftOut: () => {
				this.linesLeftOut += Number(fields.lines ?? 0);
			},
			clientLeft: () => {
				this.left++;
			},
			replicaListed: () => {
				if (fields.isDraining !== true && (this.scaledService === undefined || fields.service === this.scaledService)) {
					this.ready.add(String(fields.replica));
				}
			},
			replicaLeaving: () => {
				this.ready.delete(String(fields.replica));
			},
			replicasOrdered: () => {
				this.ordered.set(`${String(fields.service)}/${String(fields.dataCentre)}/${String(fields.isReclaimable)}`, {
					count: Number(fields.count), isReclaimable: fields.isReclaimable === true,
				});
			},
			fleetSized: () => {
				this.needed = Number(fields.needed);
			},
			dutyCallFailed: () => {
				this.refusedOrders += fields.duty === 'fleet' ? 1 : 0;
			},
		};
		handlers[name]?.();
	}

	closeSecond(second: number): void {
		const orders = [...this.ordered.values()];
		const sum = (isReclaimable: boolean) => {
			let total = 0;
			for (const order of orders.filter(one => one.isReclaimable === isReclaimable)) {
				total += order.count;
			}

			return total;
		};

		this.rows.push({
			second, answered: this.answered, late: this.late, refused: this.refused, left: this.left, ready: this.ready.size,
			reclaimable: sum(true), kept: sum(false), needed: this.needed, refusedOrders: this.refusedOrders,
			linesLeftOut: this.linesLeftOut,
		});
		this.answered = 0;
		this.late = 0;
		this.left = 0;
		this.refusedOrders = 0;
		this.linesLeftOut = 0;
		this.refused = new Map();
	}
}

/** Options of the summary. */
export type SummaryOptions = {
	/** Milliseconds to the first byte above which a response counts as late. */
	readonly lateAfter: number;
};

/**
 * @param events - The events of a run, in order of time.
 * @param options - Options of the summary.
 * @returns A summary of each second. Ready replicas are counted for the first service whose fleet is sized or ordered,
 * or for all services if there is none.
 */
export function summariseRun(events: readonly RunEvent[], {lateAfter}: SummaryOptions): readonly SecondSummary[] {
	const scaledService = events.find(({name}) => name === 'fleetSized' || name === 'replicasOrdered')?.fields.service;
	const summary = new RunSummary(lateAfter, typeof scaledService === 'string' ? scaledService : undefined);
	let second = Math.floor(events[0]?.at ?? 0);
	for (const event of events) {
		while (event.at >= second + 1) {
			summary.closeSecond(second);
			second++;
		}

		summary.addEvent(event);
	}

	if (events.length > 0) {
		summary.closeSecond(second);
	}

	return summary.rows;
}
