/**
 * The external services and formats that a relay depends on; the platform adapter implements them.
 */
import type * as Result from 'effect/Result';
import type {Fault} from '../base/faults.js';
import type {DutyCalls} from '../duties/duty-calls.js';
import type {MetadataStore, StoredObject} from '../follow/metadata-store.js';
import type {RelayFormat} from '../relay/relay-format.js';
import type {ReplicaEntry} from '../replicas/replica.js';
import type {RolloutStatus, StoredRollout} from '../rollout/rollout-order.js';
import type {RouteTableContent} from '../routes/route-table.js';

/** Names and formats of the objects in the platform's store. */
export type PlatformNames = {
	readonly configurationKind: string;
	readonly configurationName: string;
	readonly replicaKind: string;
	/** @returns The configuration, or the faults that were found in it. */
	readonly decodeConfiguration: (spec: unknown) => Result.Result<RouteTableContent, readonly Fault[]>;
	/** @returns The entry, or the faults that were found in it. */
	readonly decodeReplica: (object: StoredObject) => Result.Result<ReplicaEntry, readonly Fault[]>;
	readonly rolloutKind: string;
	/** @returns The rollout, or the faults that were found in its order. */
	readonly decodeRollout: (object: StoredObject) => Result.Result<StoredRollout, readonly Fault[]>;
	/** @returns The status as the store has it. */
	readonly encodeRolloutStatus: (status: RolloutStatus) => unknown;
};

/** The platform, as a relay accesses it. */
export type PlatformLink = {
	readonly names: PlatformNames;
	readonly format: RelayFormat;
	readonly store: MetadataStore;
	/** `undefined` if the deployment has no duties. */
	readonly duties: DutyCalls | undefined;
};
