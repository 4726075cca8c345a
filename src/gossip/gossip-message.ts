/**
 * Messages that boxes exchange, one per datagram; gossip-codec.ts encodes them.
 */
import {maxPort} from '../base/port.js';
import type {CrashLedgerUpdate} from '../quarantine/crash-ledger.js';
import type {LoadUpdate} from '../replica-load/load-update.js';
import type {RingRange} from '../replicas/limit-slots.js';
import type {ReplicaWork} from '../replicas/replica.js';
import type {Departure} from '../replicas/replica-directory.js';
import type {StatementUpdate} from '../replicas/replica-statement.js';
import type {ServiceRates} from '../replicas/fleet-demand.js';
import type {DemandWeight} from '../replicas/demand-weights.js';
import type {Demand, ReadSamples} from '../replicas/service-demand.js';
import type {RolloutUpdate} from '../rollout/rollout-view.js';
import type {StepPermits} from '../rollout/rollout-directive.js';
import type {EvidenceReport} from '../rollout/version-evidence.js';
import type {Changes} from '../follow/metadata-store.js';

/** Name and address of a box that takes part in the exchange. */
export type MemberAddress = {
	readonly name: string;
	readonly host: string;
	readonly port: number;
	/** See `aggregatorCapacity`; absent where it is not known. */
	readonly capacity?: number;
};

/**
 * @param address - Claimed address of a box, from an untrusted source.
 * @returns Whether a datagram can be sent there.
 */
export function canBeSentTo({host, port}: Pick<MemberAddress, 'host' | 'port'>): boolean {
	return host !== '' && Number.isInteger(port) && port > 0 && port <= maxPort;
}

/**
 * @param box - Name of a box.
 * @param incarnation - Identifies one start of its process.
 * @returns The name of that process: a box that restarts gets a new one.
 */
export const processName = (box: string, incarnation: string): string => `${box}/${incarnation}`;

/**
 * @param process - Name of a process.
 * @returns Name of its box.
 */
export const boxOf = (process: string): string => process.slice(0, process.lastIndexOf('/'));

/** Work that boxes have in progress at one replica. */
export type ReplicaLoad = ReplicaWork & {readonly replica: string};

/** The receiver's share of the slots at replicas of a service that have announced a concurrency limit. */
export type ServiceRange = RingRange & {readonly service: string};

/** Demand for one service at the sender. */
export type ServiceLoad = Demand & {readonly service: string};

/** Load of all boxes on a service. */
export type NamedRates = ServiceRates & {readonly service: string};

/** Number of requests of each client account that began in one window. */
export type WindowUsage = {
	readonly window: number;
	readonly counts: ReadonlyArray<readonly [clientAccount: string, requests: number]>;
};

/** Quota counter of a client account at one box: units admitted since the box started, and the level of its copy of the bucket. */
export type QuotaCount = {
	readonly clientAccount: string;
	readonly passed: number;
	readonly level: number;
	/** Units per second that were requested, admitted or not. */
	readonly asked: number;
};

/** Level of a quota bucket, from an aggregator that receives the counters of all boxes. */
export type QuotaLevel = {
	readonly clientAccount: string;
	readonly level: number;
	/** Units per second that refill the bucket, without the share of boxes from which no message is received. */
	readonly refillRate: number;
	/** Units per second that all boxes admitted recently. */
	readonly passRate: number;
	/** Units per second that are requested at all boxes. */
	readonly askRate: number;
	/** Units admitted by the receiver since its start that the level accounts for; `undefined` where the receiver has not sent its counter yet. */
	readonly counted: number | undefined;
};

