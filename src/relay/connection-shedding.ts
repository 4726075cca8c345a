/**
 * Closes new client connections unread while they have waited too long to be accepted: their clients reach another box at once, while a
 * request that was read here would be answered too late.
 */
import type {Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {SuspensionMeter} from '../base/suspension-meter.js';
import {AcceptQueue} from './accept-queue.js';
import type {RelayMetrics} from './relay-metrics.js';

/** Max. connections while new ones are closed. Node closes a connection beyond it without reading; zero would mean that there is no limit. */
const closedLimit = 1;

/** Dependencies of the shedding. */
export type ConnectionSheddingServices = {
	readonly clock: Clock;
	readonly suspensions: SuspensionMeter;
	readonly log: EventLog;
	readonly metrics: RelayMetrics;
	/** Server of the clients. */
	readonly server: Server;
};

/** A connection of this process to itself. */
type Probe = {readonly socket: Socket; readonly sentAt: number};

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
		services.server.on('connection', (socket: Socket) => {
			shedding.recordConnection(socket.remotePort);
		});
		services.server.on('drop', (dropped?: {readonly remotePort?: number}) => {
			shedding.recordDrop(dropped?.remotePort);
		});
		return shedding;
	}

	private readonly queue = AcceptQueue.create();
	private probe: Probe | undefined;
	private hadConnection = false;
	private isWatching = false;
	private isShedding = false;
	private shedCount = 0;

	private constructor(private readonly services: ConnectionSheddingServices) {}

	private recordDrop(port: number | undefined): void {
		if (!this.isProbe(port)) {
			this.shedCount++;
			this.services.metrics.connectionsShed.inc();
		}

		this.recordConnection(port);
	}

	private recordConnection(port: number | undefined): void {
		const now = this.services.clock.monotonic();
		const {last} = this.services.suspensions;
		if (last) {
			this.queue.recordSuspension(last.steady, last.endedAt);
		}

		this.queue.recordConnection(now);
		this.hadConnection = true;
		this.measure(now, port);
		this.update();
		this.watch();
	}

	private measure(now: number, port: number | undefined): void {
		if (this.probe) {
			const isAccepted = this.isProbe(port);
			this.queue.recordWait(now, now - this.probe.sentAt, isAccepted);
			if (isAccepted) {
				this.endProbe();
			}
		} else if (this.queue.needsMeasurement(now)) {
			this.startProbe(now);
		}
	}

	private isProbe(port: number | undefined): boolean {
		return port !== undefined && port === this.probe?.socket.localPort;
	}

	private startProbe(sentAt: number): void {
		const {address, port} = this.services.server.address() as AddressInfo;
		const socket = connect(port, address);
		socket.on('error', () => {
			this.endProbe();
		});
		this.probe = {socket, sentAt};
	}

	private endProbe(): void {
		this.probe?.socket.destroy();
		this.probe = undefined;
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

			this.endProbe();
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
