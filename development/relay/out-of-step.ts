/**
 * Takes streams up at a relay process that is out of step while replicas of a further version join. Development only.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {historyKind, historyName} from '../../src/stream-versions/version-history.js';
import {StallMeter} from '../harness/stall-meter.js';
import {seededBy} from '../soak/seeded-by.js';
import {FaultyRelayHost} from './faulty-relay-host.js';
import {RelayInstallation, routeTo, until} from './relay-installation.js';
import type {RelayLine, StartedRelay} from './relay-host.js';
import {ResumedStream} from './resumed-stream.js';
import type {CallFault} from './store-standin.js';

/** Ways in which a box is out of step. */
export const disturbances = [
	'stopped', 'stopped-long', 'stopped-half-a-minute', 'no-store', 'silent-store', 'no-boxes', 'cut-off', 'cut-off-two-minutes', 'no-boxes-slow-store', 'sends-nothing', 'receives-nothing', 'slow', 'clock-ahead', 'clock-behind',
] as const;

/** A way in which a box is out of step. */
export type Disturbance = typeof disturbances[number];

/** What happens. Times are milliseconds from the moment at which the box gets out of step. */
export type OutOfStepPlan = {
	readonly seed: number;
	readonly boxes: number;
	readonly disturbance: Disturbance;
	readonly duration: number;
	/** When replicas of the second version are listed. */
	readonly joinsAt: number;
	/** When those of the first version leave; `undefined` if they stay. */
	readonly leavesAt: number | undefined;
};

/** A stream that was taken up at the box. */
export type StepTakeUp = {
	readonly attempt: string;
	/** Version that began the stream. */
	readonly version: string;
	/** Monotonic milliseconds at which it was sent, and of the first event or the end of the response. */
	readonly sentAt: number;
	readonly decidedAt: number;
	readonly result: 'continued' | 'refused' | 'cut' | 'closed';
	readonly status: number;
	readonly body: string;
	/** Whether it was sent while the box was out of step. */
	readonly isDuring: boolean;
	/** Whether replicas of the version were listed until the response began, and the box could reach the store or another box. */
	readonly mustContinue: boolean;
	/** Milliseconds until the box refused it, by its own log, without those in which this machine was late with timers; `undefined` without such a line. */
	readonly refusedAfter: number | undefined;
	/** Number of replicas that it was sent to, by the log. */
	readonly tries: number;
	/** Lines that the box logged about the attempt. */
	readonly lines: readonly RelayLine[];
};

/** What came of a plan. */
export type OutOfStepOutcome = {
	readonly plan: OutOfStepPlan;
	readonly takeUps: readonly StepTakeUp[];
	/** Names of streams with events of several versions. */
	readonly joined: readonly string[];
	/** Names of streams whose events are missing, doubled or out of order. */
	readonly torn: readonly string[];
	/** Names of streams that ended as complete before their last event. */
	readonly complete: readonly string[];
	/** Lines of the box that was out of step. */
	readonly lines: readonly RelayLine[];
};

/** Milliseconds between two events; streams go on until the end of the test. */
const gap = 50;
const events = 1200;
/** Milliseconds between two streams that begin. */
const arrivalPause = 60;
/** Milliseconds before the disturbance in which streams begin, and after it in which they are taken up. */
const leadTime = 800;
const afterTime = 2500;
/** Milliseconds after which a client breaks its connection off, at least and beyond that at most. */
const minStreamTime = 150;
const maxFurtherTime = 1200;
/** Milliseconds from the removal of a replica's entry until its process ends. */
const drainTime = 1000;
/** Milliseconds for which the boxes run before versions change: in the first five seconds they write no further version. */
const warmUpTime = 5200;
/** Milliseconds of the delays of a slow box: of each datagram, and of each answer of the store. */
const slowDatagram = 8;
const slowAnswer = 40;
/** The same where the box reaches the store alone; a box waits longer than that for the store to confirm the only version. */
const soleStoreAnswer = 120;
/** Milliseconds by which a clock is set. */
const clockStep = 60_000;
const badGateway = 502;

/**
 * @param seed - Chooses the plan.
 * @param disturbance - How the box gets out of step.
 * @param boxes - Number of relays.
 * @returns The plan.
 */
export function planOutOfStep(seed: number, disturbance: Disturbance, boxes: number): OutOfStepPlan {
	const random = seededBy(seed, disturbance);
	const [shortest, longest] = durations[disturbance] ?? [800, 3000];
	const duration = Math.round(shortest + (random() * (longest - shortest)));
	const joinsAt = Math.round((random() * duration) - 300);
	return {
		seed, boxes, disturbance, duration, joinsAt, leavesAt: random() < 0.4 ? Math.round(joinsAt + 700 + (random() * 500)) : undefined,
	};
}

