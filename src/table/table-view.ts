/**
 * The table in force on this box: it only ever moves to a higher version.
 */
import type {ClientAccountName, ServiceName} from '../base/identifiers.js';
import type {EventLog} from '../base/event-log.js';
import {groupBy} from '../base/group-by.js';
import type {ObjectVersion} from '../external/object-store.js';
import {
	rowName, type ClientAccount, type Row, type Service,
} from './table.js';
import type {VersionedTable} from './versioned-table.js';

/** Look-ups that the path of a request needs, made once a version. */
type TableIndex = {
	readonly accountsByKeyHash: ReadonlyMap<string, ClientAccount>;
	readonly services: ReadonlyMap<string, Service>;
	readonly rows: ReadonlyMap<string, readonly Row[]>;
	/** Ceilings by name of the row. */
	readonly ceilings: ReadonlyMap<string, number>;
	readonly rowNames: readonly string[];
};

const rowGroup = (account: string, service: string) => `${account}/${service}`;

function indexTable({table}: VersionedTable): TableIndex {
	return {
		accountsByKeyHash: new Map(table.accounts.flatMap(account => account.keyHashes.map(hash => [hash, account]))),
		services: new Map(table.services.map(service => [service.name, service])),
		ceilings: new Map(table.rows.map(row => [rowName(row), row.ceiling])),
		rowNames: table.rows.map(row => rowName(row)),
		rows: groupBy(table.rows, row => rowGroup(row.account, row.service)),
	};
}

/** Holds the table in force. */
export class TableView {
	/**
	 * @param log - Where changes are told.
	 * @returns A view without a table.
	 */
	static create(log: EventLog): TableView {
		return new TableView(log);
	}

	private current: VersionedTable | undefined;
	private index: TableIndex | undefined;
	private readonly listeners = new Set<(table: VersionedTable) => void>();

	private constructor(private readonly log: EventLog) {}

	/** Version in force; zero where none is. */
	get version(): ObjectVersion {
		return this.current?.version ?? 0;
	}

	/** What is in force; `undefined` on a box that has read none yet. */
	get inForce(): VersionedTable | undefined {
		return this.current;
	}

	/** Names of all rows. */
	get rowNames(): readonly string[] {
		return this.index?.rowNames ?? [];
	}

	/**
	 * Puts a table in force, unless one as high already is.
	 *
	 * @param candidate - A table that was accepted.
	 * @returns Whether it is in force now because of this call.
	 */
	apply(candidate: VersionedTable): boolean {
		if (candidate.version < this.version) {
			this.log.write('tableStale', {version: candidate.version, inForce: this.version});
			return false;
		}

		if (candidate.version === this.version) {
			return false;
		}

		this.current = candidate;
		this.index = indexTable(candidate);
		this.log.write('tableApplied', {version: candidate.version, edit: candidate.edit.id});
		for (const listener of this.listeners) {
			listener(candidate);
		}

		return true;
	}

	/**
	 * @param listener - Told of each table that comes into force.
	 * @returns Ends the subscription.
	 */
	onDidApply(listener: (table: VersionedTable) => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/**
	 * @param keyHash - `sha256:` and the hash of an API key.
	 * @returns The client account the key belongs to.
	 */
	accountOf(keyHash: string): ClientAccount | undefined {
		return this.index?.accountsByKeyHash.get(keyHash);
	}

	/**
	 * @param name - Name of a service.
	 * @returns The service.
	 */
	service(name: string): Service | undefined {
		return this.index?.services.get(name);
	}

	/**
	 * @param account - Who calls.
	 * @param service - What is called.
	 * @param kind - The request kind, or `undefined` for the first row of the account and service.
	 * @returns The row that governs the request.
	 */
	row(account: ClientAccountName, service: ServiceName, kind: string | undefined): Row | undefined {
		const rows = this.index?.rows.get(rowGroup(account, service)) ?? [];
		return kind === undefined ? rows[0] : rows.find(row => row.kind === kind);
	}

	/**
	 * @param name - Name of a row.
	 * @returns Its ceiling, units a second; `undefined` where there is no such row.
	 */
	ceiling(name: string): number | undefined {
		return this.index?.ceilings.get(name);
	}
}
