/**
 * Sends and receives the datagrams by which boxes tell each other which software version began a stream.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {SuspensionMeter} from '../base/suspension-meter.js';
import {isLargeFleet, type ExchangeTopology} from '../gossip/exchange-topology.js';
import type {DatagramAddress} from '../gossip/gossip.js';
import type {MemberAddress} from '../gossip/gossip-message.js';
import type {PeerTable} from '../gossip/peer-table.js';
import {decodeOrigins, encodeOrigins, type OriginDatagram} from '../relay/origin-codec.js';
import {
	copiesFor, minCopiesForWriters, type OriginAnswer, type OriginFindings, type OriginQuestion, type StreamOrigin, type StreamOrigins,
} from '../relay/stream-origins.js';
import {originKind, originWriters} from '../stream-versions/origin-record.js';
import {historyRetention} from '../stream-versions/version-history.js';

/** Milliseconds between two rounds of a question: a message may be lost. */
const roundInterval = 18;
/** Rounds of a question, after which the stream counts as unknown. */
const rounds = 4;
/** Rounds in which boxes that were not heard lately are asked, once the others have answered. */
const roundsOfSilent = 2;
/** Streams in one datagram; more than that might not fit into a packet. */
const maxStreamsInDatagram = 12;
/** Versions of a service in one datagram; with so many it is clear that there are several. */
const maxVersionsInDatagram = 8;
/** Milliseconds between two repetitions of what was told. */
const repetitionInterval = 100;

/** Dependencies of the exchange. */
export type OriginExchangeServices = {
	/** Distinguishes the questions of this process from those of earlier ones on the same box. */
	readonly incarnation: string;
	readonly clock: Clock;
	readonly suspensions: Pick<SuspensionMeter, 'ranUntil'>;
	/** @returns Whether this box has not known the state of the store for some time. */
	readonly isStoreSilent: () => boolean;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly send: (data: Uint8Array, to: DatagramAddress) => void;
	readonly origins: StreamOrigins;
};

/** A question that waits for answers. */
type Question = {
	readonly finish: () => void;
	/** Boxes that have not answered yet, by address. */
	readonly unanswered: Map<string, DatagramAddress>;
	/** Those of them that were not heard lately, by address. */
	readonly silent: ReadonlySet<string>;
	readonly answers: OriginAnswer[];
};

/** The exchange of one box. In a small fleet all boxes know all streams; in a large one the aggregators do. */
export class OriginExchange {
	/**
	 * @param services - Its dependencies.
	 * @returns The exchange.
	 */
	static create(services: OriginExchangeServices): OriginExchange {
		return new OriginExchange(services);
	}

	private readonly questions = new Map<string, Question>();
	private questionCount = 0;
	/** The largest number of boxes that were known lately, and when, in monotonic milliseconds. */
	private largest = {boxes: 1, at: Number.NEGATIVE_INFINITY};

	private constructor(private readonly services: OriginExchangeServices) {}

	/** @returns An effect that repeats what was told until it is interrupted. */
	run(): Effect.Effect<never> {
		return Effect.forever(Effect.sync(() => {
			this.recordSize();
			this.services.origins.repeat();
		}).pipe(Effect.andThen(Effect.sleep(repetitionInterval))));
	}

	/** @param origins - Streams that this box began, and their versions. */
	tell(origins: readonly StreamOrigin[]): void {
		const {send} = this.services;
		const parts = Array.from({length: Math.ceil(origins.length / maxStreamsInDatagram)}, (_, index) => origins.slice(index * maxStreamsInDatagram, (index + 1) * maxStreamsInDatagram));
		for (const data of parts.map(part => encodeOrigins({origins: part}))) {
			for (const address of this.recipients) {
				send(data, address);
			}
		}
	}

	/**
	 * @param asked - A stream and its service.
	 * @returns An effect that yields the answers once a box knows the stream, all have answered, or the time for answers is over.
	 */
	lookUp(asked: OriginQuestion): Effect.Effect<OriginFindings> {
		return Effect.callback<OriginFindings>(resume => {
			const {incarnation} = this.services;
			this.recordSize();
			this.questionCount++;
			const id = `${incarnation}-${this.questionCount}`;
			const answers: OriginAnswer[] = [];
			const finish = () => {
				this.questions.delete(id);
				const haveAllAnswered = this.haveAllAnswered(answers.length);
				resume(Effect.succeed({answers, haveAllAnswered, isIsolated: this.areAllAsked && answers.length === 0 && !haveAllAnswered}));
			};

			const heard = new Set(this.keepers.map(address => keyOf(address)));
			const unanswered = new Map(this.asked.map(address => [keyOf(address), address]));
			const question: Question = {
				finish, answers, unanswered, silent: new Set([...unanswered.keys()].filter(key => !heard.has(key))),
			};
			this.questions.set(id, question);
			this.ask(id, asked, rounds);
			return Effect.sync(() => {
				this.questions.delete(id);
			});
		});
	}

