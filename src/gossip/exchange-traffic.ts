/**
 * Measures the datagrams of the exchange, so that a box whose link they fill can be told from one that hears nobody.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';

/** Milliseconds between two lines of the log. */
const tellInterval = 5000;
const millisecondsPerSecond = 1000;

/** Which way a datagram went. */
export type TrafficDirection = 'sent' | 'heard';

/** Counts the datagrams and their bytes elsewhere too. */
export type TrafficListener = (direction: TrafficDirection, bytes: number) => void;

/** What is told beside the traffic itself. */
export type TrafficSurroundings = {
	/** Boxes that there are, as far as is known. */
	readonly boxes: number;
	/** Other boxes that were heard lately. */
	readonly heard: number;
	readonly isAggregator: boolean;
};

type Tally = {readonly messages: number; readonly bytes: number};

const nothing: Tally = {messages: 0, bytes: 0};

/** The traffic of one box. */
export class ExchangeTraffic {
	/**
	 * @param clock - For rates.
	 * @param log - Where the rates are told.
	 * @param listener - Is told of each datagram.
	 * @returns Traffic of which nothing was seen.
	 */
	static create(clock: Clock, log: EventLog, listener: TrafficListener = ignore): ExchangeTraffic {
		return new ExchangeTraffic(clock, log, listener);
	}

	private tallies: Readonly<Record<TrafficDirection, Tally>> = {sent: nothing, heard: nothing};
	private toldAt: number;

	private constructor(private readonly clock: Clock, private readonly log: EventLog, private readonly listener: TrafficListener) {
		this.toldAt = clock.monotonic();
	}

	/**
	 * @param direction - Which way a datagram went.
	 * @param bytes - Its length.
	 */
	note(direction: TrafficDirection, bytes: number): void {
		const {messages, bytes: before} = this.tallies[direction];
		this.tallies = {...this.tallies, [direction]: {messages: messages + 1, bytes: before + bytes}};
		this.listener(direction, bytes);
	}

	/** @param surroundings - What is told beside the rates, which are told every few seconds. */
	tell(surroundings: TrafficSurroundings): void {
		const now = this.clock.monotonic();
		const elapsed = now - this.toldAt;
		if (elapsed < tellInterval) {
			return;
		}

		const {sent, heard} = this.tallies;
		const perSecond = (count: number): number => Math.round(count * millisecondsPerSecond / elapsed);
		this.log.write('exchangeMeasured', {
			...surroundings,
			sentMessages: perSecond(sent.messages),
			sentBytes: perSecond(sent.bytes),
			heardMessages: perSecond(heard.messages),
			heardBytes: perSecond(heard.bytes),
		});
		this.toldAt = now;
		this.tallies = {sent: nothing, heard: nothing};
	}
}

const ignore = () => undefined;
