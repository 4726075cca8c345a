/**
 * Metrics of a relay, served at its metrics address.
 */
import process from 'node:process';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

const secondBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 15];
/** Seconds; a report older than the last bound is not used. */
const reportAgeBuckets = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5];

/** The metrics of one relay. */
export class RelayMetrics {
	/** @returns Metrics in a new registry. */
	static create(): RelayMetrics {
		return new RelayMetrics();
	}

	/** The registry that the metrics address serves. */
	readonly registry = new Registry();

	readonly requests = new Counter({
		name: 'waydrift_relay_requests_total', help: 'Requests by route kind and outcome.', labelNames: ['kind', 'outcome'], registers: [this.registry],
	});

	readonly refusals = new Counter({
		name: 'waydrift_relay_refusals_total', help: 'Refusals by reason and verdict.', labelNames: ['reason', 'verdict'], registers: [this.registry],
	});

	readonly incompleteAnswers = new Counter({
		name: 'waydrift_relay_incomplete_answers_total',
		help: 'Connections of clients that ended before their answer was complete, by cause and by whether the request had been sent to a replica.',
		labelNames: ['cause', 'sent'],
		registers: [this.registry],
	});

	readonly attemptFailures = new Counter({
		name: 'waydrift_relay_attempt_failures_total', help: 'Tries at replicas that failed, by reason.', labelNames: ['reason'], registers: [this.registry],
	});

	readonly limitedAttempts = new Counter({
		name: 'waydrift_relay_limited_tries_total', help: 'Requests that this box sent to replicas that had named a limit, by service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly limitExclusions = new Counter({
		name: 'waydrift_relay_kept_from_limited_total', help: 'Requests kept from a replica for the limit that it had named, by service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly pauseExclusions = new Counter({
		name: 'waydrift_relay_kept_from_paused_total', help: 'Requests kept from a replica that had asked this box for a pause, by service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly replicaPause = new Gauge({
		name: 'waydrift_relay_replica_pause_seconds', help: 'Seconds for which a replica still wants no requests from this box.', labelNames: ['replica'], registers: [this.registry],
	});

	readonly replicaLimit = new Gauge({
		name: 'waydrift_relay_replica_limit', help: 'Requests a second that a replica takes of all boxes, as it named them.', labelNames: ['replica'], registers: [this.registry],
	});

	readonly replicaLimitPart = new Gauge({
		name: 'waydrift_relay_replica_limit_part', help: 'Requests a second of that which are this box\'s.', labelNames: ['replica'], registers: [this.registry],
	});

	readonly loadReportAge = new Histogram({
		name: 'waydrift_relay_load_report_age_seconds',
		help: 'Age of the load report of a replica when a request was sent to it, by service.',
		labelNames: ['service'],
		buckets: reportAgeBuckets,
		registers: [this.registry],
	});

	readonly costError = new Gauge({
		name: 'waydrift_relay_cost_error',
		help: 'Mean of |ln(observed / expected)| of the duration of recent requests, by service; only of services that are placed by cost.',
		labelNames: ['service'],
		registers: [this.registry],
	});

	readonly queued = new Gauge({
		name: 'waydrift_relay_queued',
		help: 'Requests that wait in the box, by service and urgency.',
		labelNames: ['service', 'urgency'],
		registers: [this.registry],
	});

	readonly queueRefusals = new Gauge({
		name: 'waydrift_relay_queue_refusals',
		help: 'Requests that the queue of the box has refused since its start, by service and reason.',
		labelNames: ['service', 'reason'],
		registers: [this.registry],
	});

	readonly unreadableLoadReports = new Counter({
		name: 'waydrift_relay_load_reports_unreadable_total', help: 'Responses with a load report that could not be read, by service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly forwards = new Counter({
		name: 'waydrift_relay_forwards_total', help: 'Attempts to forward a request through another box, by service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly forwardedRequests = new Counter({
		name: 'waydrift_relay_forwarded_requests_total', help: 'Requests that other boxes forwarded to this one, by outcome.', labelNames: ['outcome'], registers: [this.registry],
	});

	readonly retries = new Counter({
		name: 'waydrift_relay_retries_total', help: 'Requests sent again, by reason.', labelNames: ['reason'], registers: [this.registry],
	});

	readonly connectionsShed = new Counter({
		name: 'waydrift_relay_connections_shed_total', help: 'New connections that were closed unread because this process had more work than it could do.', registers: [this.registry],
	});

	readonly streamOrigins = new Gauge({
		name: 'waydrift_relay_stream_origins', help: 'Streams of which this box remembers the software version that began them.', registers: [this.registry],
	});

