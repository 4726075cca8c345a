/**
 * Checks the invariants of a soak test against what clients and replicas observed.
 */
import {Buffer} from 'node:buffer';
import {mostWithin} from '../harness/most-within.js';
import {routeTimeout, testKey} from '../relay/relay-installation.js';
import type {ReplicaStandin, SeenRequest} from '../relay/replica-standin.js';
import {fingerprintOf} from '../../src/quarantine/fingerprint.js';
import {faultOfAnswer} from './soak-answers.js';
import {type SoakAttempt, type SoakRequestKind} from './soak-clients.js';
import {
	drainTime, poisonMark, revokeTime, type CutOff, type Drain, type LimitSpell,
} from './soak-faults.js';
import type {SoakRelay} from './soak-relay.js';

/** Observations of one soak test. */
export type SoakRecord = {
	readonly attempts: readonly SoakAttempt[];
	readonly replicas: readonly ReplicaStandin[];
	readonly relays: readonly SoakRelay[];
	readonly drains: readonly Drain[];
	readonly cutOffs: readonly CutOff[];
	readonly limitSpells: readonly LimitSpell[];
	readonly poisonEnds: readonly number[];
	/** Monotonic milliseconds at which each key was revoked. */
	readonly takenAt: ReadonlyMap<string, number>;
	/** Number of events in each complete stream. */
	readonly streamEvents: number;
	/** Log lines of all relay processes, including those before a restart. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/** Milliseconds within which a request that was sent before a deadline may still arrive. */
const arrivalTime = 400;
/** Milliseconds within which a box receives an update, also after its isolation ends. */
const hearingTime = 1000;
/** Milliseconds around the kill or suspension of a relay within which a connection may be cut. */
const aroundKills = 4500;
/** Replicas that one request may crash: three, those reached before the relays learn of these crashes, and one trial. */
const poisonEndsAllowed = 9;
/** Crashes allowed later than `contactTime` after the third crash. */
const latePoisonAllowed = 3;
/** Milliseconds within which all boxes must know of a crash or a limit. */
const contactTime = 3000;
/**
 * Milliseconds of the sliding window in which requests at a replica that announces a limit are counted. Allowed are the limit times the
 * factor, plus a fixed number of requests.
 */
const limitSpan = 4000;
const limitSlack = {factor: 1.5, requests: 5} as const;
/** Milliseconds after its start within which a relay need not know the limits of replicas. */
const startTime = 4500;
/** Milliseconds after an answer that asks for a pause during which requests are not counted, and the number tolerated after that. */
const pauseNotice = 500;
const pauseSlack = 2;
/** HTTP statuses that tell the client that its request was not run. */
const refusals: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks the invariants of one soak test. */
export class SoakJudge {
	/**
	 * @param record - Observations of the soak test.
	 * @returns The checker of these observations.
	 */
	static create(record: SoakRecord): SoakJudge {
		return new SoakJudge(record);
	}

	/** By request id, the ids of the replicas that ran the request, one for each run. */
	private readonly runnersOf = new Map<string, readonly string[]>();
	private readonly arrivalsOf = new Map<string, number>();
	/** By request id, the last arrival at a replica. */
	private readonly lastRunOf = new Map<string, SeenRequest>();

	/** By request id, the relay that the client sent the request to. */
	private readonly relayOf: ReadonlyMap<string, SoakRelay>;
	private readonly attemptOf: ReadonlyMap<string, SoakAttempt>;

	private constructor(private readonly record: SoakRecord) {
		this.relayOf = new Map(record.attempts.map(({id, relay}) => [id, relay]));
		this.attemptOf = new Map(record.attempts.map(attempt => [attempt.id, attempt]));
		for (const {replica, ...seen} of record.replicas.flatMap(({id: replica, seen}) => seen.map(request => ({...request, replica})))) {
			const {id, hasRun, at} = seen;
			this.lastRunOf.set(id, at >= (this.lastRunOf.get(id)?.at ?? 0) ? seen : this.lastRunOf.get(id)!);
			this.arrivalsOf.set(id, (this.arrivalsOf.get(id) ?? 0) + 1);
			this.runnersOf.set(id, [...this.runnersOf.get(id) ?? [], ...(hasRun ? [replica] : [])]);
		}
	}

	/** Violated invariants, one line each; empty if all held. */
	get broken(): readonly string[] {
		return [
			...this.record.attempts.flatMap(attempt => this.faultsOf(attempt)),
			...this.lateArrivals,
			...this.lateAfterStatement,
			...this.inPauses,
			...this.poison,
			...this.beyondLimits,
			...this.ends,
		];
	}

	private faultsOf(attempt: SoakAttempt): readonly string[] {
		const {id, kind, status, key, sentAt} = attempt;
		const runners = this.runnersOf.get(id) ?? [];
		const runs = runners.length;
		const wrong = status === 200 ? faultOfAnswer({attempt, runners, streamEvents: this.record.streamEvents}) : undefined;
		const takenAt = this.record.takenAt.get(key) ?? Number.POSITIVE_INFINITY;
		const checks: ReadonlyArray<readonly [isBroken: boolean, what: string]> = [
			[kind === 'once' && runs > 1, `ran ${runs} times, but may run only once`],
			[kind === 'once' && refusals.has(status) && runs > 0, `was answered with ${status} (not run), but ran`],
			[status >= 300 && status < 500 && !refusals.has(status) && key === testKey, `was answered with ${status}, but is allowed`],
			[status === 200 && sentAt > takenAt + revokeTime, `was served under a key that had been revoked more than ${revokeTime} ms before`],
			[wrong !== undefined, `its answer ${wrong}`],
			[status === 0 && this.isLost(attempt), 'was forwarded, but its connection was closed without an answer'],
			[kind === 'stream' && status === 200 && !attempt.isWhole && this.wasCutForNothing(attempt), 'was cut, but its last run wrote the rest of the stream'],
		];
		return checks.filter(([isBroken]) => isBroken).map(([, what]) => `${this.secondsTo(sentAt)} s, ${id} (${kind} at ${attempt.relay.name}): ${what}`);
	}

	private secondsTo(at: number): string {
		return ((at - (this.record.attempts[0]?.sentAt ?? at)) / 1000).toFixed(1);
	}

	private isLost(attempt: SoakAttempt): boolean {
		const {relay, sentAt, endedAt} = attempt;
		return !wasKilledAround(attempt) && !relay.hasGraceEnded(sentAt, endedAt) && (this.arrivalsOf.get(attempt.id) ?? 0) > 0;
	}

	private wasCutForNothing(attempt: SoakAttempt): boolean {
		const {sentAt, endedAt} = attempt;
		return !wasKilledAround(attempt) && endedAt - sentAt < routeTimeout && this.lastRunOf.get(attempt.id)?.isRightStream === true;
	}

	private get lateArrivals(): readonly string[] {
		return this.record.drains.flatMap(({replica, at}) => replica.seen
			.filter(seen => seen.at > at + drainTime + arrivalTime && !this.isUnheard(seen.id, at, seen.at))
			.map(seen => `${seen.id} reached ${replica.id} ${Math.round(seen.at - at)} ms after it announced that it is leaving`));
	}

	/** Requests that a relay sent to a replica after an answer through that relay had announced that the replica is leaving. */
	private get lateAfterStatement(): readonly string[] {
		return this.record.replicas.flatMap(({id: replica, seen}) => {
			const told = new Map<SoakRelay, number>();
			for (const {id} of seen.filter(({saidLeaving, hasRun}) => saidLeaving && hasRun)) {
				const attempt = this.attemptOf.get(id);
				if (attempt?.status === 200 && this.runnersOf.get(id)?.at(-1) === replica) {
					told.set(attempt.relay, Math.min(attempt.endedAt, told.get(attempt.relay) ?? Number.POSITIVE_INFINITY));
				}
			}

			return seen.flatMap(({id, at}) => {
				const toldAt = told.get(this.relayOf.get(id)!) ?? Number.POSITIVE_INFINITY;
				return at > toldAt + drainTime + arrivalTime && !this.wasStartedSince(id, toldAt, at)
					? [`${id} reached ${replica} ${Math.round(at - toldAt)} ms after an answer had informed its relay that the replica is leaving`]
					: [];
			});
		});
	}

	/** Requests that a relay sent to a replica during a pause that the replica had asked it for. */
	private get inPauses(): readonly string[] {
		return this.record.replicas.flatMap(({id: replica, seen}) => seen.flatMap(({id, at, pauseAsked}) => {
			const relay = this.relayOf.get(id);
			const until = at + (pauseAsked ?? 0);
			const others = pauseAsked === undefined ? [] : seen.filter(other => other.at > at + pauseNotice && other.at < until && this.relayOf.get(other.id) === relay);
			return others.length > pauseSlack && !this.wasStartedSince(id, at, until)
				? [`${replica} asked ${relay?.name} for ${pauseAsked} ms without requests and got ${others.length}`]
				: [];
		}));
	}

	/** Whether the relay that sent a request was isolated between a replica's announcement and the request. */
	private isUnheard(id: string, saidAt: number, seenAt: number): boolean {
		const relay = this.relayOf.get(id);
		return this.record.cutOffs.some(({relay: cutOff, from, to}) => cutOff === relay && from < saidAt + hearingTime && to > seenAt - hearingTime);
	}

	private get poison(): readonly string[] {
		const {poisonEnds} = this.record;
		const third = poisonEnds[2] ?? Number.POSITIVE_INFINITY;
		const late = poisonEnds.filter(at => at > third + contactTime).length;
		return [
			...(poisonEnds.length > poisonEndsAllowed ? [`one request crashed ${poisonEnds.length} replicas; ${poisonEndsAllowed} are allowed`] : []),
			...(late > latePoisonAllowed ? [`one request crashed ${late} replicas later than ${contactTime} ms after the third crash; ${latePoisonAllowed} are allowed`] : []),
		];
	}

	/** Excess requests at replicas that announced a limit. Requests of relays that were restarted or suspended meanwhile are not counted. */
	private get beyondLimits(): readonly string[] {
		return this.record.limitSpells.flatMap(({replica, limit, from, to}) => {
			const times = replica.seen.filter(({id, at}) => at >= from + contactTime && at <= to && !this.wasStartedSince(id, from - startTime, at)).map(({at}) => at);
			const most = mostWithin(times, limitSpan);
			const allowed = (limitSlack.factor * limit * limitSpan / 1000) + limitSlack.requests;
			return most > allowed ? [`${replica.id} announced a limit of ${limit} requests per second and got ${most} in ${limitSpan} ms; ${allowed} are allowed`] : [];
		});
	}

	/** Whether the relay that sent a request was killed, stopped or suspended between two times. */
	private wasStartedSince(id: string, from: number, to: number): boolean {
		const relay = this.relayOf.get(id);
		return [...relay?.kills ?? [], ...relay?.stops ?? []].some(at => at >= from && at <= to);
	}

	private get ends(): readonly string[] {
		const {relays, lines} = this.record;
		return [
			...relays.filter(({ownEnds}) => ownEnds > 0).map(({name, ownEnds}) => `${name} exited unexpectedly ${ownEnds} times`),
			...lines.filter(({eventName}) => eventName === 'roleFailed' || eventName === 'requestFailed').map(line => `a relay logged an internal error: ${JSON.stringify(line)}`),
			...refusedInnocents(lines).map(line => `a request that crashes no replica was refused as quarantined: ${JSON.stringify(line)}`),
		];
	}
}

const wasKilledAround = ({relay, sentAt, endedAt}: SoakAttempt): boolean => relay.kills.some(at => at > sentAt - aroundKills && at < endedAt + 500);

/**
 * Log lines of refused requests that a box had wrongly quarantined for crashing replicas. A wrong quarantine without a refusal is allowed:
 * the box may not have received the completions at other boxes yet. At the end of the soak test every relay must serve such a request.
 */
function refusedInnocents(lines: SoakRecord['lines']): SoakRecord['lines'] {
	const taken = new Set(innocentLines(lines).map(({node, fingerprint}) => `${String(node)} ${String(fingerprint)}`));
	return lines.filter(({eventName, reason, node, fingerprint}) => eventName === 'requestRefused' && reason === 'quarantined' && taken.has(`${String(node)} ${String(fingerprint)}`));
}

/**
 * @param lines - Log lines of relays.
 * @returns Those that report the quarantine of a request that does not crash replicas.
 */
export function innocentLines(lines: SoakRecord['lines']): SoakRecord['lines'] {
	const poisoned = fingerprintOfRequest('calls', poisonMark);
	return lines.filter(({eventName, fingerprint}) => eventName === 'requestQuarantined' && fingerprint !== poisoned);
}

/**
 * @param kind - Kind of the request.
 * @param body - Body of the request.
 * @returns The fingerprint under which relays know the request.
 */
export const fingerprintOfRequest = (kind: SoakRequestKind, body: string): string => fingerprintOf({
	method: 'POST', target: `/${kind}/x`, clientAccount: 'basin', body: Buffer.from(body),
});
