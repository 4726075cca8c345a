/**
 * Authenticates requests by API key.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import * as Effect from 'effect/Effect';
import {Refusal} from '../base/verdict.js';
import type {ClientAccount} from '../table/table.js';
import type {TableView} from '../table/table-view.js';

const bearerPattern = /^Bearer (?<key>\S{1,512})$/v;

/**
 * @param key - An API key.
 * @returns Its hash, in the form stored in the table.
 */
export function hashKey(key: string): string {
	return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}

/** Hashes by key, since hashing costs more than a look-up. Cleared when full. */
const hashCache = new Map<string, string>();
/** Maximum number of cached hashes. */
const maxCachedHashes = 4096;

function cachedHashOf(key: string): string {
	const cached = hashCache.get(key);
	if (cached !== undefined) {
		return cached;
	}

	if (hashCache.size >= maxCachedHashes) {
		hashCache.clear();
	}

	const hash = hashKey(key);
	hashCache.set(key, hash);
	return hash;
}

/**
 * Finds the client account of a request by its API key. The look-up by hash need not take constant time: keys are long and random,
 * so its timing reveals nothing useful.
 *
 * @param incoming - The request.
 * @param table - The table in force.
 * @returns The client account.
 */
export function authenticate(incoming: IncomingMessage, table: TableView): Effect.Effect<ClientAccount, Refusal> {
	if (!table.inForce) {
		return Effect.fail(Refusal.create('not-ready', 'This box has not read its configuration yet.'));
	}

	const key = bearerPattern.exec(incoming.headers.authorization ?? '')?.groups?.key;
	if (key === undefined) {
		return Effect.fail(Refusal.create('key-missing', 'Send your API key as "Authorization: Bearer KEY".'));
	}

	const account = table.accountOf(cachedHashOf(key));
	return account
		? Effect.succeed(account)
		: Effect.fail(Refusal.create('key-unknown', 'This API key is not valid, or no longer.'));
}
