/**
 * Checks the invariants of a soak test against what clients and replicas observed.
 */
import {Buffer} from 'node:buffer';
import {maxWithin} from '../harness/max-within.js';
import {greatestRetryExcess} from '../harness/retry-excess.js';
import {routeTimeout, testKey} from '../relay/relay-installation.js';
import type {ReplicaStandin, SeenRequest} from '../relay/replica-standin.js';
import type {RetryBound} from '../../src/quota/retry-window.js';
import {fingerprintOf, partFingerprintOf} from '../../src/quarantine/fingerprint.js';
import {describeAnswerFault, makersOf} from './soak-answers.js';
import {type SoakAttempt, type SoakRequestKind} from './soak-clients.js';
import {
	drainTime, revokeTime, type CutOff, type Drain, type LimitPeriod,
} from './soak-faults.js';
import {isCrowdRequest} from './soak-crowd.js';
import {poisonBodies, poisonPart} from './soak-poison.js';
import type {SoakRelay} from './soak-relay.js';
import {softwareOf} from './soak-streams.js';

/** Observations of one soak test. */
export type SoakObservations = {
	readonly attempts: readonly SoakAttempt[];
	readonly replicas: readonly ReplicaStandin[];
	readonly relays: readonly SoakRelay[];
	readonly drains: readonly Drain[];
	readonly cutOffs: readonly CutOff[];
	readonly limitPeriods: readonly LimitPeriod[];
	readonly poisonCrashes: readonly number[];
	/** Monotonic milliseconds at which each key was revoked. */
	readonly revokedAt: ReadonlyMap<string, number>;
	/** Number of events in each complete stream. */
	readonly streamEvents: number;
	/** Log lines of all relay processes, including those before a restart. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/** Milliseconds within which a request that was sent before a deadline may still arrive. */
const arrivalTime = 400;
/** Milliseconds within which a box receives an update, also after its isolation ends. */
const isolationMargin = 1000;
/** Milliseconds around the kill or suspension of a relay within which a connection may be cut. */
const killMargin = 4500;
/** Replicas that one request may crash: three, those reached before the relays learn of these crashes, and one trial. */
const maxPoisonCrashes = 9;
/** Crashes allowed later than `propagationTime` after the third crash. */
const maxLatePoisonCrashes = 3;
/** Milliseconds within which all boxes must know of a crash or a limit. */
const propagationTime = 3000;
/**
 * Milliseconds of the sliding window in which requests at a replica that announces a limit are counted. Allowed are the limit times the
 * factor, plus a fixed number of requests.
 */
const limitWindow = 4000;
const limitTolerance = {factor: 1.5, requests: 5} as const;
/** Milliseconds after its start within which a relay need not know the limits of replicas. */
const startTime = 4500;
/** Milliseconds after an answer that asks for a pause during which requests are not counted. */
const pauseGrace = 500;
/** Number of requests tolerated in the rest of a pause. */
const pauseTolerance = 2;
/** The retry budget in the settings of the relays. */
const retryBound: RetryBound = {ratio: 0.2, slack: 60, window: 10_000};
/** HTTP statuses that tell the client that its request was not run. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks the invariants of one soak test. */
export class SoakChecker {
	/**
	 * @param record - Observations of the soak test.
	 * @returns The checker of these observations.
	 */
	static create(record: SoakObservations): SoakChecker {
		return new SoakChecker(record);
	}

	/** By request id, the ids of the replicas that ran the request, one for each run. */
	private readonly runnersOf = new Map<string, readonly string[]>();
	private readonly arrivalsOf = new Map<string, number>();
	/** By request id, the last arrival at a replica. */
	private readonly lastRunOf = new Map<string, SeenRequest>();

	/** By request id, the last relay that the request was forwarded through. */
	private readonly forwarderOf: ReadonlyMap<string, SoakRelay>;
	/** Request ids, each with a replica to which the relay that the client had sent it to sent it itself. */
	private readonly directAttempts: ReadonlySet<string>;
	private readonly attemptOf: ReadonlyMap<string, SoakAttempt>;

	private constructor(private readonly record: SoakObservations) {
		const relayNamed = new Map(record.relays.map(relay => [relay.name, relay]));
		this.forwarderOf = new Map(record.lines.flatMap(({request, via}) => typeof request === 'string' && typeof via === 'string' ? [[request, relayNamed.get(via)!] as const] : []));
		const direct = record.lines.filter(({request, origin}) => typeof request === 'string' && origin === undefined);
		this.directAttempts = new Set(direct.flatMap(line => replicasIn(line).map(replica => `${String(line.request)} ${replica}`)));
		this.attemptOf = new Map(record.attempts.map(attempt => [attempt.id, attempt]));
		for (const {replica, ...seen} of record.replicas.flatMap(({id: replica, seen}) => seen.map(request => ({...request, replica})))) {
			const {id, hasRun, at} = seen;
			this.lastRunOf.set(id, at >= (this.lastRunOf.get(id)?.at ?? 0) ? seen : this.lastRunOf.get(id)!);
			this.arrivalsOf.set(id, (this.arrivalsOf.get(id) ?? 0) + 1);
			this.runnersOf.set(id, [...this.runnersOf.get(id) ?? [], ...(hasRun ? [replica] : [])]);
		}
	}

	/** Violated invariants, one line each; empty if all held. */
	get violations(): readonly string[] {
		return [
			...this.record.attempts.flatMap(attempt => this.violationsOf(attempt)),
			...this.joinedStreams,
			...this.retryViolations,
			...this.lateArrivals,
			...this.arrivalsAfterAnnouncement,
			...this.arrivalsDuringPauses,
			...this.poisonViolations,
			...this.limitViolations,
			...this.relayFailures,
		];
	}

	private violationsOf(attempt: SoakAttempt): readonly string[] {
		const {id, kind, status, key, sentAt} = attempt;
		const runners = this.runnersOf.get(id) ?? [];
		const runs = runners.length;
		const wrong = status === 200 ? describeAnswerFault({attempt, runners, streamEvents: this.record.streamEvents}) : undefined;
		const revokedAt = this.record.revokedAt.get(key) ?? Number.POSITIVE_INFINITY;
		const checks: ReadonlyArray<readonly [isBroken: boolean, what: string]> = [
			[kind === 'once' && runs > 1, `ran ${runs} times, but may run only once`],
			[kind === 'once' && refusalStatuses.has(status) && runs > 0, `was answered with ${status} (not run), but ran`],
			[status >= 300 && status < 500 && !refusalStatuses.has(status) && key === testKey, `was answered with ${status}, but is allowed`],
			[status === 200 && sentAt > revokedAt + revokeTime, 'was served under a key that had been revoked'],
			[wrong !== undefined, `its answer ${wrong}`],
			[status === 0 && this.isLost(attempt), 'was forwarded, but its connection was closed without an answer'],
			[kind === 'stream' && status === 200 && !attempt.isWhole && this.wasCutNeedlessly(attempt), 'was cut, but its last run wrote the rest of the stream'],
		];
		return checks.filter(([isBroken]) => isBroken).map(([, what]) => `${this.secondsTo(sentAt)} s, ${id} (${kind} at ${attempt.relay.name}): ${what}`);
	}

	private secondsTo(at: number): string {
		return ((at - (this.record.attempts[0]?.sentAt ?? at)) / 1000).toFixed(1);
	}

	private isLost(attempt: SoakAttempt): boolean {
		const {relay, sentAt, endedAt} = attempt;
		return !wasKilledAround(attempt) && !relay.mayHaveHitGraceEnd(sentAt, endedAt) && (this.arrivalsOf.get(attempt.id) ?? 0) > 0;
	}

	private wasCutNeedlessly(attempt: SoakAttempt): boolean {
		const {sentAt, endedAt} = attempt;
		return !wasKilledAround(attempt) && endedAt - sentAt < routeTimeout && this.lastRunOf.get(attempt.id)?.isCorrectStream === true;
	}

	private get lateArrivals(): readonly string[] {
		return this.record.drains.flatMap(({replica, at}) => replica.seen
			.filter(seen => seen.at > at + drainTime + arrivalTime && !this.wasIsolated(seen.id, replica.id, at, seen.at))
			.map(seen => `${seen.id} reached ${replica.id} ${Math.round(seen.at - at)} ms after it announced that it is leaving`));
	}

	/** Retries of all relays together that exceed the budget, counted by what the replicas received. */
	private get retryViolations(): readonly string[] {
		const arrivals = this.record.replicas.flatMap(({seen}) => seen).sort((left, right) => left.at - right.at);
		const known = new Set<string>();
		const retried = arrivals.filter(({id}) => known.size === known.add(id).size);
		const retriedAt = retried.map(({at}) => at);
		// A request of a crowd has no attempt; it counts from its first arrival.
		const repeated = new Set(retried);
		const ofCrowds = arrivals.filter(arrival => isCrowdRequest(arrival.id) && !repeated.has(arrival));
		const requestedAt = [...this.record.attempts.map(({sentAt}) => sentAt), ...ofCrowds.map(({at}) => at)].sort((left, right) => left - right);
		const most = greatestRetryExcess({requestedAt, retriedAt}, retryBound);
		return most !== undefined && most.excess > 0 ? [`${most.retries} retries in ${retryBound.window} ms, ${Math.floor(most.allowed)} allowed`] : [];
	}

	/** Streams with events of several software versions, in one answer or over the attempts of their client. */
	private get joinedStreams(): readonly string[] {
		return this.record.attempts.filter(({kind}) => kind === 'stream').flatMap(({id, body, resumes}) => {
			const earlier = resumes === undefined ? '' : this.attemptOf.get(resumes)?.body ?? '';
			const versions = new Set(makersOf(earlier + body).map(replica => softwareOf(replica)));
			return versions.size > 1 ? [`${id} has events of the software versions ${[...versions].join(' and ')}`] : [];
		});
	}

	/** Requests that a relay sent to a replica after an answer through that relay had announced that the replica is leaving. */
	private get arrivalsAfterAnnouncement(): readonly string[] {
		return this.record.replicas.flatMap(({id: replica, seen}) => {
			const announcedAt = new Map<SoakRelay, number>();
			for (const {id} of seen.filter(({announcedLeaving, hasRun}) => announcedLeaving && hasRun)) {
				const attempt = this.attemptOf.get(id);
				if (attempt?.status === 200 && this.runnersOf.get(id)?.at(-1) === replica) {
					announcedAt.set(attempt.relay, Math.min(attempt.endedAt, announcedAt.get(attempt.relay) ?? Number.POSITIVE_INFINITY));
				}
			}

			return seen.flatMap(({id, at}) => {
				const knownAt = announcedAt.get(this.relayOf(id, replica)!) ?? Number.POSITIVE_INFINITY;
				return at > knownAt + drainTime + arrivalTime && !this.wasInterrupted(id, replica, knownAt, at)
					? [`${id} reached ${replica} ${Math.round(at - knownAt)} ms after an answer had informed its relay that the replica is leaving`]
					: [];
			});
		});
	}

	/** Requests that a relay sent to a replica during a pause that the replica had asked it for. */
	private get arrivalsDuringPauses(): readonly string[] {
		return this.record.replicas.flatMap(({id: replica, seen}) => seen.flatMap(({id, at, requestedPause}) => {
			const relay = this.relayOf(id, replica);
			const until = at + (requestedPause ?? 0);
			const others = requestedPause === undefined ? [] : seen.filter(other => other.at > at + pauseGrace && other.at < until && this.relayOf(other.id, replica) === relay);
			return others.length > pauseTolerance && !this.wasInterrupted(id, replica, at, until)
				? [`${replica} asked ${relay?.name} for ${requestedPause} ms without requests and got ${others.length}`]
				: [];
		}));
	}

	/** Whether the relay that sent a request was isolated between a replica's announcement and the request. */
	private wasIsolated(id: string, replica: string, announcedAt: number, seenAt: number): boolean {
		const relay = this.relayOf(id, replica);
		return this.record.cutOffs.some(({relay: cutOff, from, to}) => cutOff === relay && from < announcedAt + isolationMargin && to > seenAt - isolationMargin);
	}

	private get poisonViolations(): readonly string[] {
		const {poisonCrashes} = this.record;
		const third = poisonCrashes[2] ?? Number.POSITIVE_INFINITY;
		const late = poisonCrashes.filter(at => at > third + propagationTime).length;
		return [
			...(poisonCrashes.length > maxPoisonCrashes ? [`one request crashed ${poisonCrashes.length} replicas`] : []),
			...(late > maxLatePoisonCrashes ? [`one request crashed ${late} replicas later than ${propagationTime} ms after the third crash`] : []),
		];
	}

	/** Excess requests at replicas that announced a limit. Requests of relays that were restarted or suspended meanwhile are not counted. */
	private get limitViolations(): readonly string[] {
		return this.record.limitPeriods.flatMap(({replica, limit, from, to}) => {
			const times = replica.seen.filter(({id, at}) => at >= from + propagationTime && at <= to && !this.wasInterrupted(id, replica.id, from - startTime, at)).map(({at}) => at);
			const most = maxWithin(times, limitWindow);
			const allowed = (limitTolerance.factor * limit * limitWindow / 1000) + limitTolerance.requests;
			return most > allowed ? [`${replica.id} announced a limit of ${limit} requests per second and got ${most} in ${limitWindow} ms; ${allowed} are allowed`] : [];
		});
	}

	/** The relay that sent a request to a replica: the one that the client sent it to, or that this one forwarded it through. */
	private relayOf(id: string, replica: string): SoakRelay | undefined {
		const relay = this.attemptOf.get(id)?.relay;
		return this.directAttempts.has(`${id} ${replica}`) ? relay : this.forwarderOf.get(id) ?? relay;
	}

	/** Whether the relay that sent a request to a replica was killed, stopped or suspended between two times. */
	private wasInterrupted(id: string, replica: string, from: number, to: number): boolean {
		const relay = this.relayOf(id, replica);
		return [...relay?.kills ?? [], ...relay?.stops ?? []].some(at => at >= from && at <= to);
	}

	private get relayFailures(): readonly string[] {
		const {relays, lines} = this.record;
		return [
			...relays.filter(({unexpectedExits}) => unexpectedExits > 0).map(({name, unexpectedExits}) => `${name} exited unexpectedly ${unexpectedExits} times`),
			...lines.filter(({eventName}) => eventName === 'roleFailed' || eventName === 'requestFailed').map(line => `a relay logged an internal error: ${JSON.stringify(line)}`),
			...wrongRefusals(lines).map(line => `a request that crashes no replica was refused as quarantined: ${JSON.stringify(line)}`),
		];
	}
}

const wasKilledAround = ({relay, sentAt, endedAt}: SoakAttempt): boolean => relay.kills.some(at => at > sentAt - killMargin && at < endedAt + 500);

/** Replicas that a log line of a request names: the last one, and those of failed attempts. */
function replicasIn({replica, failures}: Readonly<Record<string, unknown>>): readonly string[] {
	const failed = typeof failures === 'string' ? failures.split('; ').map(failure => failure.slice(0, Math.max(0, failure.indexOf(':')))) : [];
	return [...failed, ...(typeof replica === 'string' ? [replica] : [])];
}

/**
 * Log lines of refused requests that a box had wrongly quarantined for crashing replicas. A wrong quarantine without a refusal is allowed:
 * the box may not have received the completions at other boxes yet. At the end of the soak test every relay must serve such a request.
 */
function wrongRefusals(lines: SoakObservations['lines']): SoakObservations['lines'] {
	const quarantined = new Set(wrongQuarantines(lines).map(({node, fingerprint}) => `${String(node)} ${String(fingerprint)}`));
	return lines.filter(({eventName, reason, node, fingerprint}) => eventName === 'requestRefused' && reason === 'quarantined' && quarantined.has(`${String(node)} ${String(fingerprint)}`));
}

/**
 * @param lines - Log lines of relays.
 * @returns Those that report the quarantine of a request that does not crash replicas.
 */
export function wrongQuarantines(lines: SoakObservations['lines']): SoakObservations['lines'] {
	const poisoned = new Set([true, false].flatMap(hasParts => poisonBodies(hasParts)).map(body => fingerprintOfRequest('calls', body) as unknown));
	const poisonedPart = partFingerprintOf('plain', poisonPart);
	return lines.filter(({eventName, fingerprint, parts}) => eventName === 'requestQuarantined' && !poisoned.has(fingerprint) && !String(parts).split(' ').includes(poisonedPart));
}

/**
 * @param kind - Kind of the request.
 * @param body - Body of the request.
 * @returns The fingerprint under which relays know the request.
 */
export const fingerprintOfRequest = (kind: SoakRequestKind, body: string): string => fingerprintOf({
	method: 'POST', target: `/${kind}/x`, clientAccount: 'basin', body: Buffer.from(body),
});
