/**
 * The active configuration on this box, and the time since it was known to be the newest.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {RouteTable, type RouteTableContent} from './route-table.js';

/** Source of a version. */
export type TableSource = 'store' | 'peer';

/** Called with each table that becomes active. */
export type TableListener = (table: RouteTable) => void;

/** Holds the active table; only a higher version replaces it. */
export class RouteTableView {
	/**
	 * @param clock - Measures the age of proofs.
	 * @param log - Receives a record for each change.
	 * @returns A view without a table.
	 */
	static create(clock: Clock, log: EventLog): RouteTableView {
		return new RouteTableView(clock, log);
	}

	private table: RouteTable | undefined;
	private provenAt = Number.NEGATIVE_INFINITY;
	private readonly listeners: TableListener[] = [];
	private readonly proofListeners: Array<() => void> = [];

	private constructor(private readonly clock: Clock, private readonly log: EventLog) {}

	/** The active table; `undefined` before the first one. */
	get inForce(): RouteTable | undefined {
		return this.table;
	}

	/** The active version; zero before the first one. */
	get version(): number {
		return this.table?.version ?? 0;
	}

	/** Milliseconds since the last moment at which the active version is known to have been the newest; infinite where there is none. */
	get proofAge(): number {
		return this.clock.ageOf(this.provenAt);
	}

	/** @param listener - Called with each table that becomes active. */
	onDidApply(listener: TableListener): void {
		this.listeners.push(listener);
	}

	/** @param listener - Called before a later proof is recorded, while `proofAge` is still the age of the one before. */
	onWillProve(listener: () => void): void {
		this.proofListeners.push(listener);
	}

	/**
	 * Activates a version; one that is not higher than the active one is ignored.
	 *
	 * @param content - Content of the version.
	 * @param source - Source of the version.
	 */
	apply(content: RouteTableContent, source: TableSource): void {
		if (content.version <= this.version) {
			return;
		}

		const before = this.version;
		this.table = RouteTable.create(content);
		this.log.write('routesApplied', {
			version: content.version, before, source, routes: content.routes.length, clientAccounts: content.clientAccounts.length,
		});
		for (const listener of this.listeners) {
			listener(this.table);
		}
	}

	/**
	 * Records a moment at which a version was the newest. Ignored unless it is the active version.
	 *
	 * @param version - The version.
	 * @param at - The moment, in monotonic milliseconds.
	 */
	prove(version: number, at: number): void {
		if (version === 0 || version !== this.version || at <= this.provenAt) {
			return;
		}

		for (const listener of this.proofListeners) {
			listener();
		}

		this.provenAt = at;
	}
}
