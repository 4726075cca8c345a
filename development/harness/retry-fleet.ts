/**
 * Simulates the retry budgets of a fleet in virtual time, with drawn faults. Development only.
 */
import {FleetShare} from '../../src/gossip/fleet-share.js';
import type {RetryPermit} from '../../src/quota/retry-permit.js';
import type {RetryBound} from '../../src/quota/retry-window.js';
import {loanLifetime, ServiceRetryBudget} from '../../src/quota/service-retry-budget.js';
import {ManualClock} from './manual-clock.js';
import {greatestRetryExcess, type RetryExcess} from './retry-excess.js';
import {createRandom} from './seeded-random.js';

/** Milliseconds of a step of the simulation. */
const step = 20;
/** Milliseconds between two rounds of messages of a box. */
const roundInterval = 500;
/** Milliseconds without a message after which a box is not heard, and after which it is forgotten. */
const heardWithin = 1200;
const memberLifetime = 20_000;
/** Maximum number of boxes that are asked for a loan, and of rounds for one retry. */
const maxLenders = 12;
const maxRounds = 4;
const exhaustedPause = 250;
/** Maximum number of retries of one request. */
const maxRetries = 3;
/** Milliseconds that a retry may wait for a replica, and that a silent link may delay it. */
const maxWait = 12_000;
const maxSilence = 3000;

/** Parameters of a fleet. */
export type RetryFleetShape = {
	readonly boxes: number;
	/** Requests a second at all boxes together. */
	readonly rate: number;
	readonly bound: RetryBound;
};

/** Conditions that change in the course of a simulation. */
export type RetryConditions = {
	/** Factor on the rate of requests. */
	load: number;
	/** Fraction of the attempts that fail, by number of the box. */
	failing: (box: number) => number;
	/** Fraction of the retries that wait for a replica before they are sent, and that a silent link delays. */
	waiting: number;
	silent: number;
	/** Fraction of the messages between boxes that are lost. */
	lost: number;
	/** Part of the partitioned fleet that a box is in. */
	part: (box: number) => number;
};

/** A box; an entry is replaced when the process starts again. */
type Box = {
	readonly number: number;
	readonly incarnation: number;
	readonly budget: ServiceRetryBudget;
	readonly share: FleetShare;
	/** For each known box, when its last message arrived, or when it was listed, and the incarnation of this box that it had heard. */
	readonly known: Map<number, {at: number; heardAt: number; echo: number | undefined}>;
	frozenUntil: number;
	nextRound: number;
	/** Until when it asks no other box, as the last round brought nothing. */
	exhaustedUntil: number;
};

type PendingRetry = {readonly box: Box; readonly permit: RetryPermit; readonly at: number; readonly isSent: boolean};

/** A simulated fleet. */
export class RetryFleet {
	/**
	 * @param shape - Parameters of the fleet.
	 * @param seed - Seed of all random draws.
	 * @returns A fleet whose boxes have just been started for the first time.
	 */
	static create(shape: RetryFleetShape, seed: number): RetryFleet {
		return new RetryFleet(shape, seed);
	}

	readonly conditions: RetryConditions = {
		load: 1, failing: () => 0, waiting: 0, silent: 0, lost: 0, part: () => 0,
	};

	readonly random: () => number;
	readonly clock = new ManualClock(1_000_000);
	/** Retries that were denied for want of budget, by time. */
	readonly deniedAt: number[] = [];
	readonly retriedAt: number[] = [];
	private readonly requestedAt: number[] = [];
	private readonly boxes = new Map<number, Box>();
	private readonly restarts = new Map<number, number>();
	private pending: readonly PendingRetry[] = [];
	private incarnations = 0;
	private isNew = true;

	private constructor(private readonly shape: RetryFleetShape, seed: number) {
		this.random = createRandom(seed);
		for (let number = 0; number < shape.boxes; number++) {
			this.start(number);
		}
	}

	/** Numbers of the boxes that run. */
	get running(): readonly number[] {
		return [...this.boxes.keys()];
	}

	/** @returns The window with the most retries above the bound; `undefined` without retries. */
	get excess(): RetryExcess | undefined {
		return greatestRetryExcess({requestedAt: this.requestedAt, retriedAt: [...this.retriedAt].sort((left, right) => left - right)}, this.shape.bound);
	}

	/** @returns Retries that the bound allows in a window with the requests of the last one. */
	get allowed(): number {
		const {ratio, slack, window} = this.shape.bound;
		const since = this.clock.now - window;
		return (this.requestedAt.filter(at => at >= since).length * ratio) + slack;
	}

	/** @param time - Milliseconds to simulate. */
	advance(time: number): void {
		const end = this.clock.now + time;
		while (this.clock.now < end) {
			this.clock.now += step;
			this.restartDue();
			for (const box of this.boxes.values()) {
				this.round(box);
			}

			this.sendPending();
			this.receiveRequests();
		}
	}

	/**
	 * @param number - Number of a box that is killed.
	 * @param downTime - Milliseconds until it starts again; infinite if it is gone for good.
	 */
	kill(number: number, downTime: number): void {
		this.isNew = false;
		this.boxes.delete(number);
		this.pending = this.pending.filter(({box}) => box.number !== number);
		if (Number.isFinite(downTime)) {
			this.restarts.set(number, this.clock.now + downTime);
		}
	}

	/**
	 * @param number - Number of a box that is suspended; it neither sends nor receives.
	 * @param time - Milliseconds.
	 */
	freeze(number: number, time: number): void {
		const box = this.boxes.get(number);
		if (box) {
			box.frozenUntil = this.clock.now + time;
		}
	}

