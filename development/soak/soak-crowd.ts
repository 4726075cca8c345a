/**
 * Clients that do not behave, in a soak test: small crowds of drawn kinds at drawn relays and listeners.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {CrowdClient, type Conduct} from '../crowds/crowd-client.js';
import {
	excessiveChunks, excessiveLength, fewOneByteChunks, pipelined, shortOfLength, silent, unendedHead, unendedLargeChunks, unendedOneByteChunks, whole, type HeadWriter,
} from '../crowds/requests.js';
import {testHost, testKey} from '../relay/relay-installation.js';
import {seededBy} from './seeded-by.js';
import type {SoakRelay} from './soak-relay.js';

/** Milliseconds between two crowds. */
const interval = {least: 300, spread: 700} as const;
/** Milliseconds for which the connections of a crowd stay open. */
const holdTime = {least: 100, spread: 2000} as const;
/** Connections of a crowd. */
const connections = {least: 2, spread: 20} as const;
const pipelinedRequests = 300;
const idPrefix = 'crowd-';

/**
 * @param id - Id of a request that a replica received.
 * @returns Whether a client of a crowd sent it.
 */
export const isCrowdRequest = (id: string): boolean => id.startsWith(idPrefix);

const kinds: ReadonlyArray<(head: HeadWriter) => Conduct> = [
	excessiveChunks,
	excessiveLength,
	fewOneByteChunks,
	head => pipelined(head, pipelinedRequests),
	shortOfLength,
	() => silent,
	unendedHead,
	unendedLargeChunks,
	unendedOneByteChunks,
	whole,
];

/** Sends crowds to relays until it is ended. */
export class SoakCrowd {
	/**
	 * @param seed - Determines the crowds.
	 * @param relays - Relays that they are sent to.
	 * @returns Crowds that are not sent yet.
	 */
	static create(seed: number, relays: readonly SoakRelay[]): SoakCrowd {
		return new SoakCrowd(seed, relays);
	}

	/** Connections that were opened. */
	opened = 0;
	private readonly random: () => number;
	private requests = 0;
	private isOver = false;

	private constructor(seed: number, private readonly relays: readonly SoakRelay[]) {
		this.random = seededBy(seed, 'crowds');
	}

	/** Sends crowds, one after the other, until {@link end}. */
	async run(): Promise<void> {
		while (!this.isOver) {
			await pause(this.drawNumber(interval));
			await this.send();
		}
	}

	/** Ends the crowds. */
	end(): void {
		this.isOver = true;
	}

	private async send(): Promise<void> {
		const {ports} = this.draw(this.relays);
		const conduct = this.draw(kinds);
		const port = this.draw([ports.front, ports.front, ports.front, ports.control, ports.ready, ports.metrics]);
		const count = Math.round(this.drawNumber(connections));
		this.opened += count;
		const clients = Array.from({length: count}, () => CrowdClient.start(port, conduct(lines => this.headOf(lines))));
		await pause(this.drawNumber(holdTime));
		for (const client of clients) {
			client.close();
		}
	}

	private headOf(lines: readonly string[]): string {
		this.requests++;
		return [
			'POST /calls/crowd HTTP/1.1', `Host: ${testHost}`, `Authorization: Bearer ${testKey}`, `Attempt-Id: ${idPrefix}${this.requests}`, ...lines, '', '',
		].join('\r\n');
	}

	private drawNumber({least, spread}: {readonly least: number; readonly spread: number}): number {
		return least + (this.random() * spread);
	}

	private draw<Choice>(choices: readonly Choice[]): Choice {
		return choices[Math.floor(this.random() * choices.length)]!;
	}
}
