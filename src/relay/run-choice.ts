/**
 * Decides the next step of one request: send it to a replica, wait, or refuse it.
 */
import {sumOf} from '../base/sum.js';
import type {Slot} from '../replicas/limit-slots.js';
import type {Replica} from '../replicas/replica.js';
import type {ChoiceRequest, RankedReplica} from '../replicas/replica-choice.js';
import {spreadRetryDelay} from '../retries/retry-delay.js';
import {
	admit, expectedWait, type AdmissionVerdict, type Place,
} from './admission.js';
import {pendingRequest, type AdmittedRequest} from './admitted-request.js';
import type {ForwardingBox} from './forwarding-boxes.js';
import type {QueuedRequest} from './limit-queue.js';
import {QueuePlacement} from './queue-placement.js';
import type {RelayServices} from './relay-services.js';
import type {RunRecord} from './run-record.js';
import type {CrashSuspicion} from './crash-suspicion.js';
import type {StreamVersion} from './stream-version.js';
import type {VersionAssignment} from './version-assignment.js';

/** The next step of a request. */
export type RunDecision =
	/** Send it to the replica; the slot is its share of the replica's rate limit. */
	| {readonly kind: 'go'; readonly replica: Replica; readonly slot: Slot | undefined}
	/** Forward it through another box, which can reach the replicas. */
	| {readonly kind: 'forward'; readonly box: ForwardingBox}
	/** Wait until other requests that replicas crashed under have run. */
	| {readonly kind: 'turn'}
	/** Decide again after `wait` milliseconds, when a replica may have capacity. */
	| {readonly kind: 'wait'; readonly wait: number}
	/** Refuse it: this box stops before an answer is expected. */
	| {readonly kind: 'stop'}
	/** Refuse it; the client may retry after `retryDelay` milliseconds. */
	| {readonly kind: 'refuse'; readonly reason: 'no-upstream' | 'capacity-short' | 'replica-limit' | 'stream-version-gone' | 'box-stopping'; readonly detail: string; readonly retryDelay: number};

/** Dependencies of the choice. */
export type RunChoiceServices = {
	readonly services: RelayServices;
	readonly suspicion: CrashSuspicion;
	readonly version: StreamVersion;
	readonly assignment: VersionAssignment;
	readonly choiceRequest: ChoiceRequest;
	readonly record: RunRecord;
	/** @returns The request, with the route of the configuration that is now in force. */
	readonly request: () => AdmittedRequest;
	/** @returns Whether the answer has begun. */
	readonly hasBegun: () => boolean;
	/** @returns Whether to wait when no replica is available: a replica may have run the request, and there is no error answer to send instead. */
	readonly waitsForReplica: () => boolean;
};

/**
 * Number of refused connections after which a request no longer tries replicas that have recently refused connections: each attempt would
 * cost a connection and most likely fail.
 */
const maxRefusedConnections = 8;
/** Maximum number of other boxes that one request is forwarded to. */
const maxForwards = 4;
/** Bounds, in milliseconds, of the interval between checks while a request waits for capacity: more urgent requests may arrive, and limits may end. */
const capacityCheckInterval = {min: 5, max: 50} as const;
/** Milliseconds after which a client may ask again for a version of which no replica is left: one that crashed may have started again. */
const versionRetryDelay = 1000;
/** Milliseconds between checks for a replica that is newly listed or accepts connections again. */
const replicaCheckInterval = 20;

/** Milliseconds between checks whether the store has a new software version. */
const versionCheckInterval = 10;

/** Makes all decisions for one request. */
export class RunChoice {
	/**
	 * @param services - Its dependencies.
	 * @returns A choice; call {@link close} when the request has ended.
	 */
	static create(services: RunChoiceServices): RunChoice {
		return new RunChoice(services);
	}

	private readonly tried = new Set<Replica>();
	/** Names of the boxes that the request was forwarded to. */
	private readonly triedBoxes = new Set<string>();
	/** Set while the request waits for capacity at a replica. */
	private queued: QueuedRequest | undefined;
	private readonly wasExcluded = {limited: false, paused: false};

	private readonly placement: QueuePlacement;

	private constructor(private readonly parts: RunChoiceServices) {
		this.placement = QueuePlacement.create(parts);
	}

