/**
 * Decides the next step of one request: send it to a replica, wait, or refuse it.
 */
import {sumOf} from '../base/sum.js';
import type {Slot} from '../replicas/limit-slots.js';
import type {Replica} from '../replicas/replica.js';
import type {ChoiceRequest} from '../replicas/replica-choice.js';
import {refusedFor} from './admission.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {QueuedRequest} from './limit-queue.js';
import type {RelayServices} from './relay-services.js';
import type {RunStory} from './run-story.js';
import type {RunSuspicion} from './run-suspicion.js';

/** The next step of a request. */
export type RunDecision =
	/** Send it to the replica; the slot is its share of the replica's rate limit. */
	| {readonly kind: 'go'; readonly replica: Replica; readonly slot: Slot | undefined}
	/** Wait until other requests that replicas crashed under have run. */
	| {readonly kind: 'turn'}
	/** Decide again after `wait` milliseconds, when a replica may have capacity. */
	| {readonly kind: 'wait'; readonly wait: number}
	/** Refuse it; the client may retry after `comeBack` milliseconds. */
	| {readonly kind: 'refuse'; readonly reason: 'no-upstream' | 'capacity-short' | 'replica-limit'; readonly detail: string; readonly comeBack: number};

/** Dependencies of the choice. */
export type RunChoiceServices = {
	readonly services: RelayServices;
	readonly suspicion: RunSuspicion;
	readonly choiceRequest: ChoiceRequest;
	readonly story: RunStory;
	/** @returns The request, with the route of the configuration that is now in force. */
	readonly request: () => AdmittedRequest;
	/** @returns Whether to wait when no replica is available: a replica may have run the request, and there is no error answer to send instead. */
	readonly waitsForReplica: () => boolean;
};

/**
 * Number of refused connections after which a request no longer tries replicas that have recently refused connections: each attempt would
 * cost a connection and most likely fail.
 */
