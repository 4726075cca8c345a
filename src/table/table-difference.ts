/**
 * What changed between two tables, by the names of their parts.
 */
import {rowName, type Table} from './table.js';

/** A part of a table. */
type Part = Readonly<Record<string, unknown>>;

/** One change. */
export type TableChange = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** For example `row acme/bulletin/write`. */
	readonly part: string;
	/** Fields that changed, with both values; empty for parts that were added or removed. */
	readonly fields: ReadonlyArray<{readonly field: string; readonly before: unknown; readonly after: unknown}>;
};

const partsOf = (table: Table): ReadonlyMap<string, Part> => new Map<string, Part>([
	...table.services.map(service => [`service ${service.name}`, service] as const),
	...table.accounts.map(account => [`account ${account.name}`, account] as const),
	...table.rows.map(row => [`row ${rowName(row)}`, row] as const),
]);

const isSame = (left: unknown, right: unknown) => JSON.stringify(left) === JSON.stringify(right);

function changedFields(before: Part, after: Part): TableChange['fields'] {
	return Object.keys({...before, ...after})
		.filter(field => !isSame(before[field], after[field]))
		.map(field => ({field, before: before[field], after: after[field]}));
}

/**
 * @param before - A table.
 * @param after - Another.
 * @returns What has to be done to the first to get the second.
 */
export function differenceOf(before: Table, after: Table): readonly TableChange[] {
	const old = partsOf(before);
	const fresh = partsOf(after);
	const removed = [...old.keys()].filter(part => !fresh.has(part)).map(part => ({kind: 'removed', part, fields: []} as const));
	const others = [...fresh].flatMap(([part, value]): readonly TableChange[] => {
		const known = old.get(part);
		if (!known) {
			return [{kind: 'added', part, fields: []}];
		}

		const fields = changedFields(known, value);
		return fields.length === 0 ? [] : [{kind: 'changed', part, fields}];
	});
	return [...removed, ...others];
}

const signs = {added: '+', removed: '-', changed: '~'} as const;

/**
 * @param change - A change.
 * @returns It, on one line, for people.
 */
export function describeChange({kind, part, fields}: TableChange): string {
	const details = fields.map(({field, before, after}) => `${field}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`);
	return `${signs[kind]} ${part}${details.length === 0 ? '' : `  ${details.join(', ')}`}`;
}

/**
 * @param mine - Changes of one side.
 * @param theirs - Changes of the other, from the same table.
 * @returns Names of the parts that both changed, and not to the same.
 */
export function collisionsOf(mine: readonly TableChange[], theirs: readonly TableChange[]): readonly string[] {
	return mine
		.filter(change => theirs.some(other => other.part === change.part && !isSame(other, change)))
		.map(({part}) => part);
}
