/**
 * Clients that send one request after another to relays in turn, until they are stopped. Development only.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {ClientView, RelayInstallation, RelayMember} from './relay-installation.js';

/** How they send. */
export type SteadyLoad = {
	readonly clients: number;
	/** Milliseconds between two requests of a client. */
	readonly pause: number;
	/** Those that they send to. */
	readonly relays: readonly RelayMember[];
	/** @returns Headers of a request, by its relay and its number among all. */
	readonly headers?: (relay: RelayMember, number: number) => Readonly<Record<string, string>>;
};

/** The clients. */
export class SteadyClients {
	/**
	 * @param installation - Where the relays are.
	 * @param load - How they send.
	 * @returns The clients, sending.
	 */
	static start(installation: RelayInstallation, load: SteadyLoad): SteadyClients {
		return new SteadyClients(installation, load);
	}

	/** What they saw, in the order of the answers. */
	readonly views: ClientView[] = [];
	private requests = 0;
	private readonly over = new AbortController();
	private readonly sending: Promise<unknown>;

	private constructor(private readonly installation: RelayInstallation, private readonly load: SteadyLoad) {
		this.sending = Promise.all(Array.from({length: load.clients}, async (_, client) => this.callOn(client)));
	}

	/** @returns Ends when the last request was answered. */
	async stop(): Promise<void> {
		this.over.abort();
		await this.sending;
	}

	private async callOn(client: number): Promise<void> {
		const {relays, headers, pause: interval} = this.load;
		for (let count = 0; !this.over.signal.aborted; count++) {
			const relay = relays[(client + count) % relays.length]!;
			this.requests++;
			this.views.push(await this.installation.call({path: `/calls/${client}`, headers: headers?.(relay, this.requests)}, relay));
			await pause(interval);
		}
	}
}
