/**
 * Times at which refused clients may return, each reserved for one of them.
 *
 * @remarks
 * The load pattern: hundreds of clients are refused within moments. If they return together, most are refused again. Each is given a time
 * at which there is expected to be room for it; the room is booked in intervals, by urgency. A client has to return within a third of the
 * time that it has left. If all room until then is booked, it is given a time in the interval that is booked least.
 */
import type {Clock} from '../base/clock.js';
import {evictOldest} from '../base/evict-oldest.js';
import {sumOf} from '../base/sum.js';
import {timeFor} from './expected-wait.js';

/** Width in milliseconds of an interval in which room is booked; the time of a return is not certain to less than that. */
const intervalWidth = 100;
/**
 * Bound of the work booked in one interval, of all urgencies together, as a multiple of its room; its returns are spaced by that multiple. New requests need
 * room too: with twice the room booked, 3.05 times as many returned in 100 ms as the room serves.
 */
const maxBooking = 1.8;
/** Bound of the intervals that one request books. */
const maxIntervalsBooked = 50;
/** Part of the time left within which clients honour a return time. */
const honouredPart = 1 / 3;
/** Milliseconds by which a client may be early or late at its time: rounding, and the duration of a new connection. */
const tolerance = {early: 20, late: 500} as const;
/** Bound of the reservations; those made first are dropped. */
const maxReservations = 4096;

/** A refused client. */
export type RefusedClient = {
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Expected work of its request, in milliseconds. */
	readonly work: number;
	/** Milliseconds of work a second for which room appears. */
	readonly rate: number;
	/** Milliseconds until the work ahead of it is placed. */
	readonly untilRoom: number;
	/** Milliseconds until its deadline. */
	readonly timeLeft: number;
	/** Recognizes the client when it returns; `undefined` if that is not possible. */
	readonly key: string | undefined;
};

type Booking = {readonly urgency: number; readonly work: number};

/** The return times of the refused clients of one service. */
export class ReturnTimes {
	/**
	 * @param clock - For the return times.
	 * @param random - Returns a number from 0 to 1.
	 * @returns Times without reservations.
	 */
	static create(clock: Clock, random: () => number): ReturnTimes {
		return new ReturnTimes(clock, random);
	}

	/** Bookings by interval; the number of an interval is its start divided by its width. */
	private readonly bookings = new Map<number, readonly Booking[]>();
	/** Monotonic milliseconds of the return, by key of the client. */
	private readonly reservations = new Map<string, number>();

	private constructor(private readonly clock: Clock, private readonly random: () => number) {}

	/**
	 * A client that returned before its time keeps that time: returning at once earns it nothing and books no more room.
	 *
	 * @param client - The refused client.
	 * @returns Milliseconds after which it may return: at most a third of the time that it has left.
	 */
	reserve(client: RefusedClient): number {
		const now = this.clock.monotonic();
		const latest = Math.max(0, client.timeLeft) * honouredPart;
		const kept = client.key === undefined ? undefined : this.reservations.get(client.key);
		if (kept !== undefined && kept > now) {
			return Math.min(latest, kept - now);
		}

		this.expire(now);
		const interval = this.choose(client, now, latest);
		const at = interval === undefined ? now + (this.random() * latest) : this.timeWithin(interval, client);
		this.book(interval ?? Math.floor(now / intervalWidth), client);
		if (client.key !== undefined) {
			this.reservations.set(client.key, at);
			evictOldest(this.reservations, maxReservations);
		}

		return at - now;
	}

	/**
	 * @param key - Key of a client whose request arrives.
	 * @returns Whether it returns at the time that was reserved for it. The reservation counts once.
	 */
	redeem(key: string | undefined): boolean {
		const at = key === undefined ? undefined : this.reservations.get(key);
		const early = at === undefined ? Number.POSITIVE_INFINITY : at - this.clock.monotonic();
		if (early > tolerance.early) {
			return false;
		}

		this.reservations.delete(key!);
		return early >= -tolerance.late;
	}

	/**
	 * The first interval with room for the client's urgency, otherwise the one that is booked least. Only whole intervals before the latest
	 * time are used: all that is cut off at that time would return together. `undefined` if there are none.
	 */
	private choose({urgency, work, rate, untilRoom}: RefusedClient, now: number, latest: number): number | undefined {
		const intervals = wholeIntervals(now, now + latest);
		const ownTime = Math.min(intervalWidth, timeFor(work, rate));
		const free = intervals.filter(interval => (interval + 1) * intervalWidth > now + untilRoom).find(interval => {
			const booked = this.bookedIn(interval);
			return timeFor(workOf(booked.filter(other => other.urgency <= urgency)), rate) < intervalWidth
				&& timeFor(workOf(booked), rate) + ownTime <= intervalWidth * maxBooking;
		});
		return free ?? this.leastBooked(intervals);
	}

	private leastBooked(intervals: readonly number[]): number | undefined {
		const booked = intervals.map(interval => workOf(this.bookedIn(interval)));
		return intervals[booked.indexOf(Math.min(...booked))];
	}

	/** Work that takes the room of several intervals is booked in each of them. */
	private book(first: number, {urgency, work, rate}: RefusedClient): void {
		const time = timeFor(work, rate);
		const count = Number.isFinite(time) ? Math.min(maxIntervalsBooked, Math.max(1, Math.ceil(time / intervalWidth))) : 1;
		for (const interval of Array.from({length: count}, (_, index) => first + index)) {
			this.bookings.set(interval, [...this.bookedIn(interval), {urgency, work: work / count}]);
		}
	}

	/** Work that is booked already comes first; in an interval that is booked out, the time is drawn. */
	private timeWithin(interval: number, {rate}: RefusedClient): number {
		const offset = timeFor(workOf(this.bookedIn(interval)), rate) / maxBooking;
		return (interval * intervalWidth) + (offset < intervalWidth ? offset : this.random() * intervalWidth);
	}

	private bookedIn(interval: number): readonly Booking[] {
		return this.bookings.get(interval) ?? [];
	}

	private expire(now: number): void {
		const current = Math.floor(now / intervalWidth);
		for (const interval of [...this.bookings.keys()].filter(one => one < current)) {
			this.bookings.delete(interval);
		}
	}
}

function wholeIntervals(from: number, to: number): readonly number[] {
	const first = Math.ceil(from / intervalWidth);
	return Array.from({length: Math.max(0, Math.floor(to / intervalWidth) - first)}, (_, index) => first + index);
}

function workOf(bookings: readonly Booking[]): number {
	return sumOf(bookings.map(({work}) => work));
}