	/** @returns The next step of the request. */
	choose(): RunDecision {
		const {services: {replicas, reach, brittle, boxes}, suspicion, version, request} = this.parts;
		const {service} = request();
		if (!this.mayFinish(0)) {
			return this.stop();
		}

		const ready = this.readyReplicas(service);
		if (ready.length === 0 && version.software !== undefined && replicas.ready(service).length > 0) {
			return this.withoutVersion();
		}

		if (ready.length === 0 && replicas.ready(service).some(replica => version.isPending(replica))) {
			return {kind: 'wait', wait: versionCheckInterval};
		}

		if (ready.length === 0) {
			return this.withoutReplica(`No replica of service ${service} can take the request.`);
		}

		if (reach.isUnreachable(service) && boxes() > 1) {
			return this.forward() ?? this.withoutReplica(`This box can connect to no replica of service ${service}.`);
		}

		if (brittle.ownsNoPlace(service)) {
			return this.forward() ?? this.awaitCapacity(ready);
		}

		if (suspicion.mustWait) {
			return {kind: 'turn'};
		}

		const open = this.withCapacity(ready);
		const candidates = this.candidatesAmong(open);
		if (candidates) {
			return this.chooseAmong(candidates);
		}

		const full = ready.filter(replica => !open.includes(replica));
		return full.length > 0 ? this.awaitCapacity(full) : this.forward() ?? this.withoutReplica(`All replicas of service ${service} refuse connections.`);
	}

	/** Leaves the queues of waiting requests. */
	close(): void {
		this.placement.close();
		if (this.queued) {
			this.parts.services.limitQueue.leave(this.queued);
			this.queued = undefined;
		}
	}

	/** Replicas of a version that the request may be sent to; during a rollout, those of the version that it should be sent to if there are any. */
	private readyReplicas(service: string): readonly Replica[] {
		const {services: {replicas}, version, assignment} = this.parts;
		assignment.prepare();
		const preferred = replicas.ready(service, replica => version.accepts(replica) && assignment.prefers(replica));
		return preferred.length > 0 ? preferred : replicas.ready(service, replica => version.accepts(replica) && assignment.mayUse(replica));
	}

	/** A request that another box forwarded is not forwarded again: two boxes that cannot reach a replica would pass it back and forth. */
	private forward(): RunDecision | undefined {
		const {services: {forwarding}, request, record} = this.parts;
		const {service, origin} = request();
		const box = origin === undefined && record.forwards < maxForwards ? forwarding.choose(service, this.triedBoxes) : undefined;
		if (!box) {
			return undefined;
		}

		this.close();
		this.triedBoxes.add(box.name);
		return {kind: 'forward', box};
	}

	private chooseAmong(candidates: readonly Replica[]): RunDecision {
		const {services: {choice}, suspicion, choiceRequest} = this.parts;
		const eligible = suspicion.eligible(candidates);
		return eligible.length > 0 ? this.admit(choice.rank(eligible, choiceRequest)) : {kind: 'turn'};
	}

	/**
	 * Each replica is tried once before any is tried again. A replica that refuses connections is not tried again: it has less work than all
	 * others and would be chosen each time.
	 *
	 * @param open - Replicas that have capacity.
	 * @returns The preferred replicas; `undefined` if all of them refuse connections.
	 */
	private candidatesAmong(open: readonly Replica[]): readonly Replica[] | undefined {
		const {services: {limits, statements}, record} = this.parts;
		const mayBeRefused = record.refusedConnections < maxRefusedConnections;
		const untried = open.filter(replica => !this.tried.has(replica) && (mayBeRefused || !replica.refusesConnections));
		const responsive = untried.filter(({isSilent}) => !isSilent);
		const listening = responsive.filter(({refusesConnections}) => !refusesConnections);
		const notAvoided = listening.filter(({isAvoided}) => !isAvoided);
		const due = notAvoided.filter(replica => limits.isProbeDue(replica));
		const unpaused = notAvoided.filter(replica => statements.pausedBoxCount(replica) === 0);
		const again = open.filter(replica => this.tried.has(replica) && !replica.refusesConnections);
		return [due, unpaused, notAvoided, listening, responsive, untried, again].find(({length}) => length > 0);
	}

