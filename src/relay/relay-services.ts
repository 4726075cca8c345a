/**
 * Dependencies of request handling, passed through constructors.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {SuspensionMeter} from '../base/suspension-meter.js';
import type {FleetRates} from '../gossip/fleet-rates.js';
import type {Quarantine} from '../quarantine/quarantine.js';
import type {QuotaLedger} from '../quota/quota-ledger.js';
import type {RetryLoans} from '../quota/retry-loans.js';
import type {LoadReports} from '../replica-load/load-reports.js';
import type {BrittleReplicas} from '../replicas/brittle-replicas.js';
import type {ReplicaChoice} from '../replicas/replica-choice.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {ReplicaLimits} from '../replicas/replica-limits.js';
import type {ReplicaStatements} from '../replicas/replica-statements.js';
import type {ServiceDemands} from '../replicas/service-demand.js';
import type {VersionHistory} from '../stream-versions/version-history.js';
import type {RolloutView} from '../rollout/rollout-view.js';
import type {VersionEvidence} from '../rollout/version-evidence.js';
import type {ProcessResources} from '../resources/process-resources.js';
import type {RouteTableView} from '../routes/route-table-view.js';
import type {StopSchedule} from '../stopping/stop-schedule.js';
import type {UsageCounts} from '../duties/usage-counts.js';
import type {ConnectionRegistry} from './connection-registry.js';
import type {CrashDetector} from './crash-detector.js';
import type {ForwardingBoxes} from './forwarding-boxes.js';
import type {FreshnessGuard} from './freshness-guard.js';
import type {LimitQueue} from './limit-queue.js';
import type {RelayFormat} from './relay-format.js';
import type {RelayMetrics} from './relay-metrics.js';
import type {ReplicaReach} from './replica-reach.js';
import type {RetryBudgets} from './retry-budgets.js';
import type {Scheduling} from './scheduling.js';
import type {StreamOrigins} from './stream-origins.js';

/** The services of one box that handle requests. */
export type RelayServices = {
	readonly clock: Clock;
	readonly suspensions: SuspensionMeter;
	/** The stop of this process. */
	readonly stop: StopSchedule;
	/** Name of this box. */
	readonly box: string;
	/** @returns Number of boxes, including this one. */
	readonly boxes: () => number;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	readonly format: RelayFormat;
	/** Memory and connections that this process uses for others. */
	readonly resources: ProcessResources;
	readonly table: RouteTableView;
	readonly guard: FreshnessGuard;
	readonly replicas: ReplicaDirectory;
	readonly choice: ReplicaChoice;
	readonly scheduling: Scheduling;
	readonly limits: ReplicaLimits;
	readonly brittle: BrittleReplicas;
	readonly statements: ReplicaStatements;
	readonly loads: LoadReports;
	readonly limitQueue: LimitQueue;
	readonly demands: ServiceDemands;
	readonly fleetRates: FleetRates;
	readonly connections: ConnectionRegistry;
	readonly reach: ReplicaReach;
	readonly forwarding: ForwardingBoxes;
	readonly crashDetector: CrashDetector;
	readonly quarantine: Quarantine;
	readonly quota: QuotaLedger;
	readonly budgets: RetryBudgets;
	readonly loans: RetryLoans;
	readonly versions: VersionHistory;
	readonly origins: StreamOrigins;
	readonly usage: UsageCounts;
	readonly rollouts: RolloutView;
	readonly evidence: VersionEvidence;
};
