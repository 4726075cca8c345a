/**
 * Judges a soak by what clients and replicas saw.
 */
import {Buffer} from 'node:buffer';
import {testKey} from '../relay/relay-installation.js';
import type {ReplicaStandin} from '../relay/replica-standin.js';
import {fingerprintOf} from '../../src/quarantine/fingerprint.js';
import {spareKey, type SoakAttempt} from './soak-clients.js';
import {drainTime, poisonMark, type Drain} from './soak-faults.js';
import type {SoakRelay} from './soak-relay.js';

/** What was seen. */
export type SoakRecord = {
	readonly attempts: readonly SoakAttempt[];
	readonly replicas: readonly ReplicaStandin[];
	readonly relays: readonly SoakRelay[];
	readonly drains: readonly Drain[];
	readonly poisonEnds: readonly number[];
	readonly keyTakenAt: number | undefined;
	/** Events of each stream. */
	readonly streamEvents: number;
	/** Lines of all lives of the relays' processes. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

/** Milliseconds in which a key that was taken away may still be used. */
const revokeTime = 5000;
/** Milliseconds for what was sent in time to arrive. */
const arrivalTime = 400;
/** Milliseconds around a kill or a freeze in which a connection may be cut. */
const aroundKills = 4500;
/** Replicas that one request may end: three, what relays send before they hear of them, and a trial. */
const poisonEndsAllowed = 9;
/** Runs of it that may follow once the third replica has ended for as long. */
const latePoisonAllowed = 3;
const contactTime = 3000;
const refusals: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const idsOf = (body: string): readonly string[] => [...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(match => match.groups!.id!);

/** The judge. */
export class SoakJudge {
	/**
	 * @param record - What was seen.
	 * @returns The judge of it.
	 */
	static create(record: SoakRecord): SoakJudge {
		return new SoakJudge(record);
	}

	private readonly runsOf = new Map<string, number>();
	private readonly arrivalsOf = new Map<string, number>();

	private constructor(private readonly record: SoakRecord) {
		for (const {id, hasRun} of record.replicas.flatMap(({seen}) => seen)) {
			this.arrivalsOf.set(id, (this.arrivalsOf.get(id) ?? 0) + 1);
			this.runsOf.set(id, (this.runsOf.get(id) ?? 0) + (hasRun ? 1 : 0));
		}
	}

	/** What was broken, a line each; none where all promises were kept. */
	get broken(): readonly string[] {
		return [
			...this.record.attempts.flatMap(attempt => this.faultsOf(attempt)),
			...this.lateArrivals,
			...this.poison,
			...this.ends,
		];
	}

	private faultsOf(attempt: SoakAttempt): readonly string[] {
		const {id, kind, status, key, sentAt} = attempt;
		const runs = this.runsOf.get(id) ?? 0;
		const {keyTakenAt = Number.POSITIVE_INFINITY} = this.record;
		const checks: ReadonlyArray<readonly [isBroken: boolean, what: string]> = [
			[kind === 'once' && runs > 1, `ran ${runs} times, though it may run once`],
			[kind === 'once' && refusals.has(status) && runs > 0, `was told ${status}, and has run`],
			[status >= 300 && status < 500 && !refusals.has(status) && key === testKey, `was told ${status}, though it is allowed`],
			[status === 200 && key === spareKey && sentAt > keyTakenAt + revokeTime, 'was run under a key that had been taken away'],
			[status === 200 && !this.isOwnAnswer(attempt), `got an answer that is not its own or not whole: ${JSON.stringify(attempt.body.slice(0, 80))}`],
			[status === 0 && this.isLost(attempt), 'was passed on, and its connection closed without an answer'],
		];
		return checks.filter(([isBroken]) => isBroken).map(([, what]) => `${id} (${kind} at ${attempt.relay.name}): ${what}`);
	}

	/** An answer that looks whole is the replica's own, to the last event. */
	private isOwnAnswer({id, kind, headers, body, isWhole}: SoakAttempt): boolean {
		if (headers['attempt-id'] !== id && kind !== 'stream') {
			return false;
		}

		const expected = Array.from({length: this.record.streamEvents}, (_, index) => String(index + 1));
		const ids = idsOf(body);
		if (kind !== 'stream') {
			return !isWhole || /^answer of i-\d+$/v.test(body);
		}

		return ids.every((event, index) => event === expected[index]) && (!isWhole || ids.length === expected.length);
	}

	private isLost({id, relay, sentAt, endedAt}: SoakAttempt): boolean {
		const wasKilled = relay.kills.some(at => at > sentAt - aroundKills && at < endedAt + 500);
		return !wasKilled && (this.arrivalsOf.get(id) ?? 0) > 0;
	}

	private get lateArrivals(): readonly string[] {
		return this.record.drains.flatMap(({replica, at}) => replica.seen
			.filter(seen => seen.at > at + drainTime + arrivalTime)
			.map(seen => `${seen.id} reached ${replica.id} ${Math.round(seen.at - at)} ms after it said that it leaves`));
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

	private get ends(): readonly string[] {
		const {relays, lines} = this.record;
		const poisoned = fingerprintOf({
			method: 'POST', target: '/calls/x', clientAccount: 'basin', body: Buffer.from(poisonMark),
		});
		return [
			...relays.filter(({ownEnds}) => ownEnds > 0).map(({name, ownEnds}) => `${name} ended by itself ${ownEnds} times`),
			...lines.filter(({eventName}) => eventName === 'roleFailed' || eventName === 'requestFailed').map(line => `a fault of the program: ${JSON.stringify(line)}`),
			...lines.filter(({eventName, fingerprint}) => eventName === 'requestQuarantined' && fingerprint !== poisoned).map(line => `an innocent request is kept away: ${JSON.stringify(line)}`),
		];
	}
}
