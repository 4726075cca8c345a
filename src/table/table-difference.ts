/**
 * Compares two tables part by part.
 */
import {rowName, type Table} from './table.js';

/** A service, client account or row of a table. */
type Part = Readonly<Record<string, unknown>>;

/** One difference between two tables. */
export type TableChange = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** Kind and name of the part, for example `row acme/bulletin/write`. */
	readonly part: string;
	/** Changed fields with both values; empty for an added or removed part. */
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
 * @param before - First table.
 * @param after - Second table.
 * @returns The changes that turn the first table into the second.
 */
export function differenceOf(before: Table, after: Table): readonly TableChange[] {
	const previous = partsOf(before);
	const current = partsOf(after);
	const removed = [...previous.keys()].filter(part => !current.has(part)).map(part => ({kind: 'removed', part, fields: []} as const));
	const addedOrChanged = [...current].flatMap(([part, value]): readonly TableChange[] => {
		const known = previous.get(part);
		if (!known) {
			return [{kind: 'added', part, fields: []}];
		}

		const fields = changedFields(known, value);
		return fields.length === 0 ? [] : [{kind: 'changed', part, fields}];
	});
	return [...removed, ...addedOrChanged];
}

const signs = {added: '+', removed: '-', changed: '~'} as const;

/**
 * @param change - A change.
 * @returns The change as one readable line.
 */
export function describeChange({kind, part, fields}: TableChange): string {
	const details = fields.map(({field, before, after}) => `${field}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`);
	return `${signs[kind]} ${part}${details.length === 0 ? '' : `  ${details.join(', ')}`}`;
}

/**
 * @param mine - Changes of one editor.
 * @param theirs - Changes of another editor to the same table.
 * @returns Names of the parts that both changed differently.
 */
export function findConflicts(mine: readonly TableChange[], theirs: readonly TableChange[]): readonly string[] {
	return mine
		.filter(change => theirs.some(other => other.part === change.part && !isSame(other, change)))
		.map(({part}) => part);
}
