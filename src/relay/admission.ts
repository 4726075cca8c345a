/**
 * Refuses requests immediately that cannot be served in time, so that requests that can be are not delayed by them.
 *
 * @remarks
 * The load pattern: for some seconds more requests arrive than the replicas serve, for example after a data centre was reclaimed. If all
 * are admitted, the queues grow until every answer is late. A request is therefore refused when the expected wait exceeds a limit; the
 * limit is lower for less urgent requests, so that these are refused first and the wait of the more urgent ones stays short. The most
 * urgent requests are refused only if they cannot be served before their deadline. Source: H. Zhou and others, "Overload control for
 * scaling WeChat microservices", SoCC 2018; docs/DECISIONS.md, "Admission by urgency".
 */
import type {ReplicaWork} from '../replicas/replica.js';

/** Longest expected wait of the least urgent requests, as a fraction of the route's goal; beyond it they are refused. */
const maxWaitInGoals = 0.5;
/** Factor by which that limit grows with each more urgent level. */
const maxWaitFactorPerLevel = 1.5;
const millisecondsPerSecond = 1000;

/** The request of an admission decision. */
export type AdmissionFacts = {
	/** Milliseconds within which its answer should begin. */
	readonly goal: number;
	/** Milliseconds until its deadline. */
	readonly timeLeft: number;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Urgencies of all routes that lead to the service. */
	readonly urgencies: readonly number[];
};

/** A replica that may serve the request, with the expected milliseconds until it starts it. */
export type Place = {readonly wait: number};

/** The decision on a request. */
export type AdmissionVerdict<Candidate extends Place> =
	| {readonly kind: 'admit'; readonly place: Candidate}
	/** The client may retry after `retryDelay` milliseconds. */
	| {readonly kind: 'refuse'; readonly retryDelay: number};

/** What the expected wait at a replica depends on. */
export type WaitFacts = {
	readonly work: ReplicaWork;
	readonly slots: number;
	/** Prompt tokens that a replica reads in a second; zero if not measured yet. */
	readonly readRate: number;
	/** Mean milliseconds that a request occupies a slot. */
	readonly duration: number;
};

/**
 * @param facts - The work at the replica.
 * @returns Expected milliseconds until the replica starts a new request of the lowest urgency; zero while no read rate has been measured.
 */
export function expectedWait({work: {requests, unreadTokens}, slots, readRate, duration}: WaitFacts): number {
	return readRate === 0
		? 0
		: (unreadTokens / readRate * millisecondsPerSecond) + (Math.max(0, requests + 1 - slots) / slots * duration);
}

/**
 * @param places - Replicas that may serve the request, best first; at least one.
 * @param facts - The request.
 * @returns The best replica if it starts the request soon enough, otherwise one without a wait, or a refusal. Others with a short wait
 * are not taken: of many predictions, the lowest are mostly too low.
 */
export function admit<Candidate extends Place>(places: readonly Candidate[], facts: AdmissionFacts): AdmissionVerdict<Candidate> {
	const [best] = places;
	const excess = best!.wait - maxWaitFor(facts);
	const place = excess <= 0 ? best : places.find(({wait}) => wait === 0);
	return place ? {kind: 'admit', place} : {kind: 'refuse', retryDelay: excess};
}

function maxWaitFor({goal, timeLeft, urgency, urgencies}: AdmissionFacts): number {
	const lessUrgent = new Set(urgencies.filter(other => other > urgency)).size;
	const isMostUrgent = urgencies.every(other => other >= urgency);
	return isMostUrgent ? timeLeft : Math.min(timeLeft, goal * maxWaitInGoals * (maxWaitFactorPerLevel ** lessUrgent));
}
