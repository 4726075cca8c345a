/**
 * Keeps the rollouts up to date: watches them in the store. Boxes that do not follow the store receive them from those that do.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import {unknownAgeMs, type Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {describeFaults} from '../base/faults.js';
import {KindFollower} from '../follow/kind-follower.js';
import type {StoredObject, StoreUnavailable} from '../follow/metadata-store.js';
import type {StoreAvailability} from '../follow/store-availability.js';
import {UnreadableObjects} from '../follow/unreadable-objects.js';
import type {ReplicaEntry} from '../replicas/replica.js';
import type {StoredRollout} from '../rollout/rollout-order.js';
import type {RolloutUpdate, RolloutView} from '../rollout/rollout-view.js';
import type {PlatformLink} from './platform-link.js';

/** Long-poll time of a watch, in milliseconds, while no rollout is active: an order that a dead watch misses is found when its version is listed. */
const idleWait = {least: 2500, spread: 1000} as const;
/** The same while one is: each answer proves that the known steps are the newest. */
const activeWait = {least: 350, spread: 150} as const;
/**
 * Milliseconds without a proof from other boxes after which a box follows the rollouts itself; longer than two idle watches, since a watch proves what
 * held when it was sent and does so only when it ends. The delay depends on the name of the box, so that not all boxes do so at once.
 */
export const rolloutFallbackDelay = {least: 9000, spread: 2000} as const;
/** Milliseconds between two checks whether a version is listed whose order may be missing. */
const refreshInterval = 100;

/** Dependencies of the role. */
export type RolloutRoleServices = {
	readonly link: PlatformLink;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly view: RolloutView;
	readonly availability: StoreAvailability;
	/** @returns Whether this box follows the store even when other boxes do. */
	readonly followsStore: () => boolean;
	/** Milliseconds without an update from other boxes after which this box follows the store itself. */
	readonly fallbackDelay: number;
};

/** Follows the rollouts. */
export class RolloutRole {
	/**
	 * @param services - Dependencies of the role.
	 * @returns The role; run `follow` and `refreshWhenNeeded` to start it.
	 */
	static create(services: RolloutRoleServices): RolloutRole {
		return new RolloutRole(services);
	}

	private readonly startedAt: number;
	private readonly unreadable = UnreadableObjects.create();
	/** Ends the pause before the next check. */
	private endPause: (() => void) | undefined;

	private constructor(private readonly services: RolloutRoleServices) {
		this.startedAt = services.clock.monotonic();
	}

	/** What this box passes on; `undefined` if it knows nothing. */
	get update(): RolloutUpdate | undefined {
		const {view, followsStore} = this.services;
		return view.isEnabled && view.knownUpTo >= 0
			? {
				at: view.knownUpTo,
				age: Math.min(unknownAgeMs, Math.max(0, Math.ceil(view.age))),
				...(followsStore() ? {directives: view.all} : {}),
			}
			: undefined;
	}

	/** @returns An effect that follows the rollouts in the store while this box needs to, until interrupted. */
	follow(): Effect.Effect<never> {
		const {link: {store, names}, clock, log, view, availability} = this.services;
		const wait = () => view.hasActive ? activeWait : idleWait;
		return KindFollower.create(names.rolloutKind, {
			store,
			clock,
			log,
			isNeeded: () => this.isNeeded,
			get watchWait() {
				return wait();
			},
		}, {
			onAnswer() {
				availability.recordOwnAnswer();
			},
			list: ({objects, at}, sentAt) => {
				view.applyListing(this.decode(objects), at, sentAt);
			},
			change: ({changes, at}, sentAt) => {
				const changed = changes.filter(({isGone}) => !isGone).map(({object}) => object);
				view.applyChanges(this.decode(changed), changes.filter(({isGone}) => isGone).map(({object: {name}}) => name), at, sentAt);
			},
		}).run();
	}

	/** @returns An effect that lists the rollouts when a version is listed whose order may be missing, until interrupted. */
	refreshWhenNeeded(): Effect.Effect<never> {
		const {view} = this.services;
		const check = Effect.suspend(() => (view.needsRefresh && this.isNeeded) || view.needsOwnRefresh ? Effect.ignore(this.refresh()) : Effect.void);
		return Effect.forever(check.pipe(Effect.andThen(this.pause())));
	}

	/**
	 * Reads the rollouts at once if the service of a replica is unserved until then.
	 *
	 * @param entry - Entry of a replica that was added to the list.
	 */
	checkAddition(entry: ReplicaEntry): void {
		const {view} = this.services;
		if (!view.trusts(entry) && view.needsOwnRefresh) {
			this.endPause?.();
		}
	}

	/** @returns Lists the rollouts. */
	refresh(): Effect.Effect<void, StoreUnavailable> {
		return Effect.suspend(() => {
			const {link: {store, names}, clock, view, availability} = this.services;
			const sentAt = clock.monotonic();
			return store.list(names.rolloutKind).pipe(Effect.map(({objects, at}) => {
				availability.recordOwnAnswer();
				view.applyListing(this.decode(objects), at, sentAt);
			}));
		});
	}

	private pause(): Effect.Effect<void> {
		return Effect.callback<void>(resume => {
			const timer = setTimeout(() => this.endPause?.(), refreshInterval);
			this.endPause = () => {
				this.endPause = undefined;
				clearTimeout(timer);
				resume(Effect.void);
			};

			return Effect.sync(() => {
				clearTimeout(timer);
				this.endPause = undefined;
			});
		});
	}

	/** A box that hears of the rollouts from others does not follow them itself. */
	private get isNeeded(): boolean {
		const {view, clock, followsStore, fallbackDelay} = this.services;
		const silence = Math.min(view.age, clock.monotonic() - this.startedAt);
		return view.isEnabled && (followsStore() || !view.isKnown || silence > fallbackDelay);
	}

	private decode(objects: readonly StoredObject[]): readonly StoredRollout[] {
		const {link: {names}, log} = this.services;
		return objects.flatMap(object => {
			const decoded = names.decodeRollout(object);
			if (Result.isSuccess(decoded)) {
				return [decoded.success];
			}

			if (this.unreadable.record(object)) {
				log.write('rolloutUnreadable', {name: object.name, revision: object.revision, fault: describeFaults(names.rolloutKind, decoded.failure)});
			}

			return [];
		});
	}
}
