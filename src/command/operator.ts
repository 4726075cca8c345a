/**
 * The connection of operator commands to the platform. Commands never connect to a box.
 */
import process from 'node:process';
import {userInfo} from 'node:os';
import * as Effect from 'effect/Effect';
import {describeFault, type Fault} from '../base/faults.js';
import {HttpClient} from '../base/http-client.js';
import type {BoxList, BoxListing} from '../external/box-list.js';
import {HttpBoxList} from '../external/http-box-list.js';
import {HttpObjectStore} from '../external/http-object-store.js';
import type {ObjectStore, StoreFailure} from '../external/object-store.js';
import {findConflicts, describeChange, differenceOf} from '../table/table-difference.js';
import {
	TableEditor, type EditUnsettled, type TableConflict, type TableUnreadable,
} from '../table/table-editor.js';
import type {Table} from '../table/table.js';
import type {VersionedTable} from '../table/versioned-table.js';
import {CommandFailure} from './command-failure.js';
import {exitCode} from './exit-code.js';

/** Environment variable with the address of the platform, used without the option `--platform`. */
const platformVariable = 'WAYDRIFT_PLATFORM';
/** TCP port of the platform if its address has none. */
const defaultPort = 80;
/** Maximum number of retries of a change after conflicts with other changes. */
const maxConflictRetries = 5;

/** A connection to the platform on behalf of an operator. */
export type Operator = {
	readonly store: ObjectStore;
	readonly list: BoxList;
	readonly editor: TableEditor;
	/** User name of the operator, stored with each change. */
	readonly author: string;
	readonly close: () => void;
};

/**
 * @param address - `host:port`, or `undefined` to read it from the environment.
 * @returns The connection; fails if neither gives an address.
 */
export function connectOperator(address: string | undefined): Effect.Effect<Operator, CommandFailure> {
	const platformAddress = address ?? process.env[platformVariable];
	if (platformAddress === undefined || platformAddress === '') {
		return Effect.fail(new CommandFailure({
			exitCode: exitCode.invalid, lines: [`Name the platform: --platform HOST:PORT, or the variable ${platformVariable}.`],
		}));
	}

	const {hostname, port} = new URL(`http://${platformAddress}`);
	const client = HttpClient.create(hostname, port === '' ? defaultPort : Number(port));
	const store = HttpObjectStore.create(client);
	return Effect.succeed({
		store,
		list: HttpBoxList.create(client),
		editor: TableEditor.create(store),
		author: userInfo().username,
		close() {
			client.close();
		},
	});
}

/**
 * @param operator - Connection to the platform.
 * @returns The box list; fails if an entry is invalid, since its box would be missing without notice.
 */
export function readBoxes({list}: Operator): Effect.Effect<BoxListing, CommandFailure> {
	return list.boxes(0, 0).pipe(
		Effect.mapError(failure => unavailable(failure)),
		Effect.flatMap(listing => {
			const {unreadable = []} = listing ?? {};
			return unreadable.length === 0
				? Effect.succeed(listing ?? {version: 0, boxes: []})
				: Effect.fail(new CommandFailure({exitCode: exitCode.failed, lines: ['The box list has invalid entries:', ...unreadable]}));
		}),
	);
}

/** @returns The failure of a command if the platform does not answer. */
export function unavailable(failure: StoreFailure): CommandFailure {
	return new CommandFailure({exitCode: exitCode.unavailable, lines: [`The platform does not answer (${failure.detail}). Nothing was changed by this command.`]});
}

/** @returns The failure of a command if a file has faults. */
export function invalidFile(file: string, faults: readonly Fault[]): CommandFailure {
	return new CommandFailure({
		exitCode: exitCode.invalid,
		lines: [...faults.map(fault => describeFault(file, fault)), `${faults.length} fault(s); nothing was changed.`],
	});
}

/**
 * @param operator - Connection to the platform.
 * @returns The table in force.
 */
export function readTable({editor}: Operator): Effect.Effect<VersionedTable, CommandFailure> {
	return editor.read().pipe(Effect.mapError(failure => describeEditFailure(failure)));
}

/**
 * Changes the table by a function of the table in force. Retries after a conflict, with the function applied to the newer table.
 *
 * @param operator - Connection to the platform.
 * @param comment - Stored with the change.
 * @param change - Returns the new table, or fails with the reason why it cannot.
 * @returns The table in force after the change.
 */
export function changeTable(
	operator: Operator,
	comment: string,
	change: (table: Table) => Effect.Effect<Table, CommandFailure>,
): Effect.Effect<VersionedTable, CommandFailure> {
	const {editor, author} = operator;
	const changeOnce = Effect.gen(function * () {
		const current = yield * readTable(operator);
		const table = yield * change(current.table);
		return yield * editor.apply({
			base: current.version, table, author, comment,
		});
	});
	const changeWithRetries = (retriesLeft: number): Effect.Effect<VersionedTable, CommandFailure> => changeOnce.pipe(Effect.catch(error => {
		if (error._tag === 'CommandFailure') {
			return Effect.fail(error);
		}

		return error._tag === 'TableConflict' && retriesLeft > 0 ? changeWithRetries(retriesLeft - 1) : Effect.fail(describeEditFailure(error));
	}));
	return changeWithRetries(maxConflictRetries);
}

/**
 * @param failure - The reason why a change was not made.
 * @param mine - The rejected table, to show which changes collide.
 * @returns The failure of the command, with a message for the operator.
 */
export function describeEditFailure(
	failure: StoreFailure | TableUnreadable | TableConflict | EditUnsettled,
	mine?: Table,
): CommandFailure {
	switch (failure._tag) {
		case 'StoreFailure': {
			return unavailable(failure);
		}

		case 'TableUnreadable': {
			return new CommandFailure({exitCode: exitCode.failed, lines: [`The table in force does not decode: ${failure.detail}`]});
		}

		case 'EditUnsettled': {
			return new CommandFailure({
				exitCode: exitCode.unavailable,
				lines: [`The platform did not answer (${failure.detail}). The change ${failure.edit} may have taken effect: see "waydrift table history".`],
			});
		}

		case 'TableConflict': {
			return new CommandFailure({exitCode: exitCode.conflict, lines: describeConflict(failure, mine)});
		}
	}
}

/** Describes a three-way difference: changes by others, changes of this operator, and collisions of both. */
function describeConflict({base, current}: TableConflict, mine: Table | undefined): readonly string[] {
	const head = `The table is at version ${current.version} by now, by ${current.edit.author} (${current.edit.comment || 'no comment'}). Nothing was changed.`;
	if (!base || !mine) {
		return [head];
	}

	const theirs = differenceOf(base.table, current.table);
	const yours = differenceOf(base.table, mine);
	const collisions = findConflicts(yours, theirs);
	return [
		head,
		`Changed since version ${base.version}:`,
		...theirs.map(change => `  ${describeChange(change)}`),
		'Your changes:',
		...yours.map(change => `  ${describeChange(change)}`),
		collisions.length === 0
			? 'They do not touch the same parts: get the table again, and make your changes anew.'
			: `Both changed: ${collisions.join(', ')}`,
	];
}
