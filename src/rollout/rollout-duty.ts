/**
 * Takes the steps of all rollouts, at one box at a time. Each step is a conditional write of the status in the store, so that two boxes that both
 * take themselves for the owner cannot both take a step.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {sumOf} from '../base/sum.js';
import type {MetadataStore, StoreUnavailable} from '../follow/metadata-store.js';
import type {Replica} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {ServiceVersions} from '../replicas/service-versions.js';
import {allRoutes, type FleetEvidence, type RouteVerdict} from './fleet-evidence.js';
import type {RolloutOrder, RolloutStatus, StoredRollout} from './rollout-order.js';
import {
	nextProgress, spentPermits, type ExposureBound, type RolloutFacts, type VersionCapacity,
} from './rollout-plan.js';
import {progressOf, stateOf, type RolloutProgress} from './rollout-progress.js';
import type {RolloutView} from './rollout-view.js';

/** Milliseconds between two checks while a rollout is active. */
const activeInterval = 100;
/** The same while none is. */
const idleInterval = 500;
/** Milliseconds without a message after which a box need not confirm the steps of a rollout. */
export const confirmationLifetime = 6000;
/** Milliseconds after a failed write until the next. */
const failurePause = 300;

/** Dependencies of the duty. */
export type RolloutDutyServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly store: MetadataStore;
	readonly kind: string;
	/** @returns The status as the platform has it. */
	readonly encodeStatus: (status: RolloutStatus) => unknown;
	readonly view: RolloutView;
	readonly evidence: FleetEvidence;
	readonly replicas: ReplicaDirectory;
	readonly versions: ServiceVersions;
	/** @returns Mean milliseconds of a request of a service. */
	readonly duration: (service: string) => number;
	/**
	 * @param within - Milliseconds.
	 * @returns Names of the processes that sent a message in that time, and of this one.
	 */
	readonly processes: (within: number) => readonly string[];
	/**
	 * @param process - Name of a process.
	 * @returns Name of its box.
	 */
	readonly boxOf: (process: string) => string;
	/** @returns Milliseconds within which each box that can be reached sends a message. */
	readonly heardWithin: () => number;
	/** @returns Common time in milliseconds since the epoch. */
	readonly commonTime: () => number;
	readonly bound: () => ExposureBound;
	/** @returns Whether this box is the one of all reachable boxes that takes the steps. */
	readonly isOwner: () => boolean;
	/** Records what this box itself reports. */
	readonly recordOwnReports: () => void;
	/** Called after each step, so that all boxes learn of it at once. */
	readonly onStep: () => void;
	/** Reads the rollouts again. */
	readonly refresh: () => Effect.Effect<void, StoreUnavailable>;
};

/** Takes the steps of rollouts. */
export class RolloutDuty {
	/**
	 * @param services - Dependencies.
	 * @returns The duty; run {@link run}.
	 */
	static create(services: RolloutDutyServices): RolloutDuty {
		return new RolloutDuty(services);
	}

	/** The step of each service that this box last saw, and the monotonic milliseconds at which it did. */
	private readonly seenSteps = new Map<string, {readonly step: number; readonly at: number}>();
	/** Monotonic milliseconds since which this box takes the steps without a suspension; `undefined` while another box does. */
	private ownerSince: number | undefined;
	/** Orders whose time has passed, each logged once. */
	private readonly overdue = new Set<string>();

	private constructor(private readonly services: RolloutDutyServices) {}

	/** @returns An effect that takes the steps that are due, until interrupted. */
	run(): Effect.Effect<never> {
		const {view} = this.services;
		const pause = Effect.suspend(() => Effect.sleep(view.hasActive ? activeInterval : idleInterval));
		return Effect.forever(Effect.suspend(() => this.takeSteps()).pipe(
			Effect.catchTag('StoreUnavailable', ({detail}) => Effect.suspend(() => {
				this.services.log.write('rolloutWriteFailed', {detail});
				return Effect.sleep(failurePause);
			})),
			Effect.andThen(pause),
		));
	}

	/** @returns Takes the steps that are due now. */
	takeSteps(): Effect.Effect<void, StoreUnavailable> {
		return Effect.suspend(() => {
			const {view, clock, evidence, isOwner, recordOwnReports} = this.services;
			if (!view.isEnabled || !view.isKnown || !isOwner()) {
				this.ownerSince = undefined;
				return Effect.void;
			}

			// What other boxes did during a suspension is unknown.
			if (this.ownerSince === undefined || this.ownerSince <= clock.lastResumedAt()) {
				this.ownerSince = clock.monotonic();
				evidence.restart();
			}

			recordOwnReports();
			return Effect.all(view.rollouts.map(rollout => this.takeStep(rollout)), {discard: true});
		});
	}

	private takeStep(rollout: StoredRollout): Effect.Effect<void, StoreUnavailable> {
		const {evidence, view} = this.services;
		const {order} = rollout;
		const progress = progressOf(rollout);
		if (progress && stateOf(progress) !== 'active') {
			return rollout.status?.state === stateOf(progress) ? Effect.void : this.write(rollout, progress, []);
		}

		// What this box knows to be bad stays so, even if the store has lost it.
		if (progress && view.of(order.service)?.phase === 'reverted') {
			return this.write(rollout, {
				...progress, step: progress.step + 1, phase: 'reverted', permits: [], share: 0,
			}, []);
		}

		const verdicts = evidence.judge(order, progress, this.knowsAllProcesses(progress));
		const next = nextProgress(order, progress, this.factsOf(order, progress, verdicts));
		this.logOverdue(order, progress, verdicts);
		return next ? this.write(rollout, next, verdicts) : Effect.void;
	}

