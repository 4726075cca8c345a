/**
 * The table that operators edit: services, client accounts, and a row of weights and limits for each
 * client account, service and request kind.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {decodeWithFaults, type Fault} from '../base/faults.js';
import {
	ClientAccountName, PoolName, RequestKind, ServiceName,
} from '../base/identifiers.js';
import {decodeYaml} from '../base/yaml-file.js';

const highestPriority = 1;
const lowestPriority = 9;
/** Maximum weight of a row. */
const maxShare = 1000;

/** A service that operators define. Clients name it in the field `model` or in the path. */
export const Service = Schema.Struct({
	name: ServiceName,
	type: Schema.Literals(['model', 'plain']).annotate({description: 'Whether upstreams are model engines or a plain service.'}),
	pool: PoolName.annotate({description: 'Name of the pool of upstreams in the box list.'}),
	deadline: Schema.Int.check(Schema.isBetween({minimum: 1, maximum: 86_400}, {expected: 'whole seconds, 1 to 86400'}))
		.annotate({description: 'Maximum duration of a request in seconds, unless its client sets a shorter one.'}),
	latencyWeight: Schema.Finite.check(Schema.isBetween({minimum: 0, maximum: 100}, {expected: 'a number from 0 to 100'}))
		.annotate({description: 'Weight of latency relative to price and recomputed tokens in the choice of an upstream.'}),
});
export type Service = typeof Service.Type;

/** A client account. Only the hashes of its API keys are stored. */
export const ClientAccount = Schema.Struct({
	name: ClientAccountName,
	keyHashes: Schema.Array(Schema.String.check(Schema.isPattern(/^sha256:[\da-f]{64}$/v, {expected: '"sha256:" and 64 hexadecimal digits'})))
		.annotate({description: 'SHA-256 hash of each valid API key.'}),
});
export type ClientAccount = typeof ClientAccount.Type;

/** Weights and limits for one client account, service and request kind. */
export const Row = Schema.Struct({
	account: ClientAccountName,
	kind: RequestKind,
	service: ServiceName,
	share: Schema.Finite.check(Schema.isBetween({minimum: 0.001, maximum: maxShare}, {expected: 'a weight above 0, at most 1000'}))
		.annotate({description: 'Weight among rows of the same priority when capacity is insufficient.'}),
	ceiling: Schema.Finite.check(Schema.isBetween({minimum: 0, maximum: 1e9}, {expected: 'a rate from 0 on'}))
		.annotate({description: 'Maximum rate over all boxes: tokens a second for a model, requests a second for a plain service.'}),
	priority: Schema.Int.check(Schema.isBetween({minimum: highestPriority, maximum: lowestPriority}, {expected: 'a priority from 1 (first) to 9 (last)'}))
		.annotate({description: 'Rows with lower numbers are served first; those with the highest number are refused first.'}),
	repeatable: Schema.Boolean.annotate({description: 'Whether a request may safely run twice.'}),
});
export type Row = typeof Row.Type;

/** The whole table. */
export const Table = Schema.Struct({
	services: Schema.Array(Service),
	accounts: Schema.Array(ClientAccount),
	rows: Schema.Array(Row),
});
export type Table = typeof Table.Type;

/** The initial table of a new installation. */
export const emptyTable: Table = {services: [], accounts: [], rows: []};

/** @returns The name of a row, unique within a table. */
export const rowName = (row: Pick<Row, 'account' | 'kind' | 'service'>): string => `${row.account}/${row.service}/${row.kind}`;

/** Finds faults that concern several parts: duplicate names and references to missing parts. */
function findCrossReferenceFaults(table: Table): readonly Fault[] {
	const services = new Set(table.services.map(service => service.name));
	const accounts = new Set(table.accounts.map(account => account.name));
	const repeated = (part: string, names: readonly string[]): readonly Fault[] => names.flatMap((name, index) => names.indexOf(name) === index
		? []
		: [{path: `${part}.${index}`, value: name, expected: `a name that occurs only once (first at ${part}.${names.indexOf(name)})`}]);
	const unknown = (field: 'service' | 'account', known: ReadonlySet<string>): readonly Fault[] => table.rows.flatMap((row, index) => known.has(row[field])
		? []
		: [{path: `rows.${index}.${field}`, value: row[field], expected: `one of the ${field}s of this table`}]);
	return [
		...repeated('services', table.services.map(service => service.name)),
		...repeated('accounts', table.accounts.map(account => account.name)),
		...repeated('rows', table.rows.map(row => rowName(row))),
		...unknown('service', services),
		...unknown('account', accounts),
	];
}

const checkCrossReferences = (table: Table): Result.Result<Table, readonly Fault[]> => {
	const faults = findCrossReferenceFaults(table);
	return faults.length === 0 ? Result.succeed(table) : Result.fail(faults);
};

/**
 * Decodes a table from YAML text.
 *
 * @param text - Content of the file.
 * @returns The table, or all faults at once.
 */
export function decodeTable(text: string): Result.Result<Table, readonly Fault[]> {
	return Result.flatMap(decodeYaml(Table, text), checkCrossReferences);
}

/**
 * Validates a table that was not read from YAML.
 *
 * @param input - The possible table.
 * @returns The table, or all faults at once.
 */
export function checkTable(input: unknown): Result.Result<Table, readonly Fault[]> {
	return Result.flatMap(decodeWithFaults(Table, input), checkCrossReferences);
}
