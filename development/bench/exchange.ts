/**
 * Measures the processor time of an aggregator per message, and its network traffic, in large fleets:
 * `npm run bench -- exchange`.
 */
import process from 'node:process';
import {SystemClock} from '../../src/base/clock.js';
import {sumOf} from '../../src/base/sum.js';
import {ExchangeFleet} from '../harness/exchange-fleet.js';

/** Numbers of boxes, one measurement each. */
const sizes = [30, 86, 300, 340] as const;
const replicas = 84;
const clientAccounts = 16;
/** Requests in progress at each box. */
const inProgress = 3;
/** Rounds of messages to warm up, not counted. */
const warmUpRounds = 10;
/** Rounds of messages that are measured. */
const measuredRounds = 30;
const millisecondsPerSecond = 1000;
const microsecondsPerMillisecond = 1000;

/** Prints a row for each fleet size, without and with limits on all replicas. */
export async function benchExchange(): Promise<void> {
	process.stdout.write('| Boxes | Limits | Messages/s | Heard | Sent | Processor time a message | Processor time |\n| --- | --- | --- | --- | --- | --- | --- |\n');
	for (const {boxes, areLimited} of sizes.flatMap(size => [false, true].map(flag => ({boxes: size, areLimited: flag})))) {
		const fleet = ExchangeFleet.create({
			boxes, replicas, clientAccounts, inProgress,
		}, SystemClock.create());
		if (areLimited) {
			fleet.announceLimits();
		}

		for (let round = 0; round < warmUpRounds; round++) {
			fleet.round();
		}

		const before = fleet.processingTime;
		const rounds = Array.from({length: measuredRounds}, () => fleet.round());
		const total = (key: 'messages' | 'received' | 'sent') => sumOf(rounds.map(round => round[key]));
		const seconds = measuredRounds * fleet.interval / millisecondsPerSecond;
		const spent = fleet.processingTime - before;
		const cells = [
			boxes,
			areLimited ? replicas : 0,
			Math.round(total('messages') / seconds),
			`${Math.round(total('received') / seconds / millisecondsPerSecond)} KB/s`,
			`${Math.round(total('sent') / seconds / millisecondsPerSecond)} KB/s`,
			`${Math.round(spent / total('messages') * microsecondsPerMillisecond)} µs`,
			`${Math.round(spent / seconds)} ms/s`,
		];
		process.stdout.write(`| ${cells.join(' | ')} |\n`);
	}
}
