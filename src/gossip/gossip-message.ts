/**
 * What boxes tell each other, one datagram at a time; gossip-codec.ts lays it out.
 */
import {maxPort} from '../base/port.js';
import type {CrashLedgerUpdate} from '../quarantine/crash-ledger.js';
import type {RingRange} from '../replicas/limit-slots.js';
import type {ReplicaWork} from '../replicas/replica.js';
import type {Departure} from '../replicas/replica-directory.js';
import type {StatementUpdate} from '../replicas/replica-statement.js';
import type {Demand} from '../replicas/service-demand.js';
import type {Changes} from '../follow/metadata-store.js';

/** Where a box hears the others. */
export type MemberAddress = {
	readonly name: string;
	readonly host: string;
	readonly port: number;
	/** See `aggregatorCapacity`; absent where nothing is known. */
	readonly capacity?: number;
};

/**
 * @param address - Where a box is said to hear the others; it may come from anybody.
 * @returns Whether a datagram can be sent there.
 */
export function canBeSentTo({host, port}: Pick<MemberAddress, 'host' | 'port'>): boolean {
	return host !== '' && Number.isInteger(port) && port > 0 && port <= maxPort;
}

/** Work of boxes at one replica. */
export type ReplicaLoad = ReplicaWork & {readonly replica: string};

/** The receiver's part of the slots at replicas of a service that have named limits. */
export type ServiceStretch = RingRange & {readonly service: string};

/** What is asked of one service at the sender. */
export type ServiceLoad = Demand & {readonly service: string};

/** Requests of client accounts that began in one window. */
export type WindowUsage = {
	readonly window: number;
	readonly counts: ReadonlyArray<readonly [clientAccount: string, requests: number]>;
};

/** What a box tells of a client account: units let pass since it started, and how full its copy of the bucket is. */
export type QuotaCount = {
	readonly clientAccount: string;
	readonly passed: number;
	readonly level: number;
	/** Units a second that are asked for, passed or not. */
	readonly asked: number;
};

/** How full a bucket is, as a box that hears all counters tells another. */
export type QuotaLevel = {
	readonly clientAccount: string;
	readonly level: number;
	/** Units a second that the bucket is refilled with: what is left to boxes that are not heard is not in it. */
	readonly refillRate: number;
	/** Units a second that all boxes let pass lately. */
	readonly passRate: number;
	/** Units a second that are asked for at all boxes. */
	readonly askRate: number;
	/** What the receiver let pass since its start, as far as the level holds it; `undefined` where it has not told that yet. */
	readonly counted: number | undefined;
};

/** What an aggregator knows of all boxes, told to one of them. */
export type FleetDigest = {
	/** Boxes that the sender knows of, itself too. */
	readonly boxes: number;
	/** How full the buckets of client accounts are; absent where the receiver did not ask. */
	readonly quota?: readonly QuotaLevel[];
	/** Work of all boxes but the receiver; absent where the receiver did not ask. */
	readonly work?: readonly ReplicaLoad[];
	/** For services that have limited replicas; absent where there are none. */
	readonly stretches?: readonly ServiceStretch[];
	/** Changes of the list of replicas that the receiver does not have yet; absent where the sender cannot tell them. */
	readonly changes?: Changes;
};

/** One box's state, as it tells it. */
export type GossipMessage = {
	readonly sender: MemberAddress;
	/** Names one start of the box's process. */
	readonly incarnation: string;
	readonly sequence: number;
	/** Milliseconds since the process started. */
	readonly uptime: number;
	/** The box's time of day. */
	readonly wall: number;
	/** The newest message of the receiver that the sender has, and the milliseconds since it came. */
	readonly echo?: {readonly incarnation: string; readonly sequence: number; readonly age: number};
	/** Version of the configuration in force. */
	readonly version: number;
	/** Milliseconds since that version is known to have been the newest; absent where it never was. */
	readonly proofAge?: number;
	readonly isStopping: boolean;
	/** Milliseconds since the store last answered the sender. */
	readonly storeAge: number;
	/** What the sender let pass of the client accounts that it served: of all, or of those that it served lately. */
	readonly quota: readonly QuotaCount[];
	/** Whether the counters that are not told stand at zero. */
	readonly isWhole: boolean;
	/** Work of the sender at replicas. */
	readonly work: readonly ReplicaLoad[];
	/** What is asked of services at the sender. */
	readonly demand?: readonly ServiceLoad[];
	/** Revision up to which the sender knows the list of replicas, and the milliseconds since it was known to be whole. */
	readonly replicas?: {readonly at: number; readonly age: number};
	/** Whether the sender asks for all that an aggregator knows of the other boxes. */
	readonly asksDigest?: boolean;
	/** Present in the answer of an aggregator, which then tells nothing of its own counters. */
	readonly digest?: FleetDigest;
	/** Replicas that began to leave lately. */
	readonly departed: readonly Departure[];
	/** Replicas that ended under requests, and such requests that were served since; absent where there are none. */
	readonly ends?: CrashLedgerUpdate;
	/** What replicas said of themselves in answers to the sender, in an answer of an aggregator to any box; absent where there is nothing. */
	readonly statements?: readonly StatementUpdate[];
	readonly usage: readonly WindowUsage[];
	/** Some of the boxes that the sender knows. */
	readonly members: readonly MemberAddress[];
};