	/** @param number - Number of a new box. */
	add(number: number): void {
		this.isNew = false;
		this.start(number);
	}

	private start(number: number): void {
		const {clock, shape: {bound}} = this;
		this.incarnations++;
		const {incarnations: incarnation} = this;
		const known: Box['known'] = new Map();
		const share = FleetShare.create({
			clock,
			size: () => known.size + 1,
			isConnected: () => [...known.values()].every(({heardAt, echo}) => clock.now - heardAt <= heardWithin && echo === incarnation),
			memory: () => bound.window + loanLifetime,
			isNewFleet: () => this.isNew,
		});
		// The store lists all boxes.
		for (const other of this.boxes.keys()) {
			known.set(other, {at: clock.now, heardAt: Number.NEGATIVE_INFINITY, echo: undefined});
		}

		this.boxes.set(number, {
			number, incarnation, known, share, budget: ServiceRetryBudget.create({clock, bound: () => bound, share: () => share.fraction}), frozenUntil: 0, nextRound: clock.now, exhaustedUntil: 0,
		});
	}

	private restartDue(): void {
		for (const [number, at] of this.restarts) {
			if (at <= this.clock.now) {
				this.restarts.delete(number);
				this.start(number);
			}
		}
	}

	private isActive({frozenUntil}: Box): boolean {
		return frozenUntil <= this.clock.now;
	}

	private reaches(from: Box, to: Box): boolean {
		const {part, lost} = this.conditions;
		return this.isActive(to) && part(from.number) === part(to.number) && this.random() >= lost;
	}

	private round(box: Box): void {
		const {now} = this.clock;
		if (!this.isActive(box) || box.nextRound > now) {
			return;
		}

		box.nextRound = now + (roundInterval * (0.75 + (this.random() / 2)));
		for (const [number, {at}] of box.known) {
			if (now - at > memberLifetime) {
				box.known.delete(number);
			}
		}

		for (const other of this.boxes.values()) {
			if (other !== box && this.reaches(box, other)) {
				const heard = box.known.get(other.number);
				const echo = heard && now - heard.heardAt <= heardWithin ? other.incarnation : undefined;
				other.known.set(box.number, {at: now, heardAt: now, echo});
			}
		}

		box.share.update();
	}

	private receiveRequests(): void {
		const {random, shape: {rate}, conditions: {load}} = this;
		const expected = rate * load * step / 1000;
		const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
		for (let index = 0; index < count; index++) {
			this.requestedAt.push(this.clock.now);
			const [box] = sampleWith(random, [...this.boxes.values()]);
			if (box && this.isActive(box)) {
				box.budget.recordRequest();
				this.attempt(box, 0);
			}
		}
	}

	/** An attempt that fails is followed by another one if the budget allows it. */
	private attempt(box: Box, retries: number): void {
		const {failing, waiting, silent} = this.conditions;
		if (retries >= maxRetries || this.random() >= failing(box.number)) {
			return;
		}

		const permit = this.reserve(box);
		if (!permit) {
			this.deniedAt.push(this.clock.now);
			return;
		}

		const draw = this.random();
		if (draw < waiting) {
			this.pending = [...this.pending, {
				box, permit, at: this.clock.now + (this.random() * maxWait), isSent: false,
			}];
		} else if (draw < waiting + silent) {
			this.pending = [...this.pending, {
				box, permit, at: this.clock.now + (this.random() * maxSilence), isSent: true,
			}];
		} else {
			this.arrive(permit);
			this.attempt(box, retries + 1);
		}
	}

	private arrive(permit: RetryPermit): void {
		this.retriedAt.push(this.clock.now);
		permit.settle();
	}

	private sendPending(): void {
		const due = this.pending.filter(({box, at}) => at <= this.clock.now && this.isActive(box));
		if (due.length === 0) {
			return;
		}

		this.pending = this.pending.filter(retry => !due.includes(retry));
		for (const {box, permit, isSent} of due) {
			if (isSent || permit.mayBeSent) {
				this.arrive(permit);
				this.attempt(box, maxRetries - 1);
			} else {
				permit.release();
				this.deniedAt.push(this.clock.now);
			}
		}
	}

	private reserve(box: Box): RetryPermit | undefined {
		if (box.exhaustedUntil > this.clock.now) {
			return box.budget.reserve();
		}

		for (let round = 0; round < maxRounds; round++) {
			const permit = box.budget.reserve();
			if (permit) {
				return permit;
			}

			const heard = [...box.known].filter(([, {heardAt}]) => this.clock.now - heardAt <= heardWithin).map(([number]) => number);
			const lenders = sampleWith(this.random, heard).slice(0, maxLenders);
			const amount = box.budget.amountToBorrow(1) / lenders.length;
			for (const lender of lenders.map(number => this.boxes.get(number)).filter(one => one !== undefined)) {
				if (this.reaches(box, lender)) {
					const granted = lender.budget.lend(amount);
					if (granted > 0 && this.reaches(lender, box)) {
						box.budget.addCredit(granted, this.clock.now);
					}
				}
			}
		}

		const permit = box.budget.reserve();
		if (!permit) {
			box.exhaustedUntil = this.clock.now + exhaustedPause;
		}

		return permit;
	}
}

/** @returns The items in random order. */
function sampleWith<Item>(random: () => number, items: readonly Item[]): readonly Item[] {
	const keyed = items.map(item => ({item, key: random()}));
	return keyed.sort((left, right) => left.key - right.key).map(({item}) => item);
}
