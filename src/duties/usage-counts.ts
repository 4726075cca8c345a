/**
 * Requests that began, by client account and window of true time; every box keeps what the others counted too, so that
 * the counts of one that is lost survive.
 */
import type {WindowUsage} from '../gossip/gossip-message.js';

/** What one start of one box counted. */
export type StartUsage = {
	readonly start: string;
	readonly usage: readonly WindowUsage[];
};

/** Windows kept. */
const windowsKept = 8;
/** Windows told to the others. */
const windowsTold = 3;

type Windows = Map<number, Map<string, number>>;

/** The counts. */
export class UsageCounts {
	/**
	 * @param trueTime - Milliseconds since 1970.
	 * @param windowLength - Milliseconds of a window.
	 * @returns Counts of nothing.
	 */
	static create(trueTime: () => number, windowLength: () => number): UsageCounts {
		return new UsageCounts(trueTime, windowLength);
	}

	private readonly own: Windows = new Map();
	private readonly others = new Map<string, Windows>();

	private constructor(private readonly trueTime: () => number, private readonly windowLength: () => number) {}

	/** Number of the window that is running. */
	get currentWindow(): number {
		return Math.floor(this.trueTime() / this.windowLength());
	}

	/** What this box tells the others. */
	get told(): readonly WindowUsage[] {
		return usageOf(this.own).slice(-windowsTold);
	}

	/** The same of the window that runs and the one before alone, whose counts still change. */
	get recent(): readonly WindowUsage[] {
		return this.told.filter(({window}) => window >= this.currentWindow - 1);
	}

	/** What every start of every box counted, but for this one's own counts. */
	get heard(): readonly StartUsage[] {
		return [...this.others].map(([start, windows]) => ({start, usage: usageOf(windows)}));
	}

	/**
	 * Counts a request that begins now.
	 *
	 * @param clientAccount - Whose it is.
	 */
	note(clientAccount: string): void {
		const window = this.currentWindow;
		const counts = this.own.get(window) ?? new Map<string, number>();
		this.own.set(window, counts);
		counts.set(clientAccount, (counts.get(clientAccount) ?? 0) + 1);
		trim(this.own, window);
	}

	/**
	 * Takes what another box counted; its counts only grow.
	 *
	 * @param start - One start of one box.
	 * @param usage - What it counted.
	 */
	take(start: string, usage: readonly WindowUsage[]): void {
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
	 * @returns Requests of each client account, over all boxes that were ever heard.
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
