/**
 * The HTTP handler for the state and answer of an earlier request, looked up by its key on all boxes.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import {RequestKey} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import type {ClaimEntry} from '../claims/claim.js';
import type {DispatchServices} from '../dispatch/dispatch-services.js';
import type {RecordSnapshot} from '../peers/peer-messages.js';
import {completionOf} from '../records/completion.js';
import {RequestRecord, type RecordName} from '../records/request-record.js';
import type {CallerExchange} from './caller-exchange.js';
import {problemOf} from './problem.js';
import type {RecordFinder} from './record-finder.js';

/** The response body. */
type Status = {
	readonly key: string;
	readonly state: string;
	/** Tokens received so far; only for a chat request. */
	readonly position?: number;
	readonly answer?: unknown;
	readonly refusal?: unknown;
};

const prefix = '/v1/requests/';
const isRequestKey = Schema.is(RequestKey);

/** Answers queries for the state of a request. */
export class RequestStatusHandler {
	/**
	 * @param services - Provide the records and claims.
	 * @param finder - Finds records at other boxes.
	 * @returns The handler.
	 */
	static create(services: DispatchServices, finder: RecordFinder): RequestStatusHandler {
		return new RequestStatusHandler(services, finder);
	}

	private constructor(private readonly services: DispatchServices, private readonly finder: RecordFinder) {}

	/**
	 * Answers one query. Finds only requests of the same client account.
	 *
	 * @param exchange - The query.
	 * @returns Completes when the answer is sent.
	 */
	answer(exchange: CallerExchange): Effect.Effect<void, Refusal> {
		return Effect.gen({self: this}, function * () {
			const key = decodeKey(exchange.path.slice(prefix.length));
			const name = isRequestKey(key) ? {account: exchange.account.name, key} : undefined;
			const status = name && ((yield * this.statusOfRecord(name)) ?? (yield * this.statusOfClaim(name)));
			if (!status) {
				return yield * Effect.fail(Refusal.create('no-such-request', 'No request with this key is known, or not any more.'));
			}

			const body = JSON.stringify(status);
			exchange.response.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body)}).end(body);
		});
	}

	private statusOfRecord(name: RecordName): Effect.Effect<Status | undefined> {
		const localRecord = this.services.records.lookUp(name);
		return localRecord
			? Effect.succeed(statusOf(localRecord))
			: this.finder.lookUp(name, false).pipe(Effect.map(snapshot => snapshot && statusOf(recordOf(snapshot))));
	}

	private statusOfClaim(name: RecordName): Effect.Effect<Status | undefined, Refusal> {
		return this.services.ledger.lookUp(name).pipe(
			Effect.map(entry => entry && statusOfEntry(name, entry)),
			Effect.mapError(({detail}) => Refusal.create('claim-unavailable', `What is recorded of the request cannot be read now: ${detail}.`)),
		);
	}
}

function decodeKey(encoded: string): string {
	try {
		return decodeURIComponent(encoded);
	} catch {
		return '';
	}
}

function recordOf(snapshot: RecordSnapshot): RequestRecord {
	const record = RequestRecord.create(snapshot.origin, snapshot.events);
	record.usageEvent = snapshot.usageEvent;
	if (snapshot.state === 'finished') {
		record.finish();
	}

	return record;
}

function statusOf(record: RequestRecord): Status {
	return {
		key: record.origin.key,
		state: record.state,
		position: record.position,
		...(record.state === 'finished' ? {answer: completionOf(record)} : {}),
		...(record.refusal ? {refusal: problemOf(record.refusal)} : {}),
	};
}

function statusOfEntry({key}: RecordName, {state, answer}: ClaimEntry): Status {
	const stateNames = {claimed: 'may-have-run', released: 'not-run', ran: 'ran'} as const;
	return {
		key,
		state: stateNames[state],
		...(answer ? {answer: {...answer, body: Buffer.from(answer.body, 'base64').toString()}} : {}),
	};
}