	/**
	 * @param data - A datagram that is no gossip message.
	 * @param from - Its sender.
	 * @returns Whether it was of this exchange.
	 */
	receive(data: Uint8Array, from: DatagramAddress): boolean {
		const {origins, send} = this.services;
		const datagram = decodeOrigins(data);
		if (datagram?.origins) {
			origins.apply(datagram.origins);
		} else if (datagram?.find) {
			const {id, name, service} = datagram.find;
			const {software, versions, isCertain} = origins.answerTo({name, service});
			send(encodeOrigins({
				found: {
					id, versions: versions.slice(0, maxVersionsInDatagram), isCertain, ...(software === undefined ? {} : {software}),
				},
			}), from);
		} else if (datagram?.found) {
			this.applyAnswer(datagram.found, from);
		}

		return datagram !== undefined;
	}

	/** The boxes that are asked. A box that was suspended or cut off has not heard the others for some time, and they answer all the same. */
	private get asked(): readonly MemberAddress[] {
		const {peers, topology} = this.services;
		return topology.isLarge ? this.keepers : peers.all.map(({address}) => address);
	}

	/** The boxes that are told, and whose answers are awaited. After a suspension their messages may not have been read yet, so those that were heard before it are included. */
	private get keepers(): readonly MemberAddress[] {
		const {peers, topology, suspensions} = this.services;
		const heard = () => peers.heardSince(suspensions.ranUntil(peers.heardWithin) - peers.heardWithin);
		return (topology.isLarge ? topology.aggregators : heard()).map(({address}) => address);
	}

	/** Boxes that are no longer heard count for as long as their streams may be taken up. In a large fleet the aggregators do not speak for boxes that they do not reach. */
	private haveAllAnswered(answers: number): boolean {
		return this.areAllAsked && answers + 1 >= this.largest.boxes;
	}

	/** Whether a question goes to all boxes, and not to a few aggregators, which may have ended together. */
	private get areAllAsked(): boolean {
		return !isLargeFleet(this.largest.boxes);
	}

	private recordSize(): void {
		const {peers: {boxes}, clock, isStoreSilent} = this.services;
		const now = clock.monotonic();
		// A box that reaches neither the store nor the others does not know that they have ended.
		if (boxes >= this.largest.boxes || (now - this.largest.at > historyRetention && !isStoreSilent())) {
			this.largest = {boxes, at: now};
		}
	}

	/** The boxes that are told, each as often as it is sent a datagram. */
	private get recipients(): readonly DatagramAddress[] {
		const {keepers, services: {topology}} = this;
		const copies = copiesFor(keepers.length);
		const writers = new Set(topology.ownersOf(originKind, originWriters));
		return keepers.flatMap(address => Array.from({length: writers.has(address.name) ? Math.max(copies, minCopiesForWriters) : copies}, () => address));
	}

	private ask(id: string, asked: OriginQuestion, roundsLeft: number): void {
		const question = this.questions.get(id);
		if (!question) {
			return;
		}

		const areAllSilent = [...question.unanswered.keys()].every(key => question.silent.has(key));
		const areSilentAsked = question.answers.length > 0 && areAllSilent && roundsLeft <= rounds - roundsOfSilent;
		if (question.unanswered.size === 0 || roundsLeft === 0 || areSilentAsked) {
			question.finish();
			return;
		}

		const data = encodeOrigins({find: {id, ...asked}});
		for (const address of question.unanswered.values()) {
			this.services.send(data, address);
		}

		setTimeout(() => {
			// After a suspension timers run before the answers that have arrived are read.
			setImmediate(() => {
				this.ask(id, asked, roundsLeft - 1);
			});
		}, roundInterval);
	}

	private applyAnswer({id, software, versions, isCertain}: NonNullable<OriginDatagram['found']>, from: DatagramAddress): void {
		const question = this.questions.get(id);
		// Each box counts once, however often it was asked.
		if (!question?.unanswered.delete(keyOf(from))) {
			return;
		}

		// The version that a box of an earlier release answers may be a conclusion from an outdated list, so it does not count.
		if (versions !== undefined) {
			question.answers.push({software, versions, isCertain: isCertain === true});
		}

		if ((versions !== undefined && software !== undefined) || question.unanswered.size === 0) {
			question.finish();
		}
	}
}

const keyOf = ({host, port}: DatagramAddress): string => `${host}:${port}`;
