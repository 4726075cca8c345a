/**
 * Where one request goes next: to a replica, or nowhere yet, or nowhere at all.
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

/** What is decided. */
export type RunDecision =
	/** It goes to a replica; the slot is what it uses of the replica's limit. */
	| {readonly kind: 'go'; readonly replica: Replica; readonly slot: Slot | undefined}
	/** Others that replicas ended under run first. */
	| {readonly kind: 'turn'}
	/** To be asked again after some milliseconds: a replica has room then. */
	| {readonly kind: 'wait'; readonly wait: number}
	/** It cannot be served; whoever sent it may come back after some milliseconds. */
	| {readonly kind: 'refuse'; readonly reason: 'no-upstream' | 'capacity-short' | 'replica-limit'; readonly detail: string; readonly comeBack: number};

/** What the choice needs. */
export type RunChoiceServices = {
	readonly services: RelayServices;
	readonly suspicion: RunSuspicion;
	readonly choiceRequest: ChoiceRequest;
	readonly story: RunStory;
	/** @returns The request as the configuration says that is in force by now. */
	readonly request: () => AdmittedRequest;
	/** @returns Whether a replica may have run the request and no replica's answer is left to pass on: it then waits for a replica where there is none. */
	readonly waitsForReplica: () => boolean;
};

/**
 * Refused connections after which a request no longer tries replicas that have just refused others: each would cost a connection and most likely serve
 * nobody.
 */
const mostRefusedConnections = 8;
/** Milliseconds between two looks at a request that waits for room: more urgent ones may have come, and limits may have ended. */
const looks = {least: 5, longest: 50} as const;
/** Milliseconds between two looks for a replica that is listed anew or accepts connections again. */
const replicaCheckInterval = 20;

/** The choices for one request. */
export class RunChoice {
	/**
	 * @param services - What they need.
	 * @returns Choices of which none was made; close it when the request has ended.
	 */
	static create(services: RunChoiceServices): RunChoice {
		return new RunChoice(services);
	}

	private readonly tried = new Set<Replica>();
	/** Present while it waits for room at a replica. */
	private queued: QueuedRequest | undefined;
	private readonly wasKept = {limited: false, paused: false};

	private constructor(private readonly parts: RunChoiceServices) {}

	/** @returns Where the request goes now. */
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

	/** Gives up its place among those that wait. */
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
	 * Each replica is tried once before any is tried again, and one that refuses connections is not tried again: it has less work than all others and
	 * would be chosen each time.
	 *
	 * @param open - Replicas that have room.
	 * @returns The best ones; `undefined` where all of them refuse connections.
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

	/** Whoever waits for room at limited replicas goes before those that come later or are less urgent. */
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

	/** What was begun is not given up for others. */
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

	/** A slot of this box is sure, so that waiting for it serves the caller sooner than coming back would; but only where the answer is still in time. */
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

	/** A pause binds one box: where a replica has not asked all of them, another box may serve the client at once. */
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

	/** Milliseconds for which it may still wait here so that its answer begins in time, or at all where it was begun before. */
	private timeLeftFor(ready: readonly Replica[]): number {
		const {services: {clock}, story, request} = this.parts;
		const {route, receivedAt, deadlineAt} = request();
		const end = story.tries > 0 ? deadlineAt : Math.min(deadlineAt, receivedAt + route.goal);
		return end - clock.monotonic() - Math.min(...ready.map(({latency}) => latency));
	}

	/**
	 * A request that no replica has run is refused at once: its client may send it again. One that may have run waits until a replica is listed or accepts
	 * connections again, or its time is over: refusing it would end its stream in the middle, or leave its client without knowing whether it ran.
	 */
	private withoutReplica(detail: string): RunDecision {
		return this.parts.waitsForReplica()
			? {kind: 'wait', wait: replicaCheckInterval}
			: {
				kind: 'refuse', reason: 'no-upstream', detail, comeBack: this.untilReplica,
			};
	}

	/** Milliseconds until a replica that was ordered when the last one went may serve. */
	private get untilReplica(): number {
		const {services: {replicas, table}, request} = this.parts;
		const {service} = request();
		const bootTime = table.inForce?.service(service)?.scaling?.bootTime ?? 0;
		return bootTime - replicas.absentFor(service);
	}
}
