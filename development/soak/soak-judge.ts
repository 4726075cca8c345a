/**
 * Judges a soak by what clients and replicas saw.
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

/** What was seen. */
export type SoakRecord = {
	readonly attempts: readonly SoakAttempt[];
	readonly replicas: readonly ReplicaStandin[];
	readonly relays: readonly SoakRelay[];
	readonly drains: readonly Drain[];
	readonly cutOffs: readonly CutOff[];
	readonly limitSpells: readonly LimitSpell[];
	readonly poisonEnds: readonly number[];
	/** Monotonic milliseconds at which keys were taken away. */
	readonly takenAt: ReadonlyMap<string, number>;
	/** Events of each stream. */
	readonly streamEvents: number;
	/** Lines of all lives of the relays' processes. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/** Milliseconds for what was sent in time to arrive. */
const arrivalTime = 400;
/** Milliseconds in which a box hears what is said, also behind a cut. */
const hearingTime = 1000;
/** Milliseconds around a kill or a freeze in which a connection may be cut. */
const aroundKills = 4500;
/** Replicas that one request may end: three, what relays send before they hear of them, and a trial. */
const poisonEndsAllowed = 9;
/** Runs of it that may follow once the third replica has ended for as long. */
const latePoisonAllowed = 3;
const contactTime = 3000;
/** Milliseconds of the spans in which requests at a replica that names a limit are counted; of what it allows so many times may come, and a few more. */
const limitSpan = 4000;
const limitSlack = {factor: 1.5, requests: 5} as const;
/** Milliseconds for which a relay that starts has no need to know of limits. */
const startTime = 4500;
/** Milliseconds after an answer that asks for a pause from which on requests count, and how many may come all the same. */
const pauseNotice = 500;
const pauseSlack = 2;
const refusals: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** The judge. */
export class SoakJudge {
	/**
	 * @param record - What was seen.
	 * @returns The judge of it.
	 */
	static create(record: SoakRecord): SoakJudge {
		return new SoakJudge(record);
	}

	/** Ids of the replicas that ran each request, one for each run. */
	private readonly runnersOf = new Map<string, readonly string[]>();
	private readonly arrivalsOf = new Map<string, number>();
	/** What last reached a replica of each request. */
	private readonly lastRunOf = new Map<string, SeenRequest>();

	/** The relay that each request was sent to. */
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

	/** What was broken, a line each; none where all promises were kept. */
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
			[kind === 'once' && runs > 1, `ran ${runs} times, though it may run once`],
			[kind === 'once' && refusals.has(status) && runs > 0, `was told ${status}, and has run`],
			[status >= 300 && status < 500 && !refusals.has(status) && key === testKey, `was told ${status}, though it is allowed`],
			[status === 200 && sentAt > takenAt + revokeTime, 'was run under a key that had been taken away'],
			[wrong !== undefined, `its answer ${wrong}`],
			[status === 0 && this.isLost(attempt), 'was passed on, and its connection closed without an answer'],
			[kind === 'stream' && status === 200 && !attempt.isWhole && this.wasCutForNothing(attempt), 'was cut, though its last run wrote all that was to come'],
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
			.map(seen => `${seen.id} reached ${replica.id} ${Math.round(seen.at - at)} ms after it said that it leaves`));
	}

	/** Requests at replicas that had told the relay, in an answer that a client has, that they leave. */
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
					? [`${id} reached ${replica} ${Math.round(at - toldAt)} ms after an answer had told its relay that the replica leaves`]
					: [];
			});
		});
	}

	/** Requests of a relay in a time in which a replica had asked it for none. */
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

	/** Whether the relay that sent a request could hear nothing between a replica's word and the request. */
	private isUnheard(id: string, saidAt: number, seenAt: number): boolean {
		const relay = this.relayOf.get(id);
		return this.record.cutOffs.some(({relay: cutOff, from, to}) => cutOff === relay && from < saidAt + hearingTime && to > seenAt - hearingTime);
	}

	private get poison(): readonly string[] {
		const {poisonEnds} = this.record;
		const third = poisonEnds[2] ?? Number.POSITIVE_INFINITY;
		const late = poisonEnds.filter(at => at > third + contactTime).length;
		return [
			...(poisonEnds.length > poisonEndsAllowed ? [`one request ended ${poisonEnds.length} replicas`] : []),
			...(late > latePoisonAllowed ? [`one request ended ${late} replicas later than ${contactTime} ms after the third`] : []),
		];
	}

	/** From when all boxes have to know, those alone that were not started anew or stood still meanwhile. */
	private get beyondLimits(): readonly string[] {
		return this.record.limitSpells.flatMap(({replica, limit, from, to}) => {
			const times = replica.seen.filter(({id, at}) => at >= from + contactTime && at <= to && !this.wasStartedSince(id, from - startTime, at)).map(({at}) => at);
			const most = mostWithin(times, limitSpan);
			const allowed = (limitSlack.factor * limit * limitSpan / 1000) + limitSlack.requests;
			return most > allowed ? [`${replica.id} named ${limit} requests a second and got ${most} in ${limitSpan} ms; ${allowed} are allowed`] : [];
		});
	}

	/** Whether the relay that sent a request was killed, stopped or frozen in a while. */
	private wasStartedSince(id: string, from: number, to: number): boolean {
		const relay = this.relayOf.get(id);
		return [...relay?.kills ?? [], ...relay?.stops ?? []].some(at => at >= from && at <= to);
	}

	private get ends(): readonly string[] {
		const {relays, lines} = this.record;
		return [
			...relays.filter(({ownEnds}) => ownEnds > 0).map(({name, ownEnds}) => `${name} ended by itself ${ownEnds} times`),
			...lines.filter(({eventName}) => eventName === 'roleFailed' || eventName === 'requestFailed').map(line => `a fault of the program: ${JSON.stringify(line)}`),
			...refusedInnocents(lines).map(line => `an innocent request is kept away: ${JSON.stringify(line)}`),
		];
	}
}

const wasKilledAround = ({relay, sentAt, endedAt}: SoakAttempt): boolean => relay.kills.some(at => at > sentAt - aroundKills && at < endedAt + 500);

/**
 * Lines of refusals of requests that a box had taken for one that ends replicas, and that is none. A box that takes one for it and
 * has not refused it has not heard yet what others saw; at the end of the soak each must be served everywhere.
 */
function refusedInnocents(lines: SoakRecord['lines']): SoakRecord['lines'] {
	const taken = new Set(innocentLines(lines).map(({node, fingerprint}) => `${String(node)} ${String(fingerprint)}`));
	return lines.filter(({eventName, reason, node, fingerprint}) => eventName === 'requestRefused' && reason === 'quarantined' && taken.has(`${String(node)} ${String(fingerprint)}`));
}

/**
 * @param lines - Lines of relays.
 * @returns Those that tell that a request is kept away which does not end replicas.
 */
export function innocentLines(lines: SoakRecord['lines']): SoakRecord['lines'] {
	const poisoned = fingerprintOfRequest('calls', poisonMark);
	return lines.filter(({eventName, fingerprint}) => eventName === 'requestQuarantined' && fingerprint !== poisoned);
}

/**
 * @param kind - What a client sends.
 * @param body - Its body.
 * @returns The name under which relays know it.
 */
export const fingerprintOfRequest = (kind: SoakRequestKind, body: string): string => fingerprintOf({
	method: 'POST', target: `/${kind}/x`, clientAccount: 'basin', body: Buffer.from(body),
});