/** Shortest and longest duration of some disturbances, in milliseconds; boxes forget another one after 20 s. */
const durations: Partial<Record<Disturbance, readonly [number, number]>> = {
	stopped: [100, 1500], 'stopped-long': [3500, 4500], 'stopped-half-a-minute': [21_000, 30_000],
	// The boxes count as one fleet for 100 s after they heard each other last.
	'cut-off-two-minutes': [108_000, 112_000],
};

/** A plan as it is carried out. */
export class OutOfStepRun {
	/**
	 * @param plan - What happens.
	 * @returns What came of it.
	 */
	static async play(plan: OutOfStepPlan): Promise<OutOfStepOutcome> {
		const installation = await RelayInstallation.start({
			relays: 0, replicas: [], routes: [routeTo('/stream/', {
				kind: 'streaming', resumable: true, timeout_ms: 60_000, max_attempts: 4,
			})],
		});
		const names = Array.from({length: plan.boxes}, (_, index) => `relay-${index + 1}`);
		const run = new OutOfStepRun(plan, installation, await FaultyRelayHost.create(installation, names));
		try {
			return await run.run(names);
		} finally {
			await run.close();
		}
	}

	private readonly random: () => number;
	private readonly stalls = StallMeter.start();
	private readonly streams: ResumedStream[] = [];
	private readonly takeUps: Array<Omit<StepTakeUp, 'lines' | 'refusedAfter' | 'tries'>> = [];
	private readonly leftAt = new Map<string, number>();
	private relays: readonly StartedRelay[] = [];
	private startedAt = 0;
	private disturbedFrom = Number.POSITIVE_INFINITY;
	private disturbedUntil = Number.POSITIVE_INFINITY;
	private fault: CallFault = {kind: 'none'};
	private isOver = false;

	private constructor(private readonly plan: OutOfStepPlan, private readonly installation: RelayInstallation, private readonly host: FaultyRelayHost) {
		this.random = seededBy(plan.seed, 'clients');
	}

	private async run(names: readonly string[]): Promise<OutOfStepOutcome> {
		// The boxes belong to a fleet that has run before, whose history is complete.
		this.installation.store.put(historyKind, historyName, {era: this.installation.store.era, completeFrom: 0, services: [{service: 'plain', versions: [{software: 'v1'}]}]});
		this.relays = await Promise.all(names.map(async name => this.host.start(name)));
		await this.list('v1', ['a1', 'a2', 'a3']);
		const {port} = this.host.places.get(this.box.name)!.store;
		this.installation.store.faultOf = call => call.port === port ? this.fault : {kind: 'none'};
		const warmUp = pause(warmUpTime);
		await this.untilServing();
		await warmUp;
		this.startedAt = performance.now() + leadTime;
		const {plan: {duration, joinsAt, leavesAt}} = this;
		await Promise.all([
			this.arrive(),
			this.at(0, () => {
				this.disturb();
			}),
			this.at(duration, () => {
				this.restore();
			}),
			this.at(joinsAt, async () => this.list('v2', ['b1', 'b2', 'b3'])),
			...(leavesAt === undefined ? [] : [this.at(leavesAt, async () => this.leave(['a1', 'a2', 'a3']))]),
			this.at(duration + afterTime, () => undefined),
		]);
		return this.outcome;
	}

	private async close(): Promise<void> {
		this.isOver = true;
		this.stalls.stop();
		for (const stream of this.streams) {
			stream.close();
		}

		await Promise.all(this.relays.map(async ({kill}) => kill()));
		await this.installation.close();
		this.host.close();
	}

	/** The relay that gets out of step. */
	private get box(): StartedRelay {
		return this.relays[0]!;
	}

	private get outcome(): OutOfStepOutcome {
		const {lines} = this.box;
		const begun = this.streams.filter(({hasBegun}) => hasBegun);
		const namesOf = (streams: readonly ResumedStream[]) => streams.map(({name}) => name);
		return {
			plan: this.plan,
			lines,
			joined: namesOf(begun.filter(({versions}) => versions.size > 1)),
			torn: namesOf(begun.filter(({isConsecutive}) => !isConsecutive)),
			complete: namesOf(begun.filter(({pieces}) => pieces.some(({status, isWhole}) => status === 200 && isWhole))),
			takeUps: this.takeUps.map(takeUp => {
				const ofAttempt = lines.filter(({request}) => request === takeUp.attempt);
				const refusal = ofAttempt.find(({eventName}) => eventName === 'requestRefused');
				const took = Number(refusal?.took);
				return {
					...takeUp,
					lines: ofAttempt,
					tries: Number(refusal?.tries ?? 0),
					refusedAfter: refusal && Math.max(0, took - this.stalls.during(takeUp.decidedAt - took, takeUp.decidedAt)),
				};
			}),
		};
	}

