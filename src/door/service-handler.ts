/**
 * The HTTP handler of calls to plain services.
 */
import {createHash, randomUUID} from 'node:crypto';
import * as Effect from 'effect/Effect';
import {AttemptId} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import type {DispatchServices} from '../dispatch/dispatch-services.js';
import {ServiceRun, type ServiceAnswer, type ServicePlan} from '../dispatch/service-run.js';
import {sendBody} from '../resources/send-body.js';
import type {TableView} from '../table/table-view.js';
import {
	findServiceRow, readRequestKey, readRequestKind, readTimeout, type CallerExchange,
} from './caller-exchange.js';

const pathPattern = /^\/v1\/services\/(?<service>[^\/?]{1,63})(?<rest>\/[^?#]*)?$/v;

/** Answers calls to plain services. */
export class ServiceHandler {
	/**
	 * @param services - The services of this box.
	 * @param table - The table in force.
	 * @returns The handler.
	 */
	static create(services: DispatchServices, table: TableView): ServiceHandler {
		return new ServiceHandler(services, table);
	}

	private constructor(private readonly services: DispatchServices, private readonly table: TableView) {}

	/**
	 * Answers one call.
	 *
	 * @param exchange - The call.
	 * @returns Completes when the answer is sent. Interruption means that the caller disconnected. It cancels a repeatable call; a call that is
	 * not repeatable continues, since its effects cannot be undone.
	 */
	answer(exchange: CallerExchange): Effect.Effect<void, Refusal> {
		return Effect.gen({self: this}, function * () {
			const plan = yield * this.admit(exchange);
			const run = this.services.runs.track(ServiceRun.create(this.services, plan).run());
			const answer = plan.row.repeatable ? yield * run : yield * runDetached(run);
			this.services.metrics.requests.inc({service: plan.service.name, outcome: 'answered'});
			this.send(exchange, answer);
		});
	}

	/** Counts the answer until the caller has read it. */
	private send({response}: CallerExchange, {status, contentType, body, isReplayed}: ServiceAnswer): void {
		if (response.closed) {
			return;
		}

		const disconnect = () => {
			response.destroy();
		};

		const memory = this.services.answers.begin(disconnect);
		memory.beginSending(disconnect);
		memory.add(body.length);
		response.once('close', () => {
			memory.end();
		});
		response.writeHead(status, {
			'Content-Type': contentType,
			'Content-Length': body.length,
			...(isReplayed ? {'Idempotent-Replayed': 'true'} : {}),
		});
		sendBody(response, body, () => {
			memory.recordProgress();
		});
	}

	private admit(exchange: CallerExchange): Effect.Effect<ServicePlan, Refusal> {
		return Effect.gen({self: this}, function * () {
			const {incoming, account, body} = exchange;
			const path = pathPattern.exec(exchange.path)?.groups;
			if (!path) {
				return yield * Effect.fail(Refusal.create('no-such-path', 'Call a plain service as /v1/services/{service}/{path}.'));
			}

			const kind = yield * readRequestKind(incoming);
			const {service, row} = yield * findServiceRow(this.table, account, {service: path.service!, type: 'plain', kind});
			const key = yield * readRequestKey(incoming);
			if (key === undefined && !row.repeatable) {
				return yield * Effect.fail(Refusal.create(
					'request-key-missing',
					'Calls of this kind are not repeatable: name each with an Idempotency-Key.',
				));
			}

			const timeout = yield * readTimeout(incoming, service);
			return {
				account: account.name,
				key,
				attempt: AttemptId(randomUUID()),
				fingerprint: createHash('sha256').update(exchange.path).update('\n').update(body).digest('base64url'),
				row,
				service,
				path: path.rest ?? '/',
				contentType: incoming.headers['content-type'] ?? 'application/octet-stream',
				body,
				deadlineAt: this.services.clock.monotonic() + timeout,
			};
		});
	}
}

/** @returns The same run, which continues when the waiting fiber is interrupted. */
function runDetached<Answer, Failure>(run: Effect.Effect<Answer, Failure>): Effect.Effect<Answer, Failure> {
	return Effect.callback<Answer, Failure>(resume => {
		Effect.runFork(run).addObserver(exit => {
			resume(exit);
		});
	});
}
