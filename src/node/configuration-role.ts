/**
 * Keeps the configuration in force: follows it in the store, proves that it is the newest, and takes it from peers.
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

/** Milliseconds a proof may be old before this box asks the store itself. */
const provingAge = 900;
/** Milliseconds by which boxes differ in that, so that mostly one asks for all. */
const provingSpread = 500;
const checkInterval = 100;
/** The same for a box that leaves the questions to others. */
const idleCheckInterval = 300;
/** Milliseconds after the start before the first question. */
const firstProof = 400;
const failurePause = 400;
/** Milliseconds that a watch waits; one that hangs is made up for by the reads that prove the configuration. */
const watchWait = {least: 3000, spread: 0} as const;
/** Path at which peers give out the configuration. */
export const configurationPath = '/configuration';

/** What the role needs. */
export type ConfigurationServices = {
	readonly link: PlatformLink;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly table: RouteTableView;
	readonly availability: StoreAvailability;
	/** @returns Whether this box follows the store, though others may. */
	readonly leads: () => boolean;
	/** Milliseconds without a proof from others after which this box asks the store itself. */
	readonly patience: number;
};

/** The role. */
export class ConfigurationRole {
	/**
	 * @param services - What it needs.
	 * @returns The role; run its parts to begin.
	 */
	static create(services: ConfigurationServices): ConfigurationRole {
		return new ConfigurationRole(services);
	}

	/** What the store holds of the version in force, for peers. */
	spec: unknown;
	private readonly startedAt: number;
	private readonly fetch: PeerFetch;

	private constructor(private readonly services: ConfigurationServices) {
		this.startedAt = services.clock.monotonic();
		this.fetch = PeerFetch.create(configurationPath, content => {
			this.take(content, 'peer');
		});
	}

	/** @returns Follows the store until interrupted. */
	follow(): Effect.Effect<never> {
		const {link: {store, names}, clock, log, leads, availability} = this.services;
		return KindFollower.create(names.configurationKind, {
			store, clock, log, watchWait, isNeeded: leads,
		}, {
			onAnswer() {
				availability.noteOwnAnswer();
			},
			list: ({objects}, sentAt) => {
				const object = objects.find(({name}) => name === names.configurationName);
				if (object) {
					this.takeObject(object, sentAt);
				}
			},
			change: ({changes}) => {
				for (const {object} of changes.filter(({object: {name}, isGone}) => !isGone && name === names.configurationName)) {
					this.take(object.spec, 'store');
				}
			},
		}).run();
	}

	/** @returns Asks the store whenever no proof is new enough, until interrupted. */
	prove(): Effect.Effect<never> {
		const {link: {store, names}, clock, availability} = this.services;
		const ask = Effect.suspend(() => {
			const sentAt = clock.monotonic();
			return store.read(names.configurationKind, names.configurationName).pipe(
				Effect.map(object => {
					availability.noteOwnAnswer();
					if (object) {
						this.takeObject(object, sentAt);
					}
				}),
				Effect.catchTag('StoreUnavailable', () => Effect.sleep(failurePause)),
			);
		});
		const pause = Effect.suspend(() => Effect.sleep(this.services.leads() ? checkInterval : idleCheckInterval));
		const turn = Effect.suspend(() => this.needsProof ? ask : Effect.void).pipe(Effect.andThen(pause));
		// The first list proves as well.
		return Effect.sleep(firstProof).pipe(Effect.andThen(Effect.forever(turn)));
	}

	/** A box that leads asks soon; another leaves it to those, for as long as their proofs come. */
	private get needsProof(): boolean {
		const {table, leads, patience, clock} = this.services;
		const age = Math.min(table.proofAge, clock.monotonic() - this.startedAt);
		return leads() ? table.proofAge > provingAge + (Math.random() * provingSpread) : age > patience;
	}

	/**
	 * Fetches the configuration from a peer that has a higher version.
	 *
	 * @param peer - The peer.
	 */
	fetchFrom(peer: MemberAddress): void {
		this.fetch.from(peer);
	}

	private takeObject({spec}: StoredObject, sentAt: number): void {
		const version = this.take(spec, 'store');
		if (version !== undefined) {
			this.services.table.prove(version, sentAt);
		}
	}

	/** @returns Its version; nothing where it cannot be read. */
	private take(spec: unknown, source: TableSource): number | undefined {
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
