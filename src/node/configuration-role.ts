/**
 * Keeps the configuration in force: follows it in the store, proves that it is the newest, and takes it from peers.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {HttpClient, jsonOf} from '../base/http-client.js';
import {KindFollower} from '../follow/kind-follower.js';
import type {StoredObject} from '../follow/metadata-store.js';
import type {MemberAddress} from '../gossip/gossip-message.js';
import type {RouteTableView, TableSource} from '../routes/route-table-view.js';
import type {PlatformLink} from './platform-link.js';

/** Milliseconds a proof may be old before this box asks the store itself. */
const provingAge = 900;
/** Milliseconds by which boxes differ in that, so that mostly one asks for all. */
const provingSpread = 500;
const checkInterval = 100;
const failurePause = 400;
const peerTimeout = 600;
/** Path at which peers give out the configuration. */
export const configurationPath = '/configuration';

/** What the role needs. */
export type ConfigurationServices = {
	readonly link: PlatformLink;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly table: RouteTableView;
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
	private isFetching = false;
	private answeredAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly services: ConfigurationServices) {}

	/** Milliseconds since the store last answered. */
	get storeSilence(): number {
		return this.services.clock.monotonic() - this.answeredAt;
	}

	/** @returns Follows the store until interrupted. */
	follow(): Effect.Effect<never> {
		const {link: {store, names}, clock, log} = this.services;
		return KindFollower.create(names.configurationKind, {store, clock, log}, {
			onAnswer: () => {
				this.answeredAt = clock.monotonic();
			},
			list: ({objects}, sentAt) => {
				const object = objects.find(({name}) => name === names.configurationName);
				if (object) {
					this.takeObject(object, sentAt);
				}
			},
			change: ({object, isGone}) => {
				if (!isGone && object.name === names.configurationName) {
					this.take(object.spec, 'store');
				}
			},
		}).run();
	}

	/** @returns Asks the store whenever no proof is new enough, until interrupted. */
	prove(): Effect.Effect<never> {
		const {link: {store, names}, table, clock} = this.services;
		const ask = Effect.suspend(() => {
			const sentAt = clock.monotonic();
			return store.read(names.configurationKind, names.configurationName).pipe(
				Effect.map(object => {
					this.answeredAt = clock.monotonic();
					if (object) {
						this.takeObject(object, sentAt);
					}
				}),
				Effect.catchTag('StoreUnavailable', () => Effect.sleep(failurePause)),
			);
		});
		return Effect.forever(Effect.suspend(() => table.proofAge > provingAge + (Math.random() * provingSpread) ? ask : Effect.void)
			.pipe(Effect.andThen(Effect.sleep(checkInterval))));
	}

	/**
	 * Fetches the configuration from a peer that has a higher version.
	 *
	 * @param peer - The peer.
	 */
	fetchFrom({host, port}: MemberAddress): void {
		if (this.isFetching) {
			return;
		}

		this.isFetching = true;
		const client = HttpClient.create(host, port);
		Effect.runFork(client.exchange({method: 'GET', path: configurationPath, timeout: peerTimeout}).pipe(
			Effect.map(answer => {
				this.take(jsonOf(answer), 'peer');
			}),
			Effect.catchCause(() => Effect.void),
			Effect.ensuring(Effect.sync(() => {
				this.isFetching = false;
				client.close();
			})),
		));
	}

	private takeObject({spec}: StoredObject, sentAt: number): void {
		const version = this.take(spec, 'store');
		if (version !== undefined) {
			this.services.table.prove(version, sentAt);
		}
	}

	/** @returns Its version; nothing where it cannot be read. */
	private take(spec: unknown, source: TableSource): number | undefined {
		const {link, table, log} = this.services;
		const content = link.names.decodeConfiguration(spec);
		if (!content) {
			log.write('routesUnreadable', {source});
			return undefined;
		}

		if (content.version > table.version) {
			this.spec = spec;
			table.apply(content, source);
		}

		return content.version;
	}
}