	/** Excludes replicas without capacity. If all others have rate limits, requests that wait for them go first unless they are less urgent. */
	private withCapacity(ready: readonly Replica[]): readonly Replica[] {
		const {services: {limitQueue, statements}, request} = this.parts;
		const {service, urgency} = request();
		const open = ready.filter(replica => statements.hasRoom(replica));
		if (open.length < ready.length) {
			this.recordExcluded(ready.filter(replica => !open.includes(replica)));
		}

		const areAllLimited = open.every(replica => statements.isShared(replica));
		const mustQueue = areAllLimited && limitQueue.hasRequestAhead(this.queued ?? {service, urgency, number: Number.POSITIVE_INFINITY});
		return mustQueue ? [] : open;
	}

	private recordExcluded(full: readonly Replica[]): void {
		const {services: {metrics, statements}, record, request} = this.parts;
		const {service} = request();
		const paused = full.filter(replica => statements.remainingPause(replica) > 0).length;
		record.excludedReplicas = Math.max(record.excludedReplicas, full.length);
		if (paused > 0 && !this.wasExcluded.paused) {
			this.wasExcluded.paused = true;
			metrics.pauseExclusions.inc({service});
		}

		if (paused < full.length && !this.wasExcluded.limited) {
			this.wasExcluded.limited = true;
			metrics.limitExclusions.inc({service});
		}
	}

	/** Refuses a request in favour of more urgent ones only before its first attempt. */
	private admit(ranked: readonly RankedReplica[]): RunDecision {
		const {record, request} = this.parts;
		const {service} = request();
		if (this.placement.applies) {
			return this.placeFromQueue(ranked);
		}

		const verdict = record.attempts > 0 ? {kind: 'admit' as const, place: ranked[0]!} : this.verdictOn(ranked);
		if (verdict.kind === 'refuse') {
			return {
				kind: 'refuse', reason: 'capacity-short', detail: `Replicas of service ${service} are taken by more urgent requests.`, retryDelay: spreadRetryDelay(verdict.retryDelay, Math.random()),
			};
		}

		return this.goTo(verdict.place.replica);
	}

	/**
	 * @param wait - Expected milliseconds until a replica starts the request.
	 * @returns Whether the request is expected to be answered before this box, if it is stopping, exits. Of a stream that has begun only the rest is left, and
	 * it would be cut without another attempt too.
	 */
	private mayFinish(wait: number): boolean {
		const {services: {clock, demands, stop}, record: {firstByteAt}, request, hasBegun} = this.parts;
		const pending = pendingRequest(request(), demands.of(request().service));
		const elapsed = firstByteAt === undefined ? 0 : clock.monotonic() - firstByteAt;
		return stop.mayServe({
			...pending, duration: wait + Math.max(0, pending.duration - elapsed), isCutAtExit: pending.isCutAtExit && !hasBegun(),
		});
	}

	private stop(): RunDecision {
		this.close();
		return {kind: 'stop'};
	}

	private goTo(replica: Replica): RunDecision {
		if (!this.mayFinish(this.parts.record.expectedWait ?? 0)) {
			return this.stop();
		}

		this.close();
		this.tried.add(replica);
		return {kind: 'go', replica, slot: this.parts.services.limits.acquireSlot(replica)};
	}

	private placeFromQueue(ranked: readonly RankedReplica[]): RunDecision {
		const {record, request} = this.parts;
		record.expectedWait = Math.round(ranked[0]!.expectedStart ?? 0);
		const decision = this.placement.decide(ranked);
		switch (decision.kind) {
			case 'place': {
				return this.goTo(ranked[0]!.replica);
			}

			case 'wait': {
				return decision;
			}

			case 'refuse': {
				const reason = decision.reason === 'box-stopping' ? 'box-stopping' : 'capacity-short';
				return {
					kind: 'refuse', reason, detail: `Replicas of service ${request().service} have too much work (${decision.reason}).`, retryDelay: decision.retryDelay,
				};
			}
		}
	}

	private verdictOn(ranked: readonly RankedReplica[]): AdmissionVerdict<RankedReplica & Place> {
		const {services: {clock, demands, fleetRates, table}, request, record} = this.parts;
		const {route, service, urgency, deadlineAt} = request();
		const stale = fleetRates.staleLoad(service);
		const {readRate, duration} = stale?.rates ?? demands.of(service);
		const places = ranked.map(one => ({
			...one, wait: one.expectedStart ?? expectedWait({
				work: one.work, slots: one.replica.entry.slots, readRate, duration,
			}),
		}));
		record.expectedWait = Math.round(places[0]!.wait);
		record.loadAge = stale && Math.round(stale.age);
		return admit(places, {
			goal: route.goal, timeLeft: deadlineAt - clock.monotonic(), urgency, urgencies: table.inForce?.urgencies(service) ?? [],
		});
	}

