/**
 * Metrics that `/metrics` exposes.
 */
import {
	Counter, Gauge, Histogram, Registry, collectDefaultMetrics,
} from 'prom-client';

/** Upper bounds of the histogram buckets, in seconds. */
const firstTokenBuckets = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 10];
/** Upper bounds of the histogram buckets, in seconds. */
const claimBuckets = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2];

/** The metrics of one box. */
export class Metrics {
	/** @returns Metrics in a new registry. */
	static create(): Metrics {
		return new Metrics();
	}

	/** Registry that `/metrics` prints. */
	readonly registry = new Registry();

	readonly requests = new Counter({
		name: 'waydrift_requests_total', help: 'Requests by service and outcome.', labelNames: ['service', 'outcome'], registers: [this.registry],
	});

	readonly refusals = new Counter({
		name: 'waydrift_refusals_total', help: 'Refusals by reason and verdict.', labelNames: ['reason', 'verdict'], registers: [this.registry],
	});

	readonly retries = new Counter({
		name: 'waydrift_retries_total', help: 'Retries by reason.', labelNames: ['reason'], registers: [this.registry],
	});

	readonly retriesDenied = new Counter({
		name: 'waydrift_retries_denied_total', help: 'Retries that were not made, by what forbade them.', labelNames: ['because'], registers: [this.registry],
	});

	readonly moves = new Counter({
		name: 'waydrift_streams_moved_total', help: 'Streams that went on at another upstream, by cause.', labelNames: ['cause'], registers: [this.registry],
	});

	readonly recomputedTokens = new Counter({
		name: 'waydrift_recomputed_tokens_total', help: 'Tokens computed again after a stream moved, by cause.', labelNames: ['cause'], registers: [this.registry],
	});

	readonly promptTokens = new Counter({
		name: 'waydrift_prompt_tokens_total', help: 'Prompt tokens by whether the engine had them cached.', labelNames: ['cached'], registers: [this.registry],
	});

	readonly tokens = new Counter({
		name: 'waydrift_tokens_total', help: 'Tokens sent to callers.', registers: [this.registry],
	});

	readonly firstToken = new Histogram({
		name: 'waydrift_first_token_seconds', help: 'Seconds to the first token.', buckets: firstTokenBuckets, registers: [this.registry],
	});

	readonly claimSeconds = new Histogram({
		name: 'waydrift_claim_seconds', help: 'Seconds to record a claim.', buckets: claimBuckets, registers: [this.registry],
	});

	readonly claimWrites = new Counter({
		name: 'waydrift_claim_writes_total', help: 'Writes of claim shards by outcome.', labelNames: ['outcome'], registers: [this.registry],
	});

	readonly claims = new Counter({
		name: 'waydrift_claims_total', help: 'Claims by outcome.', labelNames: ['outcome'], registers: [this.registry],
	});

	readonly claimFailures = new Counter({
		name: 'waydrift_claim_failures_total', help: 'Claims that could not be recorded, by reason.', labelNames: ['reason'], registers: [this.registry],
	});

	readonly leavingDispatches = new Counter({
		name: 'waydrift_dispatches_to_leaving_total', help: 'Requests sent to an upstream that turned out to be leaving.', registers: [this.registry],
	});

	readonly inProgress = new Gauge({
		name: 'waydrift_requests_in_progress', help: 'Requests in progress.', registers: [this.registry],
	});

	readonly waiting = new Gauge({
		name: 'waydrift_requests_waiting', help: 'Requests that wait for capacity.', labelNames: ['pool'], registers: [this.registry],
	});

	readonly tableVersion = new Gauge({
		name: 'waydrift_table_version', help: 'Version of the table in force.', registers: [this.registry],
	});

	readonly peersReachable = new Gauge({
		name: 'waydrift_peers_reachable', help: 'Peers whose link is up.', registers: [this.registry],
	});

	private constructor() {
		collectDefaultMetrics({register: this.registry});
	}
}
