/**
 * Measures the datagrams of the exchange, to distinguish a box with a saturated link from one that receives nothing.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';

/** Milliseconds between two log records. */
const logInterval = 5000;
const millisecondsPerSecond = 1000;

/** Direction of a datagram; `heard` means received. */
export type TrafficDirection = 'sent' | 'heard';

/** Called with the direction and the size of each datagram, for example to update metrics. */
export type TrafficListener = (direction: TrafficDirection, bytes: number) => void;

/** Context that is logged with the traffic rates. */
export type TrafficContext = {
	/** Estimated number of boxes in the fleet. */
	readonly boxes: number;
	/** Other boxes from which a message was received recently, see `PeerTable.heard`. */
	readonly heard: number;
	readonly isAggregator: boolean;
};

type Tally = {readonly messages: number; readonly bytes: number};

const zeroTally: Tally = {messages: 0, bytes: 0};

/** The traffic of one box. */
export class ExchangeTraffic {
	/**
	 * @param clock - Measures the time between two log records.
	 * @param log - Receives the rates.
	 * @param listener - Called for each datagram.
	 * @returns Counters at zero.
	 */
	static create(clock: Clock, log: EventLog, listener: TrafficListener = ignore): ExchangeTraffic {
		return new ExchangeTraffic(clock, log, listener);
	}

	private tallies: Readonly<Record<TrafficDirection, Tally>> = {sent: zeroTally, heard: zeroTally};
	private loggedAt: number;

	private constructor(private readonly clock: Clock, private readonly log: EventLog, private readonly listener: TrafficListener) {
		this.loggedAt = clock.monotonic();
	}

	/**
	 * Counts a datagram.
	 *
	 * @param direction - Whether it was sent or received.
	 * @param bytes - Its length.
	 */
	count(direction: TrafficDirection, bytes: number): void {
		const {messages, bytes: before} = this.tallies[direction];
		this.tallies = {...this.tallies, [direction]: {messages: messages + 1, bytes: before + bytes}};
		this.listener(direction, bytes);
	}

	/**
	 * Logs the rates if the log interval has passed.
	 *
	 * @param context - Context to log with the rates.
	 */
	logRates(context: TrafficContext): void {
		const now = this.clock.monotonic();
		const elapsed = now - this.loggedAt;
		if (elapsed < logInterval) {
			return;
		}

		const {sent, heard} = this.tallies;
		const perSecond = (count: number): number => Math.round(count * millisecondsPerSecond / elapsed);
		this.log.write('exchangeMeasured', {
			...context,
			sentMessages: perSecond(sent.messages),
			sentBytes: perSecond(sent.bytes),
			heardMessages: perSecond(heard.messages),
			heardBytes: perSecond(heard.bytes),
		});
		this.loggedAt = now;
		this.tallies = {sent: zeroTally, heard: zeroTally};
	}
}

const ignore = () => undefined;
