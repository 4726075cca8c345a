/**
 * What a relay reaches outside of itself; the adapter at the root implements it.
 */
import type * as Result from 'effect/Result';
import type {Fault} from '../base/faults.js';
import type {DutyCalls} from '../duties/duty-calls.js';
import type {MetadataStore, StoredObject} from '../follow/metadata-store.js';
import type {RelayFormat} from '../relay/relay-format.js';
import type {ReplicaEntry} from '../replicas/replica.js';
import type {RouteTableContent} from '../routes/route-table.js';

/** Names and formats of what the platform keeps. */
export type PlatformNames = {
	readonly configurationKind: string;
	readonly configurationName: string;
	readonly replicaKind: string;
	/** @returns The version, or what is wrong with it. */
	readonly decodeConfiguration: (spec: unknown) => Result.Result<RouteTableContent, readonly Fault[]>;
	/** @returns The entry, or what is wrong with it. */
	readonly decodeReplica: (object: StoredObject) => Result.Result<ReplicaEntry, readonly Fault[]>;
};

/** The platform, as a relay reaches it. */
export type PlatformLink = {
	readonly names: PlatformNames;
	readonly format: RelayFormat;
	readonly store: MetadataStore;
	/** `undefined` where the deployment has no duties. */
	readonly duties: DutyCalls | undefined;
};
