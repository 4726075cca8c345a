/**
 * The rollouts as one box knows them, and what they allow it to send where. A box learns of them from the store, or from a box that follows it.
 *
 * @remarks
 * Nothing that exposes requests to a version that may be bad lasts without the store: the permits of a trial and the share of a shift hold only while
 * the box knows that its directive was the newest a short time ago. Source: docs/design/rollouts.md.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {getOrCreate} from '../base/get-or-create.js';
import {eraOf} from '../follow/store-position.js';
import type {ReplicaEntry} from '../replicas/replica.js';
import type {ServiceVersions} from '../replicas/service-versions.js';
import {
	directiveOf, grantsOf, isActive, type RolloutDirective, type StepPermits,
} from './rollout-directive.js';
import {isSameOrder, type StoredRollout} from './rollout-order.js';
import {TrialPermits, type PermitUse} from './trial-permits.js';

/** Maximum milliseconds for which a directive that exposes requests holds without a new proof that it is the newest. */
const maxLease = 2000;
/** Milliseconds for which the only listed version of a service waits for the rollouts in a process that may not have seen its other versions. */
const maxOnlyVersionWait = 1000;
/** Part of the time that a bad version may still get requests for which a directive holds at most. */
const leasePart = 0.4;

/** Dependencies of a view. */
export type RolloutViewServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Name of this process, other than that of any earlier process of this box. */
	readonly process: string;
	/** @returns Milliseconds for which a bad version may still get requests; `undefined` if the deployment has no rollouts. */
	readonly rollback: () => number | undefined;
	/** The versions that this process has seen. */
	readonly versions: Pick<ServiceVersions, 'isCertain' | 'only'>;
	/** @returns The only version of a service that the store has; `undefined` if there are several, or if that is not certain. */
	readonly onlyRecorded: (service: string) => string | undefined;
	/** Called when this box learns of a step that it must confirm to the owner of the rollout. */
	readonly onStep: () => void;
};

/** What a box passes on to others. */
export type RolloutUpdate = {
	/** Position of the store up to which the rollouts are known. */
	readonly at: number;
	/** Milliseconds since they were known to be complete. */
	readonly age: number;
	/** Absent where the sender follows another box itself. */
	readonly directives?: readonly RolloutDirective[];
};

/** The rollouts that one box knows. */
export class RolloutView {
	/**
	 * @param services - Dependencies.
	 * @returns A view that knows nothing yet.
	 */
	static create(services: RolloutViewServices): RolloutView {
		return new RolloutView(services);
	}

	/** Position up to which the directives are known, from the store or another box. */
	private position = -1;
	/** Position up to which this box has read the rollouts from the store itself. */
	private storedUpTo = -1;
	/** Monotonic milliseconds at which no step later than the known ones existed. */
	private provenAt = Number.NEGATIVE_INFINITY;
	private readonly directives = new Map<string, RolloutDirective>();
	/** Era of the store in which each directive was written. */
	private readonly eras = new Map<string, number>();
	private readonly stored = new Map<string, StoredRollout>();
	/** Permits by process of each stored rollout: other boxes ask for theirs many times a second. */
	private readonly grants = new Map<string, ReadonlyMap<string, StepPermits>>();
	private readonly permits = new Map<string, TrialPermits>();
	/** Versions of each service that were listed when all rollouts up to their entries were known. */
	private readonly trusted = new Map<string, Set<string>>();
	private wantedPosition = -1;
	/** Position up to which the rollouts must be known for a service whose only listed version is not trusted. */
	private unservedUpTo = -1;
	/** Monotonic milliseconds since which the only listed version of each service has been waiting. */
	private readonly waitingSince = new Map<string, {readonly software: string; readonly at: number}>();

	private constructor(private readonly services: RolloutViewServices) {}

	/** Whether the deployment has rollouts. */
	get isEnabled(): boolean {
		return this.services.rollback() !== undefined;
	}

	/** Whether the rollouts are known, or the deployment has none. */
	get isKnown(): boolean {
		return !this.isEnabled || this.position >= 0;
	}

	/** Whether a replica of a version that was never in use was listed after the position up to which the rollouts are known. */
	get needsRefresh(): boolean {
		return this.wantedPosition > this.position;
	}

	/** Whether a service is unserved here until the rollouts are known up to its entries, so that this box reads them itself. */
	get needsOwnRefresh(): boolean {
		return this.unservedUpTo > this.position;
	}

	/** Whether a rollout has not ended. */
	get hasActive(): boolean {
		return [...this.directives.values()].some(directive => isActive(directive));
	}

	/** Milliseconds since the directives were known to be the newest; infinite if they never were, or if the machine was suspended since. */
	get age(): number {
		return this.services.clock.ageOf(this.provenAt);
	}

	/** All directives. */
	get all(): readonly RolloutDirective[] {
		return [...this.directives.values()];
	}

