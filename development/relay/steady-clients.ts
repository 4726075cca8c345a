/**
 * Clients that send sequential requests to the relays in turn until they are stopped. Development only.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {ClientView, RelayInstallation, RelayMember} from './relay-installation.js';

/** Parameters of the load. */
export type SteadyLoad = {
	readonly clients: number;
	/** Milliseconds between a response and the next request of the same client. */
	readonly pause: number;
	/** Relays that the clients send to. */
	readonly relays: readonly RelayMember[];
	/** @returns Additional headers of a request, given its relay and its number among all requests. */
	readonly headers?: (relay: RelayMember, number: number) => Readonly<Record<string, string>>;
};

/** A group of clients that send a steady load. */
export class SteadyClients {
	/**
	 * @param installation - Deployment of the relays.
	 * @param load - Parameters of the load.
	 * @returns The clients, which have begun to send.
	 */
	static start(installation: RelayInstallation, load: SteadyLoad): SteadyClients {
		return new SteadyClients(installation, load);
	}

	/** Responses that the clients received, in order of arrival. */
	readonly views: ClientView[] = [];
	private requests = 0;
	private readonly stopping = new AbortController();
	private readonly sending: Promise<unknown>;

	private constructor(private readonly installation: RelayInstallation, private readonly load: SteadyLoad) {
		this.sending = Promise.all(Array.from({length: load.clients}, async (_, client) => this.sendRequests(client)));
	}

	/** Stops sending and waits for the outstanding responses. */
	async stop(): Promise<void> {
		this.stopping.abort();
		await this.sending;
	}

	private async sendRequests(client: number): Promise<void> {
		const {relays, headers, pause: interval} = this.load;
		for (let count = 0; !this.stopping.signal.aborted; count++) {
			const relay = relays[(client + count) % relays.length]!;
			this.requests++;
			this.views.push(await this.installation.call({path: `/calls/${client}`, headers: headers?.(relay, this.requests)}, relay));
			await pause(interval);
		}
	}
}
