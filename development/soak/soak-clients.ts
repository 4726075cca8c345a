/**
 * Clients of a soak: they keep their connections until the relay closes them, and go to relays that a balancer would send
 * them to.
 */
import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
	testKey, type ClientView, type RelayInstallation,
} from '../relay/relay-installation.js';
import type {SoakRelay} from './soak-relay.js';

/** What a client sends. */
export type SoakRequestKind = 'calls' | 'once' | 'stream';

/** One try of a client, and what came of it. */
export type SoakAttempt = ClientView & {
	readonly id: string;
	readonly kind: SoakRequestKind;
	/** Body of the request. */
	readonly sent: string;
	readonly relay: SoakRelay;
	readonly key: string;
	/** Number of the event behind which it asks for a stream; zero asks for all of it. */
	readonly after: number;
	/** Monotonic milliseconds. */
	readonly sentAt: number;
	readonly endedAt: number;
};

/** A key that may be taken away, and one that is while a box is cut off; the usual one never is. */
export const spareKey = 'key-that-may-go';
export const loneKey = 'key-that-goes-unheard';
const kinds: readonly SoakRequestKind[] = ['calls', 'once', 'stream'];
const clientPause = 25;
const readyInterval = 250;
/** Every so many requests of a client bears the spare key; and comes with the same body as before. */
const spareEvery = 7;
const sameBodyEvery = 3;

/** Where a request goes, by which connections, with which key, and behind which event. */
export type SoakWay = {
	readonly relay: SoakRelay;
	readonly agent?: Agent;
	readonly key?: string;
	readonly after?: number;
};

/** The clients. */
export class SoakClients {
	/**
	 * @param installation - Store and replicas.
	 * @param relays - Where requests go.
	 * @param random - Draws the relay of each new connection.
	 * @returns Clients that send nothing yet.
	 */
	static create(installation: RelayInstallation, relays: readonly SoakRelay[], random: () => number): SoakClients {
		return new SoakClients(installation, relays, random);
	}

	readonly attempts: SoakAttempt[] = [];
	private ready: readonly SoakRelay[] = [];
	private isOver = false;
	private sent = 0;

	private constructor(
		private readonly installation: RelayInstallation,
		private readonly relays: readonly SoakRelay[],
		private readonly random: () => number,
	) {}

	/**
	 * @param count - How many clients.
	 * @param whileRunning - Runs beside them; they end after it.
	 */
	async run(count: number, whileRunning: () => Promise<void>): Promise<void> {
		const balancing = this.balance();
		const clients = Array.from({length: count}, async (_, index) => this.client(index));
		await whileRunning();
		this.isOver = true;
		await Promise.all([...clients, balancing]);
	}

	/**
	 * Sends one request.
	 *
	 * @param kind - What.
	 * @param body - Its body.
	 * @param way - Where to, and how.
	 * @returns What came of it.
	 */
	async send(kind: SoakRequestKind, body: string, {relay, agent, key = testKey, after = 0}: SoakWay): Promise<SoakAttempt> {
		this.sent++;
		const id = `soak-${this.sent}`;
		const sentAt = performance.now();
		const headers = {'Attempt-Id': id, Authorization: `Bearer ${key}`, ...(after > 0 ? {'Last-Event-Id': String(after)} : {})};
		const view = await this.installation.call({
			path: `/${kind}/x`, method: 'POST', body, headers, ...(agent ? {agent} : {}),
		}, relay);
		const attempt = {
			...view, id, kind, sent: body, relay, key, after, sentAt, endedAt: performance.now(),
		};
		this.attempts.push(attempt);
		return attempt;
	}

	/** Asks as the balancer does; while nobody is ready all are used. */
	private async balance(): Promise<void> {
		while (!this.isOver) {
			const ready = await Promise.all(this.relays.map(async relay => relay.isReady()));
			this.ready = this.relays.filter((_, index) => ready[index]);
			await pause(readyInterval);
		}
	}

	private async client(index: number): Promise<void> {
		const agents = new Map<SoakRelay, Agent>();
		for (let count = 0; !this.isOver; count++) {
			const kind = kinds[(index + count) % kinds.length]!;
			const key = count % spareEvery === 0 ? spareKey : testKey;
			const body = `question of ${index}${count % sameBodyEvery === 0 ? '' : ` number ${count}`}`;
			const attempt = await this.send(kind, body, {...this.way(agents), key});
			await pause(clientPause);
			const after = lastEventOf(attempt);
			if (after > 0 && !attempt.isWhole) {
				await this.send(kind, body, {...this.way(agents), key, after});
				await pause(clientPause);
			}
		}

		for (const agent of agents.values()) {
			agent.destroy();
		}
	}

	/** A relay as the balancer draws it, by the client's connection to it. */
	private way(agents: Map<SoakRelay, Agent>): SoakWay {
		const among = this.ready.length > 0 ? this.ready : this.relays;
		const relay = among[Math.floor(this.random() * among.length)]!;
		const agent = agents.get(relay) ?? new Agent({keepAlive: true, maxSockets: 1});
		agents.set(relay, agent);
		return {relay, agent};
	}
}

/** Number of the last whole event of a stream that a client got; zero without one. */
function lastEventOf({kind, body, after}: SoakAttempt): number {
	const whole = body.split('\n\n').slice(0, -1).length;
	return kind === 'stream' && whole > 0 ? after + whole : 0;
}