const mostRefusedConnections = 8;
/** Bounds, in milliseconds, of the interval between checks while a request waits for capacity: more urgent requests may arrive, and limits may end. */
const looks = {least: 5, longest: 50} as const;
/** Milliseconds between checks for a replica that is newly listed or accepts connections again. */
const replicaCheckInterval = 20;

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
	/** Set while the request waits for capacity at a replica. */
	private queued: QueuedRequest | undefined;
	private readonly wasKept = {limited: false, paused: false};

	private constructor(private readonly parts: RunChoiceServices) {}

	/** @returns The next step of the request. */
	choose(): RunDecision {
		const {services: {replicas}, suspicion, request} = this.parts;
		const {service} = request();
		if (suspicion.mustWait) {
			return {kind: 'turn'};
		}

		const ready = replicas.ready(service);
		if (ready.length === 0) {
			return this.withoutReplica(`No replica of service ${service} can take the request.`);
		}

		const open = this.withRoom(ready);
		const candidates = this.candidatesAmong(open);
		if (candidates) {
			return this.chooseAmong(candidates);
		}

		const full = ready.filter(replica => !open.includes(replica));
		return full.length > 0 ? this.awaitRoom(full) : this.withoutReplica(`All replicas of service ${service} refuse connections.`);
	}

	/** Leaves the queue of waiting requests. */
	close(): void {
		if (this.queued) {
			this.parts.services.limitQueue.leave(this.queued);
			this.queued = undefined;
		}
	}

	private chooseAmong(candidates: readonly Replica[]): RunDecision {
		const {services: {choice}, suspicion, choiceRequest} = this.parts;
		const bounded = suspicion.bounded(candidates);
		return bounded.length > 0 ? this.admit(choice.choose(bounded, choiceRequest)) : {kind: 'turn'};
	}

	/**
	 * Each replica is tried once before any is tried again. A replica that refuses connections is not tried again: it has less work than all
	 * others and would be chosen each time.
	 *
	 * @param open - Replicas that have capacity.
	 * @returns The preferred replicas; `undefined` if all of them refuse connections.
	 */
	private candidatesAmong(open: readonly Replica[]): readonly Replica[] | undefined {
		const {services: {limits, statements}, story} = this.parts;
		const mayBeRefused = story.refusedConnections < mostRefusedConnections;
		const untried = open.filter(replica => !this.tried.has(replica) && (mayBeRefused || !replica.refusesConnections));
		const responsive = untried.filter(({isSilent}) => !isSilent);
		const listening = responsive.filter(({refusesConnections}) => !refusesConnections);
		const sound = listening.filter(({isAvoided}) => !isAvoided);
		const due = sound.filter(replica => limits.isDue(replica));
		const willing = sound.filter(replica => statements.boxesPaused(replica) === 0);
		const again = open.filter(replica => this.tried.has(replica) && !replica.refusesConnections);
		return [due, willing, sound, listening, responsive, untried, again].find(({length}) => length > 0);
	}

	/** Excludes replicas without capacity. If all others have rate limits, requests that wait for them go first unless they are less urgent. */
	private withRoom(ready: readonly Replica[]): readonly Replica[] {
		const {services: {limits, limitQueue, statements}, request} = this.parts;
		const {service, urgency} = request();
		const open = ready.filter(replica => statements.hasRoom(replica));
		if (open.length < ready.length) {
			this.noteKept(ready.filter(replica => !open.includes(replica)));
		}

		const areAllLimited = open.every(replica => limits.limitOf(replica) !== undefined);
		const mustQueue = areAllLimited && limitQueue.hasBefore(this.queued ?? {service, urgency, number: Number.POSITIVE_INFINITY});
		return mustQueue ? [] : open;
	}

	private noteKept(full: readonly Replica[]): void {
		const {services: {metrics, statements}, story, request} = this.parts;
		const {service} = request();
		const paused = full.filter(replica => statements.pauseLeft(replica) > 0).length;
		story.keptFrom = Math.max(story.keptFrom, full.length);
		if (paused > 0 && !this.wasKept.paused) {
			this.wasKept.paused = true;
			metrics.keptFromPaused.inc({service});
		}

		if (paused < full.length && !this.wasKept.limited) {
			this.wasKept.limited = true;
			metrics.keptFromLimited.inc({service});
		}
	}

	/** Refuses a request in favour of more urgent ones only before its first attempt. */
	private admit(replica: Replica): RunDecision {
		const {services: {demands, table, limits}, story, request} = this.parts;
		const {route, service, urgency} = request();
		const wait = story.tries > 0
			? undefined
			: refusedFor({
				replica, urgency, demand: demands.of(service), goal: route.goal, urgencies: table.inForce?.urgencies(service) ?? [],
			});
		if (wait !== undefined) {
			return {
				kind: 'refuse', reason: 'capacity-short', detail: `Replicas of service ${service} are taken by more urgent requests.`, comeBack: wait,
			};
		}

		this.close();
		this.tried.add(replica);
		return {kind: 'go', replica, slot: limits.take(replica)};
	}

	/**
	 * Waits for this box's next slot if the answer can still be in time, and refuses the request otherwise. The slot is reserved for this
	 * box, so waiting serves the client sooner than a retry would.
	 */
	private awaitRoom(ready: readonly Replica[]): RunDecision {
		const {services: {limitQueue, statements}, request} = this.parts;
		const {service, urgency} = request();
		this.queued ??= limitQueue.join(service, urgency);
		const timeLeft = this.timeLeftFor(ready);
		const wait = statements.untilRoom(ready, limitQueue.placeOf(this.queued), Math.max(0, timeLeft));
		if (wait <= timeLeft) {
			return {kind: 'wait', wait: Math.min(looks.longest, Math.max(looks.least, wait))};
		}

		this.close();
		return {
			kind: 'refuse',
			reason: 'replica-limit',
			detail: `All ${ready.length} replicas of service ${service} have asked this box for a pause, or have named limits of which its part is used.`,
			comeBack: this.comeBackAfter(ready, Math.max(0, Number.isFinite(wait) ? wait : timeLeft)),
		};
	}

	/** A pause applies to one box. If a replica has not asked all boxes to pause, another box may serve the client immediately. */
	private comeBackAfter(full: readonly Replica[], untilRoom: number): number {
		const {services: {limits, limitQueue, statements, boxes}, request} = this.parts;
		const {service, urgency} = request();
		const mayServeElsewhere = full.some(replica => statements.pauseLeft(replica) > 0 && statements.boxesPaused(replica) < boxes());
		return mayServeElsewhere
			? 0
			: limitQueue.comeBackAfter({
				service, urgency, untilRoom, rate: sumOf(full.map(replica => limits.partOf(replica))),
			});
	}

	/** Milliseconds that the request may wait so that its answer begins within the goal, or before the deadline if an attempt was made. */
	private timeLeftFor(ready: readonly Replica[]): number {
		const {services: {clock}, story, request} = this.parts;
		const {route, receivedAt, deadlineAt} = request();
		const end = story.tries > 0 ? deadlineAt : Math.min(deadlineAt, receivedAt + route.goal);
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
				kind: 'refuse', reason: 'no-upstream', detail, comeBack: this.untilReplica,
			};
	}

	/** Milliseconds until a replica that was ordered when the last one disappeared may have started. */
	private get untilReplica(): number {
		const {services: {replicas, table}, request} = this.parts;
		const {service} = request();
		const bootTime = table.inForce?.service(service)?.scaling?.bootTime ?? 0;
		return bootTime - replicas.absentFor(service);
	}
}