	/** The rollouts as stored, as far as this box follows the store. */
	get rollouts(): readonly StoredRollout[] {
		return [...this.stored.values()];
	}

	/** Position of the store up to which the rollouts are known; negative before. */
	get knownUpTo(): number {
		return this.position;
	}

	/**
	 * @param service - Name of a service.
	 * @returns What to follow; `undefined` if there is no rollout.
	 */
	of(service: string): RolloutDirective | undefined {
		return this.directives.get(service);
	}

	/**
	 * Applies all rollouts of the store.
	 *
	 * @param rollouts - The rollouts.
	 * @param at - Position of the list; an older one than this box has read changes nothing.
	 * @param sentAt - Monotonic milliseconds at which the list was requested.
	 */
	applyListing(rollouts: readonly StoredRollout[], at: number, sentAt: number): void {
		if (at < this.storedUpTo) {
			return;
		}

		this.storedUpTo = at;
		this.stored.clear();
		this.grants.clear();
		this.applyDirectives(rollouts.map(rollout => directiveOf(rollout)), at);
		this.advance(at, sentAt);
		for (const rollout of rollouts) {
			this.store(rollout);
		}
	}

	/**
	 * Applies a step that this box wrote. It says nothing about changes that others made before it.
	 *
	 * @param rollout - The rollout after the write.
	 */
	recordWrite(rollout: StoredRollout): void {
		const {service} = rollout.order;
		if ((this.stored.get(service)?.revision ?? 0) > rollout.revision) {
			return;
		}

		const directive = directiveOf(rollout);
		if (this.isLater(directive, rollout.revision, this.isKnownOrder(directive))) {
			this.apply(directive, rollout.revision);
		}

		this.store(rollout);
	}

	/**
	 * Applies changes of the store.
	 *
	 * @param changed - Rollouts that were written.
	 * @param gone - Names of objects that were removed.
	 * @param at - Position of the changes.
	 * @param sentAt - Monotonic milliseconds at which the changes were requested.
	 */
	applyChanges(changed: readonly StoredRollout[], gone: readonly string[], at: number, sentAt: number): void {
		const kept = [...this.stored.values()].filter(({name}) => !gone.includes(name));
		const newer = changed.filter(({order: {service}, revision}) => revision >= (this.stored.get(service)?.revision ?? 0));
		this.applyListing([...new Map([...kept, ...newer].map(rollout => [rollout.order.service, rollout])).values()], at, sentAt);
	}

	/**
	 * Applies what a box that follows the store passed on.
	 *
	 * @param update - The update.
	 * @param permits - Permits of this process, where the sender knows them.
	 * @param madeAt - Monotonic milliseconds before which the update cannot have been made; `undefined` if unknown.
	 */
	applyUpdate({at, age, directives}: RolloutUpdate, permits: readonly StepPermits[], madeAt: number | undefined): void {
		if (!directives) {
			return;
		}

		this.applyDirectives(directives, at);
		this.advance(at, madeAt === undefined ? Number.NEGATIVE_INFINITY : madeAt - age);
		for (const {service, ...step} of permits) {
			this.permitsOf(service).apply(step);
		}
	}

	/**
	 * @param process - Name of another process.
	 * @returns Its permits.
	 */
	permitsFor(process: string): readonly StepPermits[] {
		return [...this.grants.values()].flatMap(grants => grants.get(process) ?? []);
	}

	/**
	 * Whether this box knows all rollouts that were ordered before a version came into use. A replica of an unknown version may be the target of an order
	 * that this box has not received.
	 *
	 * @param entry - Entry of a replica.
	 * @returns Whether its version may be used, as far as no rollout forbids it.
	 */
	trusts({service, software, revision}: Pick<ReplicaEntry, 'service' | 'software' | 'revision'>): boolean {
		if (!this.isEnabled) {
			return true;
		}

		const versions = getOrCreate(this.trusted, service, () => new Set<string>());
		if (versions.has(software)) {
			return true;
		}

		if (revision <= this.position) {
			versions.add(software);
			return true;
		}

		if (this.isOnlyVersion(service, software)) {
			return true;
		}

		this.wantedPosition = Math.max(this.wantedPosition, revision);
		return this.trustsUnproven(service, software, revision);
	}

	/**
	 * @param entry - Entry of a replica.
	 * @returns Whether the replica counts as capacity of its service; one of a version on trial or reverted does not.
	 */
	mayServe({service, software}: Pick<ReplicaEntry, 'service' | 'software'>): boolean {
		const directive = this.of(service);
		return directive?.target !== software || directive.phase === 'shift' || directive.phase === 'complete';
	}

	/** Whether directives that expose requests hold: this box knew a short time ago that they are the newest. */
	get isProven(): boolean {
		return this.age < Math.min(maxLease, (this.services.rollback() ?? 0) * leasePart);
	}