	readonly streamOriginsRecorded = new Counter({
		name: 'waydrift_relay_stream_origins_recorded_total', help: 'Streams whose software version this box wrote to the store for all boxes.', registers: [this.registry],
	});

	readonly streamsTakenUp = new Counter({
		name: 'waydrift_relay_streams_taken_up_total', help: 'Streams that clients took up, by what their software version is known by.', labelNames: ['source'], registers: [this.registry],
	});

	readonly retriesBorrowed = new Counter({
		name: 'waydrift_relay_retries_borrowed_total', help: 'Retries that other boxes lent to this one, by service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly retryShare = new Gauge({
		name: 'waydrift_relay_retry_share', help: 'Fraction of the slack of the retry budgets that belongs to this box.', registers: [this.registry],
	});

	readonly retriesDenied = new Counter({
		name: 'waydrift_relay_retries_denied_total', help: 'Requests not sent again, by what forbade it.', labelNames: ['because'], registers: [this.registry],
	});

	readonly streamsEndedInsideEvent = new Counter({
		name: 'waydrift_relay_streams_ended_inside_event_total', help: 'Runs of a stream that ended inside an event.', registers: [this.registry],
	});

	readonly eventMisfits = new Counter({
		name: 'waydrift_relay_event_misfits_total', help: 'Events of a stream that were not the next one, by reason.', labelNames: ['reason'], registers: [this.registry],
	});

	readonly firstByte = new Histogram({
		name: 'waydrift_relay_first_byte_seconds', help: 'Seconds to the first byte of an answer.', labelNames: ['kind'], buckets: secondBuckets, registers: [this.registry],
	});

	readonly duration = new Histogram({
		name: 'waydrift_relay_duration_seconds', help: 'Seconds to the end of an answer.', labelNames: ['kind'], buckets: secondBuckets, registers: [this.registry],
	});

	readonly inProgress = new Gauge({
		name: 'waydrift_relay_requests_in_progress', help: 'Requests in progress.', registers: [this.registry],
	});

	readonly configurationVersion = new Gauge({
		name: 'waydrift_relay_configuration_version', help: 'Version of the configuration in force.', registers: [this.registry],
	});

	readonly proofAge = new Gauge({
		name: 'waydrift_relay_proof_age_seconds', help: 'Age of the proof that no newer configuration exists.', registers: [this.registry],
	});

	readonly replicas = new Gauge({
		name: 'waydrift_relay_replicas', help: 'Replicas by service and state.', labelNames: ['service', 'state'], registers: [this.registry],
	});

	readonly unreachableServices = new Gauge({
		name: 'waydrift_relay_service_unreachable', help: 'Whether this box can open no connection to any replica of a service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly roleFailures = new Counter({
		name: 'waydrift_relay_role_failures_total', help: 'Roles that failed and were started again, by name.', labelNames: ['role'], registers: [this.registry],
	});

	readonly entriesUnreadable = new Counter({
		name: 'waydrift_relay_entries_unreadable_total', help: 'Entries of the store that cannot be read, once a change, by kind.', labelNames: ['kind'], registers: [this.registry],
	});

	readonly replicaCrashes = new Counter({
		name: 'waydrift_relay_replica_ends_total', help: 'Replicas that ended under requests of this box, by service.', labelNames: ['service'], registers: [this.registry],
	});

	readonly quarantined = new Gauge({
		name: 'waydrift_relay_requests_quarantined', help: 'Requests that are not run, since replicas ended under them.', registers: [this.registry],
	});

	readonly membersHeard = new Gauge({
		name: 'waydrift_relay_members_heard', help: 'Other boxes that were heard lately.', registers: [this.registry],
	});

	readonly exchangeMessages = new Counter({
		name: 'waydrift_relay_exchange_messages_total', help: 'Datagrams of the exchange between boxes.', labelNames: ['direction'], registers: [this.registry],
	});

	readonly exchangeBytes = new Counter({
		name: 'waydrift_relay_exchange_bytes_total', help: 'Bytes of the datagrams of the exchange.', labelNames: ['direction'], registers: [this.registry],
	});

	readonly leaseHeld = new Gauge({
		name: 'waydrift_relay_lease_held', help: 'Whether this box holds the duties.', registers: [this.registry],
	});

	readonly droppedLogLines = new Counter({
		name: 'waydrift_relay_log_lines_left_out_total', help: 'Log lines left out because the reader was too slow.', registers: [this.registry],
	});

	/** Memory is the only process metric: the library's default metrics would wake the process a hundred times a second. */
	readonly memory = new Gauge({
		name: 'waydrift_relay_resident_bytes',
		help: 'Resident memory of the process.',
		registers: [this.registry],
		collect() {
			this.set(process.memoryUsage.rss());
		},
	});

	private constructor() {
		// Made by create().
	}
}
