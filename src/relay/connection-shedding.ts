/**
 * Closes new client connections unread while this box has more work than it can process: their clients reach another box at once, while a
 * request that was read here would wait for its turn.
 */
import type {Server} from 'node:http';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import {AcceptQueue} from './accept-queue.js';
import type {RelayMetrics} from './relay-metrics.js';

/** Max. connections while new ones are closed. Node closes a connection beyond it without reading; zero would mean that there is no limit. */
const closedLimit = 1;

/** Dependencies of the shedding. */
export type ConnectionSheddingServices = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	/** Server of the clients. */
	readonly server: Server;
};

/** The shedding of one box. */
export class ConnectionShedding {
	/**
	 * Begins to watch the connections of a server.
	 *
	 * @param services - Its dependencies.
	 * @returns The shedding, for as long as the server exists.
	 */
	static create(services: ConnectionSheddingServices): ConnectionShedding {
		const shedding = new ConnectionShedding(services);
		services.server.on('connection', () => {
			shedding.recordConnection();
		});
		services.server.on('drop', () => {
			shedding.recordDrop();
		});
		return shedding;
	}

	private readonly queue = AcceptQueue.create();
	private hadConnection = false;
	private isWatching = false;
	private isShedding = false;
	private shedCount = 0;

	private constructor(private readonly services: ConnectionSheddingServices) {}

	private recordDrop(): void {
		this.shedCount++;
		this.services.metrics.connectionsShed.inc();
		this.recordConnection();
	}

	private recordConnection(): void {
		this.queue.recordConnection(this.services.clock.monotonic());
		this.hadConnection = true;
		this.update();
		this.watch();
	}

	/** Checks after the next turn of the event loop whether that had a connection too. */
	private watch(): void {
		if (this.isWatching) {
			return;
		}

		this.isWatching = true;
		setImmediate(() => {
			this.isWatching = false;
			if (this.hadConnection) {
				this.hadConnection = false;
				this.watch();
				return;
			}

			this.queue.recordEmpty(this.services.clock.monotonic());
			this.update();
		});
	}

	private update(): void {
		const {server, log} = this.services;
		const {isOverloaded, isEmptying} = this.queue;
		server.maxConnections = isEmptying ? closedLimit : Number.POSITIVE_INFINITY;
		if (isOverloaded === this.isShedding) {
			return;
		}

		this.isShedding = isOverloaded;
		if (isOverloaded) {
			log.write('connectionSheddingStarted');
		} else {
			log.write('connectionSheddingEnded', {connections: this.shedCount});
			this.shedCount = 0;
		}
	}
}