	private async untilServing(): Promise<void> {
		const heardBy = ({lines}: StartedRelay) => new Set(lines.filter(({eventName}) => eventName === 'memberHeard').map(({member}) => member));
		await until(() => this.relays.every(relay => heardBy(relay).size === this.relays.length - 1));
		for (const relay of this.relays) {
			while (!await relay.isReady()) {
				await pause(gap);
			}
		}
	}

	private async at(time: number, act: () => Promise<void> | void): Promise<void> {
		await pause(Math.max(0, this.startedAt + time - performance.now()));
		await act();
	}

	private disturb(): void {
		const {box: {name}, host, plan: {disturbance}} = this;
		this.disturbedFrom = performance.now();
		switch (disturbance) {
			case 'stopped':
			case 'stopped-long':
			case 'stopped-half-a-minute': {
				host.signal(name, 'SIGSTOP');
				break;
			}

			case 'no-store': {
				this.fault = {kind: 'reset'};
				break;
			}

			case 'silent-store': {
				this.fault = {kind: 'silent'};
				break;
			}

			case 'no-boxes-slow-store': {
				this.fault = {kind: 'slow', milliseconds: soleStoreAnswer};
				host.setCondition(name, {isSending: false, isReceiving: false});
				break;
			}

			case 'no-boxes': {
				host.setCondition(name, {isSending: false, isReceiving: false});
				break;
			}

			case 'cut-off':
			case 'cut-off-two-minutes': {
				this.fault = {kind: 'silent'};
				host.setCondition(name, {isSending: false, isReceiving: false});
				break;
			}

			case 'sends-nothing': {
				host.setCondition(name, {isSending: false});
				break;
			}

			case 'receives-nothing': {
				host.setCondition(name, {isReceiving: false});
				break;
			}

			case 'slow': {
				this.fault = {kind: 'slow', milliseconds: slowAnswer};
				host.setCondition(name, {delay: slowDatagram});
				break;
			}

			default: {
				host.setCondition(name, {clockOffset: disturbance === 'clock-ahead' ? clockStep : -clockStep});
			}
		}
	}

	private restore(): void {
		const {box: {name}, host} = this;
		this.fault = {kind: 'none'};
		host.setCondition(name);
		host.signal(name, 'SIGCONT');
		this.disturbedUntil = performance.now();
	}

	private async list(version: string, ids: readonly string[]): Promise<void> {
		await Promise.all(ids.map(async id => {
			const replica = await this.installation.addReplica(id, {version, slots: 200});
			replica.behave({delay: 10, events, gap});
			replica.namesRequests = true;
			replica.software = version;
		}));
	}

	private async leave(ids: readonly string[]): Promise<void> {
		this.leftAt.set('v1', performance.now());
		for (const id of ids) {
			this.installation.unlist(id);
		}

		await pause(drainTime);
		await Promise.all(ids.map(async id => this.installation.replicas.get(id)!.close()));
		for (const id of ids) {
			this.installation.replicas.delete(id);
		}
	}

	private async arrive(): Promise<void> {
		const lastAt = this.startedAt + this.plan.duration + afterTime;
		const clients: Array<Promise<void>> = [];
		while (performance.now() + minStreamTime + maxFurtherTime < lastAt) {
			clients.push(this.follow(ResumedStream.create(`s${this.plan.seed}-${this.streams.length}`)));
			await pause(arrivalPause);
		}

		await Promise.all(clients);
	}

	/** Begins a stream at another box, breaks it off, and takes it up at the box that is or was out of step. */
	private async follow(stream: ResumedStream): Promise<void> {
		const others = this.relays.slice(1);
		this.streams.push(stream);
		await stream.send(others[Math.floor(this.random() * others.length)]!);
		await pause(minStreamTime + (this.random() * maxFurtherTime));
		stream.close();
		const [broken] = stream.pieces;
		await until(() => broken!.endedAt !== undefined);
		if (!stream.hasBegun || performance.now() < this.disturbedFrom) {
			return;
		}

		const [version] = stream.versions;
		const piece = await stream.send(this.box);
		if (this.isOver) {
			return;
		}

		const {attempt, sentAt, status, body, firstEventAt, endedAt} = piece;
		const decidedAt = firstEventAt ?? endedAt!;
		const isDuring = sentAt < this.disturbedUntil;
		const canAsk = !this.plan.disturbance.startsWith('cut-off') || !isDuring;
		this.takeUps.push({
			attempt,
			version: version!,
			sentAt,
			result: firstEventAt === undefined ? failureOf(status) : 'continued',
			status,
			body: status === 200 ? '' : body,
			isDuring,
			decidedAt,
			mustContinue: canAsk && decidedAt < (this.leftAt.get(version!) ?? Number.POSITIVE_INFINITY),
		});
	}
}

function failureOf(status: number): StepTakeUp['result'] {
	if (status === 0) {
		return 'closed';
	}

	return status === badGateway ? 'cut' : 'refused';
}