	private factsOf(order: RolloutOrder, progress: RolloutProgress | undefined, verdicts: readonly RouteVerdict[]): RolloutFacts {
		const {replicas, versions, evidence, commonTime, processes, heardWithin, duration, bound} = this.services;
		const {service, target} = order;
		const ready = replicas.all.filter(replica => replica.entry.service === service && !replica.isLeaving && !replica.isMissing);
		const current = ready.filter(({entry}) => entry.software !== target);
		return {
			now: commonTime(),
			sinceStep: this.timeSince(service, progress?.step ?? -1),
			reports: evidence.reportsOn(order),
			processes: processes(confirmationLifetime),
			responsive: processes(heardWithin()),
			knowsAllProcesses: this.knowsAllProcesses(progress),
			verdicts,
			target: capacityOf(ready.filter(({entry}) => entry.software === target)),
			current: capacityOf(current),
			currentVersions: [...new Set(current.map(({entry}) => entry.software))],
			isOnlyVersion: versions.only(service) === target,
			duration: duration(service),
			bound: bound(),
		};
	}

	/**
	 * Whether this box has heard all processes that can be reached: it has been the owner for long, or it has heard each box that the record names. A
	 * message of such a box since then is of the recorded process or of a later one, which has no requests of the recorded one.
	 */
	private knowsAllProcesses(progress: RolloutProgress | undefined): boolean {
		const {clock, processes, boxOf, heardWithin} = this.services;
		const ownedFor = this.ownerSince === undefined ? 0 : clock.monotonic() - this.ownerSince;
		if (ownedFor >= confirmationLifetime) {
			return true;
		}

		const recorded = progress?.processes ?? [];
		const heard = new Set(processes(ownedFor).map(process => boxOf(process)));
		return recorded.length > 0 && ownedFor >= heardWithin() && recorded.every(process => heard.has(boxOf(process)));
	}

	private timeSince(service: string, step: number): number {
		const now = this.services.clock.monotonic();
		const seen = this.seenSteps.get(service);
		if (seen?.step !== step) {
			this.seenSteps.set(service, {step, at: now});
			return 0;
		}

		return now - seen.at;
	}

	private write({name, order, revision, status}: StoredRollout, progress: RolloutProgress, verdicts: readonly RouteVerdict[]): Effect.Effect<void, StoreUnavailable> {
		const {store, kind, encodeStatus, view, onStep, refresh} = this.services;
		const written: RolloutStatus = {state: stateOf(progress), target: order.target, progress};
		return store.replaceStatus(kind, name, encodeStatus(written), revision).pipe(
			Effect.map(object => {
				this.logStep(order, progress, {verdicts, before: status?.state});
				view.recordWrite({
					name, order, revision: object.revision, status: written,
				});
				onStep();
			}),
			// Another box has taken a step, or an operator has ordered anew.
			Effect.catchTag('RevisionConflict', () => refresh()),
			// A write without an answer may be carried out later.
			Effect.tapError(() => Effect.ignore(refresh())),
		);
	}

	private logStep({service}: RolloutOrder, progress: RolloutProgress, {verdicts, before}: {readonly verdicts: readonly RouteVerdict[]; readonly before: string | undefined}): void {
		const {log, evidence, commonTime} = this.services;
		const {target, phase, step, share, permits, reason, startedAt} = progress;
		const events = {
			trial: 'rolloutStepped', shift: 'rolloutStepped', complete: 'rolloutCompleted', reverted: 'rolloutReverted',
		} as const;
		log.write(events[phase], {
			service,
			target,
			phase,
			step,
			share,
			permits: sumOf(permits.map(([, count]) => count)),
			spent: spentPermits(progress, evidence.reportsOn({service, target, duration: progress.duration})),
			reason,
			before,
			elapsed: Math.round(commonTime() - startedAt),
			evidence: describe(verdicts),
		});
	}

	private logOverdue(order: RolloutOrder, progress: RolloutProgress | undefined, verdicts: readonly RouteVerdict[]): void {
		const key = `${order.service}\n${order.target}\n${order.duration}\n${progress?.startedAt ?? 0}`;
		if (!progress || this.overdue.has(key) || this.services.commonTime() - progress.startedAt <= order.duration) {
			return;
		}

		this.overdue.add(key);
		this.services.log.write('rolloutOverdue', {
			service: order.service, target: order.target, phase: progress.phase, step: progress.step, reason: progress.reason, evidence: describe(verdicts),
		});
	}
}

function describe(verdicts: readonly RouteVerdict[]): string {
	return verdicts
		.map(({route, good, bad, expected, suspicion}) => `${route === allRoutes ? 'all' : route}: ${good} good, ${bad} bad, ${expected.toFixed(2)} expected, suspicion ${suspicion.toFixed(1)}`)
		.join('; ');
}

function capacityOf(replicas: readonly Replica[]): VersionCapacity {
	return {
		replicas: replicas.length, slots: sumOf(replicas.map(({entry}) => entry.slots)), inProgress: sumOf(replicas.map(({work}) => work.requests)),
	};
}
