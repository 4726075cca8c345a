/**
 * The services that running a request depends on.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Metrics} from '../base/metrics.js';
import type {BoxDirectory} from '../boxes/box-directory.js';
import type {ClaimLedger} from '../claims/claim.js';
import type {Ceilings} from '../limits/ceilings.js';
import type {RecordRegistry} from '../records/record-registry.js';
import type {AnswerBodies} from '../resources/answer-bodies.js';
import type {RoutingPolicy} from '../routing/routing-policy.js';
import type {PoolGates} from './pool-gates.js';
import type {RunRegistry} from './run-registry.js';
import type {UpstreamLinks} from './upstream-links.js';

/** The services of this box. */
export type DispatchServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** Memory of answers that are not sent yet. */
	readonly answers: AnswerBodies;
	readonly directory: BoxDirectory;
	readonly links: UpstreamLinks;
	readonly gates: PoolGates;
	readonly ceilings: Ceilings;
	readonly ledger: ClaimLedger;
	readonly policy: RoutingPolicy;
	readonly records: RecordRegistry;
	readonly runs: RunRegistry;
};