/** State of all boxes that an aggregator sends to one of them. */
export type FleetDigest = {
	/** Number of boxes that the sender knows, including itself. */
	readonly boxes: number;
	/** Levels of the quota buckets of client accounts; absent where the receiver did not ask for a digest. */
	readonly quota?: readonly QuotaLevel[];
	/** Work of all boxes except the receiver; absent where the receiver did not ask for a digest. */
	readonly work?: readonly ReplicaLoad[];
	/** The receiver's shares, for services that have replicas with a limit; absent where there are none. */
	readonly stretches?: readonly ServiceRange[];
	/** What requests cost, as all boxes measured it; absent where no service is placed by cost. */
	readonly costs?: readonly unknown[];
	/** Load of all boxes on the services; absent where the receiver did not ask for a digest. */
	readonly rates?: readonly NamedRates[];
	/** Changes of the replica list that the receiver does not have yet; absent where the sender does not have them. */
	readonly changes?: Changes;
	/** The receiver's permits for versions on trial; absent where there are none. */
	readonly permits?: readonly StepPermits[];
	/** Newest load report of each replica, as all boxes received them; absent where there are none, or the receiver did not ask for a digest. */
	readonly loads?: readonly LoadUpdate[];
};

/** State of one box, as sent to other boxes. */
export type GossipMessage = {
	readonly sender: MemberAddress;
	/** Identifies one start of the box's process. */
	readonly incarnation: string;
	readonly sequence: number;
	/** Milliseconds since the process started. */
	readonly uptime: number;
	/** The box's wall-clock time in milliseconds since the epoch. */
	readonly wall: number;
	/** The newest message that the sender received from the receiver of this one, and the milliseconds since then. */
	readonly echo?: {readonly incarnation: string; readonly sequence: number; readonly age: number};
	/** Version of the active configuration. */
	readonly version: number;
	/** Milliseconds since the last moment at which that version is known to have been the newest; absent where there is none. */
	readonly proofAge?: number;
	readonly isStopping: boolean;
	/** Services of which the sender can reach no replica; absent where there are none. */
	readonly unreachable?: readonly string[];
	/** Milliseconds since the store last answered the sender. */
	readonly storeAge: number;
	/** Quota counters of the client accounts that the sender served: all of them, or only those that changed recently. */
	readonly quota: readonly QuotaCount[];
	/** Whether `quota` is complete, so that each counter missing from it is zero. */
	readonly isWhole: boolean;
	/** Work of the sender in progress at replicas. */
	readonly work: readonly ReplicaLoad[];
	/** Demand for services at the sender. */
	readonly demand?: readonly ServiceLoad[];
	/** The sender's weights for services with brittle replicas, where they differ from one. */
	readonly weights?: readonly DemandWeight[];
	/** Read rates that the sender measured. */
	readonly reads?: readonly ReadSamples[];
	/** Store position up to which the sender knows the replica list, and the milliseconds since the list was known to be complete. */
	readonly replicas?: {readonly at: number; readonly age: number};
	/** Whether the sender asks for a full digest of the other boxes. */
	readonly asksDigest?: boolean;
	/** Present in the answer of an aggregator, which then omits its own counters. */
	readonly digest?: FleetDigest;
	/** Replicas that began to leave recently. */
	readonly departed: readonly Departure[];
	/** Replicas that crashed while they ran requests, and those requests that have completed since; absent where there are none. */
	readonly ends?: CrashLedgerUpdate;
	/**
	 * Statements that replicas made about themselves in responses to the sender; in an aggregator's answer, in responses to any
	 * box. Absent where there are none.
	 */
	readonly statements?: readonly StatementUpdate[];
	/** Load reports of replicas in responses to the sender; absent where there are none. */
	readonly loads?: readonly LoadUpdate[];
	readonly usage: readonly WindowUsage[];
	/** What requests cost, as the sender measured it; absent where no service is placed by cost. */
	readonly costs?: readonly unknown[];
	/** The rollouts that the sender knows; absent where it knows none yet, or the deployment has none. */
	readonly rollouts?: RolloutUpdate;
	/** What the sender knows of the versions of services that are rolled out; absent where there are none. */
	readonly evidence?: readonly EvidenceReport[];
	/** A sample of the boxes that the sender knows. */
	readonly members: readonly MemberAddress[];
};
