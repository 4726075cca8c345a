/**
 * Refuses less urgent requests immediately when replicas are overloaded, so that more urgent requests are served in time.
 *
 * @remarks Source: docs/DECISIONS.md, "Admission by urgency".
 */
import type {Replica} from '../replicas/replica.js';
import type {ServiceDemand} from '../replicas/service-demand.js';

/** Longest expected wait of the least urgent requests, as a multiple of the route's goal; beyond it they are refused. */
const maxWaitInGoals = 1;
/** Factor by which that limit grows with each more urgent level. */
const maxWaitFactorPerLevel = 2;
const millisecondsPerSecond = 1000;

/** Input of an admission decision. */
export type AdmissionFacts = {
	/** The best replica for the request. */
	readonly replica: Replica;
	readonly demand: ServiceDemand;
	/** Milliseconds within which its answer should begin. */
	readonly goal: number;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Urgencies of all routes that lead to the service. */
	readonly urgencies: readonly number[];
};

/**
 * @param facts - The replica and the measured demand for its service.
 * @returns Expected milliseconds until the replica starts a new request of the lowest urgency; zero while no read rate has been measured.
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
 * @param facts - The request and the best replica for it.
 * @returns Milliseconds after which the client should retry; `undefined` if the request is admitted.
 */
export function retryDelayIfRefused(facts: AdmissionFacts): number | undefined {
	const {goal, urgency, urgencies} = facts;
	const lessUrgent = new Set(urgencies.filter(other => other > urgency)).size;
	const isMostUrgent = urgencies.every(other => other >= urgency);
	if (isMostUrgent) {
		return undefined;
	}

	const wait = expectedWait(facts);
	return wait > goal * maxWaitInGoals * (maxWaitFactorPerLevel ** lessUrgent) ? wait : undefined;
}
