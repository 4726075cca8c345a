/**
 * Keeps the configuration in force up to date: watches it in the store, proves that it is the newest version, and fetches newer versions from peers.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {describeFaults} from '../base/faults.js';
import {KindFollower} from '../follow/kind-follower.js';
import type {StoredObject} from '../follow/metadata-store.js';
import type {StoreAvailability} from '../follow/store-availability.js';
import type {MemberAddress} from '../gossip/gossip-message.js';
import type {RouteTableView, TableSource} from '../routes/route-table-view.js';
import {PeerFetch} from './peer-fetch.js';
import type {PlatformLink} from './platform-link.js';

/** Age in milliseconds of the last proof above which a box that follows the store reads the configuration again. */
const maxProofAge = 900;
/** Random addition to that age, in milliseconds, so that usually one box reads and its proof serves all boxes. */
const proofAgeSpread = 500;
/** Milliseconds between two checks of the age of the last proof. */
const checkInterval = 100;
/** The same for a box that does not follow the store. */
const idleCheckInterval = 300;
/** Milliseconds from the start to the first check. */
const firstCheckDelay = 400;
/** Milliseconds before the next check after a failed read. */
const failurePause = 400;
/** Long-poll time of a watch, in milliseconds; when a watch hangs, the reads that prove the configuration find a change. */
const watchWait = {least: 3000, spread: 0} as const;
/** Path at which boxes serve the configuration to peers. */
export const configurationPath = '/configuration';

/** Dependencies of the role. */
export type ConfigurationServices = {
	readonly link: PlatformLink;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly table: RouteTableView;
	readonly availability: StoreAvailability;
	/** @returns Whether this box follows the store even when other boxes do. */
	readonly followsStore: () => boolean;
	/** Milliseconds without a proof from other boxes after which this box reads the store itself. */
	readonly fallbackDelay: number;
};

/** Follows the configuration in the store and serves it to peers. */
export class ConfigurationRole {
	/**
	 * @param services - Dependencies of the role.
	 * @returns The role; run `follow` and `prove` to start it.
	 */
	static create(services: ConfigurationServices): ConfigurationRole {
		return new ConfigurationRole(services);
	}

	/** The stored document of the version in force, as served to peers. */
	spec: unknown;
	private readonly startedAt: number;
	private readonly fetch: PeerFetch;

	private constructor(private readonly services: ConfigurationServices) {
		this.startedAt = services.clock.monotonic();
		this.fetch = PeerFetch.create(configurationPath, content => {
			this.applySpec(content, 'peer');
		});
	}

	/** @returns An effect that watches the configuration in the store until interrupted. */
	follow(): Effect.Effect<never> {
		const {link: {store, names}, clock, log, followsStore, availability} = this.services;
		return KindFollower.create(names.configurationKind, {
			store, clock, log, watchWait, isNeeded: followsStore,
		}, {
			onAnswer() {
				availability.recordOwnAnswer();
			},
			list: ({objects}, sentAt) => {
				const object = objects.find(({name}) => name === names.configurationName);
				if (object) {
					this.applyStoredObject(object, sentAt);
				}
			},
			change: ({changes}) => {
				for (const {object} of changes.filter(({object: {name}, isGone}) => !isGone && name === names.configurationName)) {
					this.applySpec(object.spec, 'store');
				}
			},
		}).run();
	}

	/** @returns An effect that reads the store whenever the last proof is too old, until interrupted. */
	prove(): Effect.Effect<never> {
		const {link: {store, names}, clock, availability} = this.services;
		const readStore = Effect.suspend(() => {
			const sentAt = clock.monotonic();
			return store.read(names.configurationKind, names.configurationName).pipe(
				Effect.map(object => {
					availability.recordOwnAnswer();
					if (object) {
						this.applyStoredObject(object, sentAt);
					}
				}),
				Effect.catchTag('StoreUnavailable', () => Effect.sleep(failurePause)),
			);
		});
		const pause = Effect.suspend(() => Effect.sleep(this.services.followsStore() ? checkInterval : idleCheckInterval));
		const checkOnce = Effect.suspend(() => this.needsProof ? readStore : Effect.void).pipe(Effect.andThen(pause));
		// The first list of `follow` is a proof too, so this starts later.
		return Effect.sleep(firstCheckDelay).pipe(Effect.andThen(Effect.forever(checkOnce)));
	}

	/** A box that follows the store reads early; another box reads only when no proof has arrived from those for a while. */
	private get needsProof(): boolean {
		const {table, followsStore, fallbackDelay, clock} = this.services;
		const age = Math.min(table.proofAge, clock.monotonic() - this.startedAt);
		return followsStore() ? table.proofAge > maxProofAge + (Math.random() * proofAgeSpread) : age > fallbackDelay;
	}

	/**
	 * Fetches the configuration from a peer that has a higher version.
	 *
	 * @param peer - The peer.
	 */
	fetchFrom(peer: MemberAddress): void {
		this.fetch.from(peer);
	}

	private applyStoredObject({spec}: StoredObject, sentAt: number): void {
		const version = this.applySpec(spec, 'store');
		if (version !== undefined) {
			this.services.table.prove(version, sentAt);
		}
	}

	/** @returns The version of the document; `undefined` if it cannot be decoded. */
	private applySpec(spec: unknown, source: TableSource): number | undefined {
		const {link: {names}, table, log} = this.services;
		const decoded = names.decodeConfiguration(spec);
		if (Result.isFailure(decoded)) {
			log.write('routesUnreadable', {source, fault: describeFaults(names.configurationName, decoded.failure)});
			return undefined;
		}

		const content = decoded.success;
		if (content.version > table.version) {
			this.spec = spec;
			table.apply(content, source);
		}

		return content.version;
	}
}
