/**
 * The HTTP handler of chat completions.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import * as Effect from 'effect/Effect';
import type {RequestKey} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import {ChatRun, type ChatPlan} from '../dispatch/chat-run.js';
import type {DispatchServices} from '../dispatch/dispatch-services.js';
import type {RecordSnapshot} from '../peers/peer-messages.js';
import {completionOf} from '../records/completion.js';
import {RequestRecord, type RecordListener, type RecordName} from '../records/request-record.js';
import type {TableView} from '../table/table-view.js';
import {
	findServiceRow, readRequestKey, readRequestKind, readTimeout, type CallerExchange, type ServiceRow,
} from './caller-exchange.js';
import {decodeChatRequest, type ChatRequest} from './chat-request.js';
import {EventStream} from './event-stream.js';
import {sendProblem} from './problem.js';
import type {RecordFinder} from './record-finder.js';

/** A validated chat request. */
type Call = {
	readonly exchange: CallerExchange;
	readonly request: ChatRequest;
	readonly serviceRow: ServiceRow;
	readonly key: RequestKey | undefined;
	readonly fingerprint: string;
	/** Number of events that the caller already has. */
	readonly from: number;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};

const positionPattern = /^\d{1,9}$/v;

/** Answers chat completions; resumes streams after a disconnect, also streams of other boxes. */
export class ChatHandler {
	/**
	 * @param services - The services of this box.
	 * @param table - The table in force.
	 * @param finder - Finds records at other boxes.
	 * @returns The handler.
	 */
	static create(services: DispatchServices, table: TableView, finder: RecordFinder): ChatHandler {
		return new ChatHandler(services, table, finder);
	}

	private constructor(
		private readonly services: DispatchServices,
		private readonly table: TableView,
		private readonly finder: RecordFinder,
	) {}

	/**
	 * Answers one request.
	 *
	 * @param exchange - The request.
	 * @returns Completes when the answer is sent. Interruption means that the caller disconnected.
	 */
	answer(exchange: CallerExchange): Effect.Effect<void, Refusal> {
		return Effect.gen({self: this}, function * () {
			const call = yield * this.admit(exchange);
			const record = yield * this.findOrStart(call);
			yield * this.send(record, call).pipe(Effect.onInterrupt(() => this.afterDisconnect(record, call)));
		});
	}

	private admit(exchange: CallerExchange): Effect.Effect<Call, Refusal> {
		return Effect.gen({self: this}, function * () {
			const request = yield * decodeChatRequest(exchange.body);
			const kind = request.kind ?? (yield * readRequestKind(exchange.incoming));
			const serviceRow = yield * findServiceRow(this.table, exchange.account, {service: request.service, type: 'model', kind});
			const key = yield * readRequestKey(exchange.incoming);
			if (key === undefined && !serviceRow.row.repeatable) {
				return yield * Effect.fail(Refusal.create(
					'request-key-missing',
					'Requests of this kind are not repeatable: name each with an Idempotency-Key.',
				));
			}

			const timeout = yield * readTimeout(exchange.incoming, serviceRow.service);
			const from = yield * readPosition(exchange, key);
			return {
				exchange,
				request,
				serviceRow,
				key,
				from,
				// The fingerprint detects a key that is reused for another request, so a request without a key needs none.
				fingerprint: key === undefined ? '' : createHash('sha256').update(exchange.body).digest('base64url'),
				deadlineAt: this.services.clock.monotonic() + timeout,
			};
		});
	}

	/** @returns The record of the request: an existing one with the same key, or a new one. */
	private findOrStart(call: Call): Effect.Effect<RequestRecord, Refusal> {
		return Effect.gen({self: this}, function * () {
			const {key} = call;
			if (key === undefined) {
				return this.startNew(call, {account: call.exchange.account.name, key: randomUUID() as RequestKey});
			}

			const name = {account: call.exchange.account.name, key};
			const known = this.services.records.lookUp(name) ?? (call.from > 0 ? yield * this.adoptFromPeer(name, call) : undefined);
			if (!known) {
				return call.from > 0
					? yield * Effect.fail(Refusal.create('record-lost', 'No box has this stream any more. Ask again without Last-Event-ID.'))
					: this.startNew(call, name);
			}

			if (known.origin.fingerprint !== call.fingerprint) {
				return yield * Effect.fail(Refusal.create('request-key-reused', 'This Idempotency-Key was used for a request with another content. Take a new key.'));
			}

			return this.continueKnown(known, call);
		});
	}