	/**
	 * Waits for this box's next slot if the answer can still be in time, and refuses the request otherwise. The slot is reserved for this
	 * box, so waiting serves the client sooner than a retry would.
	 */
	private awaitCapacity(ready: readonly Replica[]): RunDecision {
		const {services: {limitQueue, statements}, request} = this.parts;
		const {service, urgency} = request();
		this.queued ??= limitQueue.join(service, urgency);
		const timeLeft = this.timeLeftFor(ready);
		const ahead = limitQueue.positionOf(this.queued);
		const wait = statements.timeUntilRoom(ready, ahead, Math.max(0, timeLeft));
		if (wait <= timeLeft) {
			// A place is free as soon as a request ends, which may be earlier than on average.
			const isNext = ahead === 0 && ready.some(replica => statements.isBrittle(replica));
			return {kind: 'wait', wait: isNext ? capacityCheckInterval.min : Math.min(capacityCheckInterval.max, Math.max(capacityCheckInterval.min, wait))};
		}

		this.close();
		return {
			kind: 'refuse',
			reason: 'replica-limit',
			detail: `All ${ready.length} replicas of service ${service} have asked this box for a pause, or have named limits of which its part is used.`,
			retryDelay: this.retryDelayFor(ready, Math.max(0, Number.isFinite(wait) ? wait : timeLeft)),
		};
	}

	/** A pause applies to one box. If a replica has not asked all boxes to pause, another box may serve the client immediately. */
	private retryDelayFor(full: readonly Replica[], untilCapacity: number): number {
		const {services: {limitQueue, statements, boxes}, request} = this.parts;
		const {service, urgency} = request();
		const mayServeElsewhere = full.some(replica => statements.remainingPause(replica) > 0 && statements.pausedBoxCount(replica) < boxes());
		return mayServeElsewhere
			? spreadRetryDelay(0, Math.random())
			: limitQueue.reserveRetryDelay({
				service, urgency, untilCapacity, rate: sumOf(full.map(replica => statements.ownRate(replica))),
			});
	}

	/** Milliseconds that the request may wait so that its answer begins within the goal, or before the deadline if an attempt was made. */
	private timeLeftFor(ready: readonly Replica[]): number {
		const {services: {clock}, record, request} = this.parts;
		const {route, receivedAt, deadlineAt} = request();
		const end = record.attempts > 0 ? deadlineAt : Math.min(deadlineAt, receivedAt + route.goal);
		return end - clock.monotonic() - Math.min(...ready.map(({latency}) => latency));
	}

	/**
	 * A request that no replica has run is refused immediately, since its client may send it again. A request that may have run waits until
	 * a replica is listed or accepts connections again, or until its deadline: a refusal would end its stream in the middle, or leave its
	 * client without knowing whether it ran.
	 */
	private withoutReplica(detail: string): RunDecision {
		return this.parts.waitsForReplica()
			? {kind: 'wait', wait: replicaCheckInterval}
			: {
				kind: 'refuse', reason: 'no-upstream', detail, retryDelay: spreadRetryDelay(this.untilReplica, Math.random()),
			};
	}

	/** The client is told at once, rather than kept waiting for a version that may never come back. */
	private withoutVersion(): RunDecision {
		const {version: {software}, request} = this.parts;
		return {
			kind: 'refuse',
			reason: 'stream-version-gone',
			detail: `The stream began at software version ${software ?? ''}, of which service ${request().service} has no replica.`,
			retryDelay: spreadRetryDelay(versionRetryDelay, Math.random()),
		};
	}

	/** Milliseconds until a replica that was ordered when the last one disappeared may have started. */
	private get untilReplica(): number {
		const {services: {replicas, table}, request} = this.parts;
		const {service} = request();
		const bootTime = table.inForce?.service(service)?.scaling?.bootTime ?? 0;
		return bootTime - replicas.timeSinceReady(service);
	}
}
