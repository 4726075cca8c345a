/**
 * Clients of a soak test. They keep their connections open until the relay closes them, and choose a relay as a load balancer would.
 */
import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
	testKey, type ClientView, type RelayInstallation,
} from '../relay/relay-installation.js';
import {poisonMark, poisonPart} from './soak-poison.js';
import type {SoakRelay} from './soak-relay.js';

/** Kinds of requests that a client sends. */
export type SoakRequestKind = 'calls' | 'once' | 'stream';

/** One attempt of a client, and its outcome. */
export type SoakAttempt = ClientView & {
	readonly id: string;
	readonly kind: SoakRequestKind;
	/** Body of the request. */
	readonly sent: string;
	readonly relay: SoakRelay;
	readonly key: string;
	/** Id of the attempt that brought the first event of a stream that is taken up; `undefined` for other requests. */
	readonly resumes: string | undefined;
	/** Number of the last event already received, after which the stream is to continue; zero requests the whole stream. */
	readonly after: number;
	/** Monotonic milliseconds at which the request was sent, and at which its answer ended. */
	readonly sentAt: number;
	readonly endedAt: number;
};

/** A key that may be revoked at any time, and one that is revoked while a box is isolated. The default key is never revoked. */
export const revocableKey = 'key-that-may-go';
export const isolationKey = 'key-that-goes-unheard';
const kinds: readonly SoakRequestKind[] = ['calls', 'once', 'stream'];
/** Milliseconds between two requests of a client. */
const clientPause = 25;
/** Milliseconds between two readiness checks of the load balancer. */
const readyInterval = 250;
/** Every nth request of a client uses the spare key. */
const revocableKeyEvery = 7;
/** Every nth request of a client has the same body. */
const sameBodyEvery = 3;

/** The relay, connections and key of a request, and the event after which a stream continues. */
export type SoakDestination = {
	readonly relay: SoakRelay;
	readonly agent?: Agent;
	readonly key?: string;
	readonly after?: number;
	readonly resumes?: string;
};

/** The clients of one soak test. */
export class SoakClients {
	/**
	 * @param installation - Store and replicas.
	 * @param relays - Relays that requests are sent to.
	 * @param random - Draws the relay of each request.
	 * @param hasParts - Whether requests name parts of their prompts.
	 * @returns Clients that do not send requests yet.
	 */
	static create(installation: RelayInstallation, relays: readonly SoakRelay[], random: () => number, hasParts = false): SoakClients {
		return new SoakClients(installation, relays, random, hasParts);
	}

	readonly attempts: SoakAttempt[] = [];
	private readyRelays: readonly SoakRelay[] = [];
	private isOver = false;
	private sentCount = 0;

	private constructor(
		private readonly installation: RelayInstallation,
		private readonly relays: readonly SoakRelay[],
		private readonly random: () => number,
		private readonly hasParts: boolean,
	) {}

	/**
	 * Runs clients concurrently with a task, and stops them when the task completes.
	 *
	 * @param count - Number of clients.
	 * @param whileRunning - The task.
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
	 * @param kind - Kind of the request.
	 * @param body - Body of the request.
	 * @param way - Relay, connections, key and position in the stream.
	 * @returns The attempt with its outcome.
	 */
	async send(kind: SoakRequestKind, body: string, {
		relay, agent, key = testKey, after = 0, resumes,
	}: SoakDestination): Promise<SoakAttempt> {
		this.sentCount++;
		const id = `soak-${this.sentCount}`;
		const sentAt = performance.now();
		const headers = {
			...(this.hasParts ? {'Prompt-Prefix': `first:800,${body.includes(poisonMark) ? poisonPart : 'sound'}:400,${id}:100`} : {}),
			'Attempt-Id': id, Authorization: `Bearer ${key}`, ...(after > 0 ? {'Last-Event-Id': String(after)} : {}), ...(resumes === undefined ? {} : {Resumes: resumes}),
		};
		const view = await this.installation.call({
			path: `/${kind}/x`, method: 'POST', body, headers, ...(agent ? {agent} : {}),
		}, relay);
		const attempt = {
			...view, id, kind, sent: body, relay, key, after, resumes, sentAt, endedAt: performance.now(),
		};
		this.attempts.push(attempt);
		return attempt;
	}

	/** Checks the readiness of the relays as a load balancer does. While no relay is ready, clients use all of them. */
	private async balance(): Promise<void> {
		while (!this.isOver) {
			const ready = await Promise.all(this.relays.map(async relay => relay.isReady()));
			this.readyRelays = this.relays.filter((_, index) => ready[index]);
			await pause(readyInterval);
		}
	}

	private async client(index: number): Promise<void> {
		const agents = new Map<SoakRelay, Agent>();
		for (let count = 0; !this.isOver; count++) {
			const kind = kinds[(index + count) % kinds.length]!;
			const key = count % revocableKeyEvery === 0 ? revocableKey : testKey;
			const body = `question of ${index}${count % sameBodyEvery === 0 ? '' : ` number ${count}`}`;
			const attempt = await this.send(kind, body, {...this.chooseRelay(agents), key});
			await pause(clientPause);
			const after = lastEventOf(attempt);
			if (after > 0 && !attempt.isWhole) {
				await this.send(kind, body, {
					...this.chooseRelay(agents), key, after, resumes: attempt.id,
				});
				await pause(clientPause);
			}
		}

		for (const agent of agents.values()) {
			agent.destroy();
		}
	}

	/** Draws a relay as the load balancer does, and reuses the client's connection to it. */
	private chooseRelay(agents: Map<SoakRelay, Agent>): SoakDestination {
		const candidates = this.readyRelays.length > 0 ? this.readyRelays : this.relays;
		const relay = candidates[Math.floor(this.random() * candidates.length)]!;
		const agent = agents.get(relay) ?? new Agent({keepAlive: true, maxSockets: 1});
		agents.set(relay, agent);
		return {relay, agent};
	}
}

/** Number of the last complete event that a client received from a stream; zero if there is none. */
function lastEventOf({kind, body, after}: SoakAttempt): number {
	const whole = body.split('\n\n').slice(0, -1).length;
	return kind === 'stream' && whole > 0 ? after + whole : 0;
}
