/**
 * The table in force on this box. It is only replaced by a table of a higher version.
 */
import type {ClientAccountName, ServiceName} from '../base/identifiers.js';
import type {EventLog} from '../base/event-log.js';
import {groupBy} from '../base/group-by.js';
import type {ObjectVersion} from '../external/object-store.js';
import {
	rowName, type ClientAccount, type Row, type Service,
} from './table.js';
import type {VersionedTable} from './versioned-table.js';

/** Indexes for the handling of requests, built once for each version. */
type TableIndex = {
	readonly accountsByKeyHash: ReadonlyMap<string, ClientAccount>;
	readonly services: ReadonlyMap<string, Service>;
	readonly rows: ReadonlyMap<string, readonly Row[]>;
	/** Maximum rates by name of the row. */
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
	 * @param log - Log for changes.
	 * @returns A view without a table.
	 */
	static create(log: EventLog): TableView {
		return new TableView(log);
	}

	private current: VersionedTable | undefined;
	private index: TableIndex | undefined;
	private readonly listeners = new Set<(table: VersionedTable) => void>();

	private constructor(private readonly log: EventLog) {}

	/** Version in force; zero if there is no table yet. */
	get version(): ObjectVersion {
		return this.current?.version ?? 0;
	}

	/** The table in force; `undefined` if the box has read none yet. */
	get inForce(): VersionedTable | undefined {
		return this.current;
	}

	/** Names of all rows. */
	get rowNames(): readonly string[] {
		return this.index?.rowNames ?? [];
	}

	/**
	 * Puts a table in force, unless the current one has the same or a higher version.
	 *
	 * @param candidate - A valid table.
	 * @returns Whether this call put the table in force.
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
	 * @param listener - Called with each table that comes into force.
	 * @returns A function that ends the subscription.
	 */
	onDidApply(listener: (table: VersionedTable) => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/**
	 * @param keyHash - `sha256:` and the hash of an API key.
	 * @returns The client account that the key belongs to.
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
	 * @param account - Client account of the request.
	 * @param service - Service of the request.
	 * @param kind - The request kind, or `undefined` for the first row of the account and service.
	 * @returns The row that applies to the request.
	 */
	row(account: ClientAccountName, service: ServiceName, kind: string | undefined): Row | undefined {
		const rows = this.index?.rows.get(rowGroup(account, service)) ?? [];
		return kind === undefined ? rows[0] : rows.find(row => row.kind === kind);
	}

	/**
	 * @param name - Name of a row.
	 * @returns Its maximum rate in units a second; `undefined` if there is no such row.
	 */
	ceiling(name: string): number | undefined {
		return this.index?.ceilings.get(name);
	}
}