	private startNew(call: Call, name: RecordName): RequestRecord {
		const {request, serviceRow, fingerprint} = call;
		const record = RequestRecord.create({
			...name,
			fingerprint,
			service: serviceRow.service.name,
			kind: serviceRow.row.kind,
			body: request.body,
			requestId: randomUUID(),
			isNamed: call.key !== undefined,
		});
		this.services.records.add(record);
		this.run(record, call, 'new');
		return record;
	}

	private continueKnown(known: RequestRecord, call: Call): RequestRecord {
		if (known.state === 'paused') {
			known.restart();
			this.run(known, call, 'caller-resumed');
			return known;
		}

		// A request that was refused without having run may be retried with the same key.
		return known.state === 'refused' && known.refusal?.verdict === 'not-run'
			? this.startNew(call, {account: known.origin.account, key: known.origin.key})
			: known;
	}

	/** Takes a record over from a peer, so that the stream continues on this box. */
	private adoptFromPeer(name: RecordName, call: Call): Effect.Effect<RequestRecord | undefined> {
		return this.finder.lookUp(name, true).pipe(Effect.map(snapshot => snapshot && this.adopt(snapshot, call)));
	}

	private adopt(snapshot: RecordSnapshot, call: Call): RequestRecord | undefined {
		if (snapshot.events.length < call.from) {
			return undefined;
		}

		const record = RequestRecord.create(snapshot.origin, snapshot.events);
		record.usageEvent = snapshot.usageEvent;
		this.services.records.add(record);
		this.services.log.write('recordAdopted', {position: record.position, state: snapshot.state});
		if (snapshot.state === 'finished') {
			record.finish();
			this.services.records.retire(record);
		} else {
			record.pause();
		}

		return record;
	}

	private run(record: RequestRecord, {request, serviceRow, deadlineAt}: Call, origin: ChatPlan['origin']): void {
		const run = ChatRun.create(this.services, record, {
			...serviceRow, prompt: request.prompt, maximumTokens: request.maximumTokens, deadlineAt, origin,
		});
		this.services.runs.start(record, run.run());
	}

	private send(record: RequestRecord, call: Call): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			const onEnd = () => {
				this.count(record);
				resume(Effect.void);
			};

			const {response} = call.exchange;
			const listener: RecordListener = call.request.isStreamed
				? EventStream.create(response, {
					record, from: call.from, wantsUsage: call.request.wantsUsage, onEnd,
				})
				: createWholeAnswerListener(record, call, onEnd);
			const stop = record.listen(listener);
			return Effect.sync(stop);
		});
	}

	private count({origin, refusal}: RequestRecord): void {
		const {metrics} = this.services;
		metrics.requests.inc({service: origin.service, outcome: refusal ? 'refused' : 'answered'});
		if (refusal) {
			metrics.refusals.inc({reason: refusal.reason, verdict: refusal.verdict});
		}
	}

	/** Stops a repeatable request that has no reader left; the caller may resume it. */
	private afterDisconnect(record: RequestRecord, {serviceRow}: Call): Effect.Effect<void> {
		return record.hasListeners || !serviceRow.row.repeatable || record.state !== 'running'
			? Effect.void
			: this.services.runs.stop(record);
	}
}

/** Reads the `Last-Event-ID` header: the number of events that the caller already has. Only a request with a key can be resumed. */
function readPosition({incoming}: CallerExchange, key: RequestKey | undefined): Effect.Effect<number, Refusal> {
	const header = incoming.headers['last-event-id'];
	if (header === undefined) {
		return Effect.succeed(0);
	}

	if (key === undefined) {
		return Effect.fail(Refusal.create('malformed', 'Last-Event-ID: expected the Idempotency-Key of the stream with it.'));
	}

	return typeof header === 'string' && positionPattern.test(header)
		? Effect.succeed(Number(header))
		: Effect.fail(Refusal.create('malformed', 'Last-Event-ID: expected the id of an event of the stream.'));
}

/** @returns A listener that sends the whole answer when the record ends. */
function createWholeAnswerListener(record: RequestRecord, {exchange: {response}}: Call, onEnd: () => void): RecordListener {
	const listener: RecordListener = {
		onEvents: () => true,
		onEnd() {
			if (record.refusal) {
				sendProblem(response, record.refusal);
			} else {
				const body = JSON.stringify(completionOf(record));
				response.writeHead(200, {
					'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body), 'Waydrift-Request': record.origin.key,
				}).end(body);
			}

			onEnd();
		},
	};
	if (record.state === 'finished' || record.state === 'refused') {
		listener.onEnd();
	}

	return listener;
}
