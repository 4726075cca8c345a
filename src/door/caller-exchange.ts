/**
 * A caller's request whose caller is known.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {RequestKey, RequestKind} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import type {ClientAccount, Row, Service} from '../table/table.js';
import type {TableView} from '../table/table-view.js';

/** A request and where its answer goes. */
export type CallerExchange = {
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly account: ClientAccount;
	/** Path and query. */
	readonly path: string;
	readonly body: Uint8Array;
};

const isRequestKey = Schema.is(RequestKey);
const isRequestKind = Schema.is(RequestKind);

/**
 * Reads the caller's name for the request.
 *
 * @param incoming - The request.
 * @returns The key; `undefined` where none was given.
 */
export function readRequestKey(incoming: IncomingMessage): Effect.Effect<RequestKey | undefined, Refusal> {
	const header = incoming.headers['idempotency-key'];
	if (header === undefined) {
		return Effect.succeed(undefined);
	}

	return isRequestKey(header)
		? Effect.succeed(header)
		: Effect.fail(Refusal.create('malformed', 'Idempotency-Key: expected 1 to 128 printable ASCII characters without spaces.'));
}

/**
 * Reads the request kind from its header.
 *
 * @param incoming - The request.
 * @returns The kind; `undefined` where none was given.
 */
export function readRequestKind(incoming: IncomingMessage): Effect.Effect<RequestKind | undefined, Refusal> {
	const header = incoming.headers['waydrift-kind'];
	if (header === undefined) {
		return Effect.succeed(undefined);
	}

	return isRequestKind(header)
		? Effect.succeed(header)
		: Effect.fail(Refusal.create('malformed', 'Waydrift-Kind: expected the name of a request kind.'));
}

/**
 * Reads how long the caller is ready to wait, and takes the lesser of that and the service's own deadline.
 *
 * @param incoming - The request.
 * @param service - What is called.
 * @returns Milliseconds.
 */
export function readTimeout(incoming: IncomingMessage, service: Service): Effect.Effect<number, Refusal> {
	const longest = service.deadline * 1000;
	const header = incoming.headers['waydrift-timeout'];
	if (header === undefined) {
		return Effect.succeed(longest);
	}

	const seconds = Number(header);
	return Number.isFinite(seconds) && seconds > 0
		? Effect.succeed(Math.min(longest, seconds * 1000))
		: Effect.fail(Refusal.create('malformed', 'Waydrift-Timeout: expected seconds, a number above 0.'));
}

/** What governs a request. */
export type Governed = {
	readonly service: Service;
	readonly row: Row;
};

/**
 * Finds what governs a request.
 *
 * @param table - The table in force.
 * @param account - Who calls.
 * @param wanted - What is called.
 * @returns The service and the row.
 */
export function govern(
	table: TableView,
	account: ClientAccount,
	wanted: {readonly service: string; readonly type: Service['type']; readonly kind: RequestKind | undefined},
): Effect.Effect<Governed, Refusal> {
	const service = table.service(wanted.service);
	if (service?.type !== wanted.type) {
		return Effect.fail(Refusal.create('no-such-service', `There is no ${wanted.type} service "${wanted.service.slice(0, 64)}".`));
	}

	const row = table.row(account.name, service.name, wanted.kind);
	return row
		? Effect.succeed({service, row})
		: Effect.fail(Refusal.create('not-allowed', `The table has no row for this client account, service and kind "${wanted.kind ?? 'any'}".`));
}
