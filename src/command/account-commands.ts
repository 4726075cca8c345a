/**
 * `waydrift account` and `waydrift service`: commands for the parts of the table that are easier to generate than to edit by hand.
 */
import {randomBytes} from 'node:crypto';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import {hashKey} from '../door/authentication.js';
import {checkTable, type Table} from '../table/table.js';
import {CommandFailure} from './command-failure.js';
import {exitCode} from './exit-code.js';
import {
	changeTable, invalidFile, readTable, type Operator,
} from './operator.js';
import {print, printValue, type OutputFormat} from './output.js';

/** Length of the random part of a key, in bytes. */
const keyBytes = 32;

/** @returns A random key. The table stores only its hash. */
const makeKey = () => `wd_${randomBytes(keyBytes).toString('base64url')}`;

const invalid = (line: string) => Effect.fail(new CommandFailure({exitCode: exitCode.invalid, lines: [line]}));

function checked(name: string, input: unknown): Effect.Effect<Table, CommandFailure> {
	const result = checkTable(input);
	return Result.isSuccess(result) ? Effect.succeed(result.success) : Effect.fail(invalidFile(name, result.failure));
}

function printKey(format: OutputFormat, account: string, key: string): void {
	print(format === 'json'
		? JSON.stringify({account, key})
		: `Key of ${account}, shown only this once:\n${key}`);
}

/**
 * `account create`.
 *
 * @param operator - Connection to the platform.
 * @param name - Name of the client account.
 * @param format - Output format.
 */
export function createAccount(operator: Operator, name: string, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	const key = makeKey();
	return changeTable(operator, `account create ${name}`, table => checked(name, {
		...table, accounts: [...table.accounts, {name, keyHashes: [hashKey(key)]}],
	})).pipe(Effect.map(() => {
		printKey(format, name, key);
	}));
}

/**
 * `account rotate-key`.
 *
 * @param operator - Connection to the platform.
 * @param name - Name of the client account.
 * @param keepsOldKey - Whether the newest old key stays valid beside the new one, until the next rotation.
 * @param format - Output format.
 */
export function rotateKey(operator: Operator, name: string, keepsOldKey: boolean, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	const key = makeKey();
	return changeTable(operator, `account rotate-key ${name}`, table => table.accounts.some(account => account.name === name)
		? Effect.succeed({
			...table,
			accounts: table.accounts.map(account => account.name === name
				? {...account, keyHashes: [hashKey(key), ...(keepsOldKey ? account.keyHashes.slice(0, 1) : [])]}
				: account),
		})
		: invalid(`There is no client account ${name}.`)).pipe(Effect.map(() => {
		printKey(format, name, key);
	}));
}

/**
 * `account list`.
 *
 * @param operator - Connection to the platform.
 * @param format - Output format.
 */
export function listAccounts(operator: Operator, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	return readTable(operator).pipe(Effect.map(({table}) => {
		const accounts = table.accounts.map(({name, keyHashes}) => ({
			name, keys: keyHashes.length, rows: table.rows.filter(row => row.account === name).length,
		}));
		printValue(format, accounts, () => ({
			head: ['ACCOUNT', 'KEYS', 'ROWS'],
			rows: accounts.map(({name, keys, rows}) => [name, String(keys), String(rows)]),
		}));
	}));
}

/** A service to create. */
export type ServiceOptions = {
	readonly name: string;
	readonly type: string;
	readonly pool: string;
	/** Seconds that a request may take. */
	readonly deadline: number;
	readonly latencyWeight: number;
};

/**
 * `service create`.
 *
 * @param operator - Connection to the platform.
 * @param service - The service to create.
 */
export function createService(operator: Operator, service: ServiceOptions): Effect.Effect<void, CommandFailure> {
	return changeTable(operator, `service create ${service.name}`, table => checked(service.name, {
		...table, services: [...table.services, service],
	})).pipe(Effect.map(({version}) => {
		print(`Accepted as version ${version}.`);
	}));
}

/**
 * `service list`.
 *
 * @param operator - Connection to the platform.
 * @param format - Output format.
 */
export function listServices(operator: Operator, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	return readTable(operator).pipe(Effect.map(({table: {services}}) => {
		printValue(format, services, () => ({
			head: ['SERVICE', 'TYPE', 'POOL', 'DEADLINE', 'LATENCY WEIGHT'],
			rows: services.map(({name, type, pool, deadline, latencyWeight}) => [name, type, pool, `${deadline} s`, String(latencyWeight)]),
		}));
	}));
}
