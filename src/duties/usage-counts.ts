/**
 * Counts started requests by client account and time window. Every box also stores the counts of the other boxes, so that
 * the counts of a lost box survive.
 */
import type {WindowUsage} from '../gossip/gossip-message.js';

/** Counts of one process of a box. */
export type StartUsage = {
	/** Identifies the process: name of the box and incarnation. */
	readonly start: string;
	readonly usage: readonly WindowUsage[];
};

/** Number of past windows that are retained. */
const windowsKept = 8;
/** Number of windows sent to the other boxes. */
const windowsSent = 3;

/** Requests by client account, by number of the window. */
type Windows = Map<number, Map<string, number>>;

/** Counts of this box and of the other boxes. */
export class UsageCounts {
	/**
	 * @param trueTime - Milliseconds since 1970, on the clock that the boxes share.
	 * @param windowLength - Length of a window in milliseconds.
	 * @returns Empty counts.
	 */
	static create(trueTime: () => number, windowLength: () => number): UsageCounts {
		return new UsageCounts(trueTime, windowLength);
	}

	private readonly own: Windows = new Map();
	private readonly others = new Map<string, Windows>();

	private constructor(private readonly trueTime: () => number, private readonly windowLength: () => number) {}

	/** Number of the current window. */
	get currentWindow(): number {
		return Math.floor(this.trueTime() / this.windowLength());
	}

	/** The counts that this box sends to the other boxes. */
	get ownUsage(): readonly WindowUsage[] {
		return usageOf(this.own).slice(-windowsSent);
	}

	/** The subset of the current and the previous window, whose counts may still change. */
	get recentOwnUsage(): readonly WindowUsage[] {
		return this.ownUsage.filter(({window}) => window >= this.currentWindow - 1);
	}

	/** Counts received from the other boxes and from earlier processes, by process. */
	get othersUsage(): readonly StartUsage[] {
		return [...this.others].map(([start, windows]) => ({start, usage: usageOf(windows)}));
	}

	/**
	 * Counts a request that starts now.
	 *
	 * @param clientAccount - Client account that sent the request.
	 */
	recordRequest(clientAccount: string): void {
		const window = this.currentWindow;
		const counts = this.own.get(window) ?? new Map<string, number>();
		this.own.set(window, counts);
		counts.set(clientAccount, (counts.get(clientAccount) ?? 0) + 1);
		trim(this.own, window);
	}

	/**
	 * Merges the counts of another process by their maximum, since counts only grow.
	 *
	 * @param start - The process: name of the box and incarnation.
	 * @param usage - Its counts.
	 */
	merge(start: string, usage: readonly WindowUsage[]): void {
		const windows = this.others.get(start) ?? new Map<number, Map<string, number>>();
		this.others.set(start, windows);
		for (const {window, counts} of usage) {
			const known = windows.get(window) ?? new Map<string, number>();
			windows.set(window, known);
			for (const [clientAccount, requests] of counts) {
				known.set(clientAccount, Math.max(requests, known.get(clientAccount) ?? 0));
			}
		}

		trim(windows, this.currentWindow);
		if (windows.size === 0) {
			this.others.delete(start);
		}
	}

	/**
	 * @param window - Number of a window.
	 * @returns Requests of each client account, summed over all known processes.
	 */
	total(window: number): WindowUsage {
		const total = new Map<string, number>();
		for (const windows of [this.own, ...this.others.values()]) {
			for (const [clientAccount, requests] of windows.get(window) ?? []) {
				total.set(clientAccount, (total.get(clientAccount) ?? 0) + requests);
			}
		}

		return {window, counts: [...total].sort(([left], [right]) => left < right ? -1 : 1)};
	}
}

function usageOf(windows: Windows): readonly WindowUsage[] {
	return [...windows].map(([window, counts]) => ({window, counts: [...counts]}));
}

function trim(windows: Windows, current: number): void {
	for (const window of windows.keys()) {
		if (window < current - windowsKept) {
			windows.delete(window);
		}
	}
}