	/**
	 * Takes a permit of this process for a request.
	 *
	 * @param service - Name of its service.
	 * @param route - Name of its route.
	 * @returns The step of the permit; `undefined` if there is none.
	 */
	takePermit(service: string, route: string): number | undefined {
		const directive = this.of(service);
		const isWanted = directive?.phase === 'trial' && (directive.routes.length === 0 || directive.routes.includes(route));
		return isWanted && this.isProven ? this.permits.get(service)?.take() : undefined;
	}

	/**
	 * @param service - Name of a service.
	 * @param step - Step of a permit that was taken.
	 * @returns Whether the request may still be sent to the target version.
	 */
	isPermitValid(service: string, step: number): boolean {
		return this.of(service)?.phase === 'trial' && this.isProven && this.permits.get(service)?.isValid(step) === true;
	}

	/**
	 * @param service - Name of a service.
	 * @returns Use of the permits of this process in the step that it knows.
	 */
	permitUse(service: string): PermitUse {
		return this.permitsOf(service).useOf(this.of(service)?.step ?? 0);
	}

	/** Whether nothing else can serve, so that there is nothing to compare the version with. A process that has just started cannot tell that from the list. */
	private isOnlyVersion(service: string, software: string): boolean {
		const {versions, onlyRecorded} = this.services;
		return (versions.isCertain ? versions.only(service) : onlyRecorded(service)) === software;
	}

	/** Without the store, a service with one listed version is served after a short wait. */
	private trustsUnproven(service: string, software: string, revision: number): boolean {
		const {clock, versions} = this.services;
		if (!this.isKnown || versions.only(service) !== software) {
			this.waitingSince.delete(service);
			return false;
		}

		this.unservedUpTo = Math.max(this.unservedUpTo, revision);
		const now = clock.monotonic();
		const known = this.waitingSince.get(service);
		const {at} = known?.software === software ? known : {at: now};
		this.waitingSince.set(service, {software, at});
		return now - at > maxOnlyVersionWait;
	}

	private permitsOf(service: string): TrialPermits {
		return getOrCreate(this.permits, service, () => TrialPermits.create(this.services.clock));
	}

	private advance(at: number, provenAt: number): void {
		if (at >= this.position) {
			this.provenAt = Math.max(this.provenAt, provenAt);
			this.position = at;
		}
	}

	private isKnownOrder(directive: RolloutDirective): boolean {
		const known = this.directives.get(directive.service);
		return known !== undefined && isSameOrder(known, directive);
	}

	/** Keeps a rollout that was read or written, and takes the permits of this process from it. */
	private store(rollout: StoredRollout): void {
		const {service} = rollout.order;
		const grants = grantsOf(rollout);
		this.stored.set(service, rollout);
		this.grants.set(service, grants);
		const {step = directiveOf(rollout).step, count = 0} = grants.get(this.services.process) ?? {};
		this.permitsOf(service).apply({step, count});
	}

	private applyDirectives(directives: readonly RolloutDirective[], at: number): void {
		const listed = new Set(directives.map(({service}) => service));
		const isNewest = at >= this.position;
		for (const known of isNewest ? this.all.filter(({service}) => !listed.has(service)) : []) {
			this.remove(known);
		}

		for (const directive of directives.filter(one => this.isLater(one, at, isNewest))) {
			this.apply(directive, at);
		}
	}

	/** Steps of an order only increase, except where the store was restored from a backup; so a later step counts whatever position its sender knows. */
	private isLater(directive: RolloutDirective, at: number, isNewest: boolean): boolean {
		const known = this.directives.get(directive.service);
		if (!known || !this.isKnownOrder(directive) || eraOf(at) > (this.eras.get(directive.service) ?? 0)) {
			return isNewest;
		}

		return directive.step > known.step || (isNewest && directive.step === known.step);
	}

	/** Without its order, a version that was not completed stays excluded. */
	private remove(known: RolloutDirective): void {
		if (known.phase === 'complete') {
			this.directives.delete(known.service);
		} else {
			this.directives.set(known.service, {...known, phase: 'reverted'});
		}
	}

	private apply(directive: RolloutDirective, at: number): void {
		this.eras.set(directive.service, eraOf(at));
		const known = this.directives.get(directive.service);
		const isSame = known !== undefined && isSameOrder(known, directive);
		if (!isSame) {
			this.permitsOf(directive.service).reset();
		}

		// A store that was restored from a backup may have lost that the version is bad.
		const applied: RolloutDirective = isSame && known.phase === 'reverted' ? {...directive, phase: 'reverted'} : directive;
		this.directives.set(directive.service, applied);
		if (isSame && known.phase === applied.phase && known.step === applied.step) {
			return;
		}

		this.services.log.write('rolloutApplied', {
			service: directive.service, target: applied.target, phase: applied.phase, step: applied.step, share: applied.share, age: Math.round(Math.min(this.age, Number.MAX_SAFE_INTEGER)),
		});
		this.services.onStep();
	}
}
