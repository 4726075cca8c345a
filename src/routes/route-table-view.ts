/**
 * The configuration in force on this box, and how sure it is that no newer one is.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {RouteTable, type RouteTableContent} from './route-table.js';

/** Where a version came from. */
export type TableSource = 'store' | 'peer';

/** Called with each table that comes into force. */
export type TableListener = (table: RouteTable) => void;

/** The table in force; only a higher version ever replaces it. */
export class RouteTableView {
	/**
	 * @param clock - For the age of proofs.
	 * @param log - Where changes are told.
	 * @returns A view without a table.
	 */
	static create(clock: Clock, log: EventLog): RouteTableView {
		return new RouteTableView(clock, log);
	}

	private table: RouteTable | undefined;
	private provenAt = Number.NEGATIVE_INFINITY;
	private readonly listeners: TableListener[] = [];

	private constructor(private readonly clock: Clock, private readonly log: EventLog) {}

	/** The table in force; `undefined` before the first. */
	get inForce(): RouteTable | undefined {
		return this.table;
	}

	/** Version in force; zero before the first. */
	get version(): number {
		return this.table?.version ?? 0;
	}

	/** Milliseconds since the moment at which the version in force is known to have been the newest; without end where that is not known. */
	get proofAge(): number {
		return this.clock.ageOf(this.provenAt);
	}

	/** @param listener - Called with each table that comes into force. */
	onDidApply(listener: TableListener): void {
		this.listeners.push(listener);
	}

	/**
	 * Takes a version; one that is not higher changes nothing.
	 *
	 * @param content - What it holds.
	 * @param source - Where it came from.
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
	 * Notes that a version was the newest at some moment. It counts for the version in force alone.
	 *
	 * @param version - The version.
	 * @param at - Monotonic milliseconds.
	 */
	prove(version: number, at: number): void {
		if (version > 0 && version === this.version) {
			this.provenAt = Math.max(this.provenAt, at);
		}
	}
}
