/**
 * An authenticated request, and the parsing of its headers.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {RequestKey, RequestKind} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import type {ClientAccount, Row, Service} from '../table/table.js';
import type {TableView} from '../table/table-view.js';

/** An authenticated request and its response. */
export type CallerExchange = {
	readonly incoming: IncomingMessage;
	readonly response: ServerResponse;
	readonly account: ClientAccount;
	/** Path without the query. */
	readonly path: string;
	readonly body: Uint8Array;
};

const isRequestKey = Schema.is(RequestKey);
const isRequestKind = Schema.is(RequestKind);

/**
 * Reads the `Idempotency-Key` header.
 *
 * @param incoming - The request.
 * @returns The key; `undefined` where the header is absent.
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
 * Reads the `Waydrift-Kind` header.
 *
 * @param incoming - The request.
 * @returns The request kind; `undefined` where the header is absent.
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
 * Reads the `Waydrift-Timeout` header, in seconds.
 *
 * @param incoming - The request.
 * @param service - The service that is called.
 * @returns Timeout of the request in milliseconds: the header, limited by the deadline of the service.
 */
export function readTimeout(incoming: IncomingMessage, service: Service): Effect.Effect<number, Refusal> {
	const maxTimeout = service.deadline * 1000;
	const header = incoming.headers['waydrift-timeout'];
	if (header === undefined) {
		return Effect.succeed(maxTimeout);
	}

	const seconds = Number(header);
	return Number.isFinite(seconds) && seconds > 0
		? Effect.succeed(Math.min(maxTimeout, seconds * 1000))
		: Effect.fail(Refusal.create('malformed', 'Waydrift-Timeout: expected seconds, a number above 0.'));
}

/** The service that a request calls, and the table row with its limits. */
export type ServiceRow = {
	readonly service: Service;
	readonly row: Row;
};

/**
 * Finds the service that a request calls, and its table row.
 *
 * @param table - The table in force.
 * @param account - The client account of the request.
 * @param requested - The requested service, its type, and the request kind.
 * @returns The service and the row; fails where the table has no such service or no row for the account.
 */
export function findServiceRow(
	table: TableView,
	account: ClientAccount,
	requested: {readonly service: string; readonly type: Service['type']; readonly kind: RequestKind | undefined},
): Effect.Effect<ServiceRow, Refusal> {
	const service = table.service(requested.service);
	if (service?.type !== requested.type) {
		return Effect.fail(Refusal.create('no-such-service', `There is no ${requested.type} service "${requested.service.slice(0, 64)}".`));
	}

	const row = table.row(account.name, service.name, requested.kind);
	return row
		? Effect.succeed({service, row})
		: Effect.fail(Refusal.create('not-allowed', `The table has no row for this client account, service and kind "${requested.kind ?? 'any'}".`));
}
