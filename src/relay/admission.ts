/**
 * Refuses the less urgent at once where replicas are short, so that the more urgent are served in time.
 *
 * @remarks Source: docs/DECISIONS.md, "Admission by urgency".
 */
import type {Replica} from '../replicas/replica.js';
import type {ServiceDemand} from '../replicas/service-demand.js';

/** Goals that the least urgent may be expected to wait before they are refused. */
const leastPatience = 1;
/** How many times longer each more urgent kind may wait. */
const patienceStep = 2;
const millisecondsPerSecond = 1000;

/** What an admission rests on. */
export type AdmissionFacts = {
	/** The replica that is best for the request. */
	readonly replica: Replica;
	readonly demand: ServiceDemand;
	/** Milliseconds within which its answer is to begin. */
	readonly goal: number;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Urgencies of all routes to the service. */
	readonly urgencies: readonly number[];
};

/**
 * @param facts - The replica, and what is known of the service.
 * @returns Milliseconds until the replica comes to a new request of the least urgency; zero where too little is known.
 */
export function expectedWait({replica, demand}: AdmissionFacts): number {
	const {requests, unreadTokens} = replica.work;
	const {slots} = replica.entry;
	const {readRate, duration} = demand;
	if (readRate === 0) {
		return 0;
	}

	const reading = unreadTokens / readRate * millisecondsPerSecond;
	const queue = Math.max(0, requests + 1 - slots) / slots * duration;
	return reading + queue;
}

/**
 * @param facts - The request and the replica that is best for it.
 * @returns Milliseconds after which to come back; `undefined` where it is admitted.
 */
export function refusedFor(facts: AdmissionFacts): number | undefined {
	const {goal, urgency, urgencies} = facts;
	const lessUrgent = new Set(urgencies.filter(other => other > urgency)).size;
	const isMostUrgent = urgencies.every(other => other >= urgency);
	if (isMostUrgent) {
		return undefined;
	}

	const wait = expectedWait(facts);
	return wait > goal * leastPatience * (patienceStep ** lessUrgent) ? wait : undefined;
}
