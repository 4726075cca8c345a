/**
 * Connection pool of one replica. A connection is handed out only after it is established, so a failure before that
 * proves that nothing was sent. An idle connection is closed on any unexpected event.
 */
import {connect, type Socket} from 'node:net';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';

/** Milliseconds within which a connection has to be established. One whose first packet is lost takes a second, so that another replica is tried earlier. */
const connectTimeout = 250;
/** The same for a probe. */
const probeTimeout = 200;
/** Milliseconds after which a connection that is not established is reported as pending. */
const pendingDelay = 100;
/** Milliseconds that an idle connection is kept if the replica names no keep-alive time. */
const defaultIdleLifetime = 4000;
/** Fraction of the replica's keep-alive time that is used, so that no request is sent while the replica closes the connection. */
const idleLifetimeFraction = 0.6;
/** Idle milliseconds after which a connection is not used for a request that cannot be retried. */
const maxFreshIdleTime = 1000;
/** Maximum idle connections that a box keeps to one replica, whatever the number of its slots. */
export const maxIdleConnections = 24;

/** No connection to a replica could be established; nothing was sent. */
export class ConnectionFailure extends Data.TaggedError('ConnectionFailure')<{
	readonly detail: string;
	/** Whether the host refused the connection because no process listens on the port. */
	readonly isRefused: boolean;
}> {}

/** An established connection. */
export type Connection = {
	readonly socket: Socket;
	/** Whether the connection has carried a request before. */
	readonly isReused: boolean;
};

/** Whether a replica listens: `standing` if it accepted a connection, `refused` if its host rejected it, `silent` on timeout or another error. */
export type ProbeResult = 'standing' | 'refused' | 'silent';

/** What became of a new connection: the result of a probe, or `pending` if there is none yet. */
export type ConnectionOutcome = ProbeResult | 'pending';

/** Opens a TCP connection. */
export type SocketConnector = (address: {readonly host: string; readonly port: number}) => Socket;

/** Opens a connection without Nagle's algorithm, which would delay requests. */
export const connectSocket: SocketConnector = ({host, port}) => connect({host, port, noDelay: true});

/** Parameters of a pool. */
export type ConnectionPool = {
	/** IP address of the replica. */
	readonly host: string;
	/** TCP port of the replica. */
	readonly port: number;
	/** Measures idle times. */
	readonly clock: Clock;
	/** @returns How many idle connections may be kept. */
	readonly maxIdle?: () => number;
	readonly connector?: SocketConnector;
	/** Called with what became of each new connection. */
	readonly onOutcome?: (outcome: ConnectionOutcome) => void;
};

type IdleConnection = {
	readonly socket: Socket;
	/** Monotonic milliseconds at which the connection became idle. */
	readonly since: number;
	/** Monotonic milliseconds from which on the connection is not used. */
	readonly until: number;
	/** Removes the listeners of the idle connection. */
	readonly detach: () => void;
};

/** Connection pool of one replica. */
export class ReplicaConnections {
	/**
	 * @param pool - Its parameters.
	 * @returns An empty pool.
	 */
	static create(pool: ConnectionPool): ReplicaConnections {
		return new ReplicaConnections({
			maxIdle: () => maxIdleConnections, connector: connectSocket, onOutcome() {/* Not needed. */}, ...pool,
		});
	}

	/** Connections opened so far. */
	opened = 0;
	private idle: readonly IdleConnection[] = [];
	/** Connections that carry a request. */
	private readonly inUse = new Set<Socket>();
	private isClosed = false;

	private constructor(private readonly pool: Required<ConnectionPool>) {}

	/**
	 * @param needsFresh - Whether the request cannot be retried, which excludes connections that have been idle for long.
	 * @returns An established connection.
	 */
	acquire(needsFresh: boolean): Effect.Effect<Connection, ConnectionFailure> {
		return Effect.suspend(() => {
			const socket = this.acquireIdle(needsFresh);
			return socket ? Effect.succeed({socket, isReused: true}) : this.open();
		}).pipe(Effect.tap(({socket}) => Effect.sync(() => {
			this.inUse.add(socket);
		})));
	}

	/**
	 * Checks whether the replica listens, over a new connection, which is kept idle if established.
	 *
	 * @returns The result of the check.
	 */
	probe(): Effect.Effect<ProbeResult> {
		return this.open(probeTimeout).pipe(
			Effect.map(({socket}): ProbeResult => {
				this.release(socket, undefined);
				return 'standing';
			}),
			Effect.catch(({isRefused}) => Effect.succeed<ProbeResult>(isRefused ? 'refused' : 'silent')),
		);
	}

	/**
	 * Returns a connection to the pool after a complete response.
	 *
	 * @param socket - The connection.
	 * @param lifetime - Keep-alive time of the replica in milliseconds; `undefined` if it names none.
	 */
	release(socket: Socket, lifetime: number | undefined): void {
		this.inUse.delete(socket);
		const idleLifetime = Math.max(0, (lifetime ?? defaultIdleLifetime) * idleLifetimeFraction);
		if (this.isClosed || socket.destroyed || idleLifetime === 0 || this.idle.length >= this.pool.maxIdle()) {
			socket.destroy();
			return;
		}

		const drop = () => {
			socket.destroy();
			this.idle = this.idle.filter(other => other.socket !== socket);
		};

		// Data that arrives while no request is in progress belongs to no request.
		const events = ['data', 'end', 'error', 'close', 'timeout'] as const;
		for (const event of events) {
			socket.on(event, drop);
		}

		socket.setTimeout(idleLifetime);
		socket.resume();
		const detach = () => {
			for (const event of events) {
				socket.off(event, drop);
			}

			socket.setTimeout(0);
		};

		const now = this.pool.clock.monotonic();
		this.idle = [...this.idle, {
			socket, since: now, until: now + idleLifetime, detach,
		}];
	}

	/** Closes the idle connections; those in use are closed on release. */
	close(): void {
		this.isClosed = true;
		this.closeIdle();
	}

	/** Closes the idle connections. */
	closeIdle(): void {
		for (const {socket} of this.idle) {
			socket.destroy();
		}

		this.idle = [];
	}

	/** Destroys the connections in use, whose requests will not be answered. */
	destroyInUse(): void {
		for (const socket of this.inUse) {
			socket.destroy();
		}
	}

	private acquireIdle(needsFresh: boolean): Socket | undefined {
		const now = this.pool.clock.monotonic();
		const resumedAt = this.pool.clock.lastResumedAt();
		// While this process was suspended, the replica's keep-alive time went on, so it may have closed the connection.
		const usable = this.idle.filter(({socket, since, until}) => !socket.destroyed && now < until && since >= resumedAt
			&& (!needsFresh || now - since < maxFreshIdleTime));
		const newest = usable.at(-1);
		if (!newest) {
			return undefined;
		}

		this.idle = this.idle.filter(other => other !== newest);
		newest.detach();
		return newest.socket;
	}

	private open(timeout = connectTimeout): Effect.Effect<Connection, ConnectionFailure> {
		return Effect.callback<Connection, ConnectionFailure>(resume => {
			this.opened++;
			const {host, port, connector, onOutcome} = this.pool;
			const socket = connector({host, port});
			// Between two uses of a connection no other listener may be registered, and an error event without one ends the process.
			socket.on('error', ignoreError);
			const pendingTimer = setTimeout(() => {
				onOutcome('pending');
			}, pendingDelay);
			const timer = setTimeout(() => {
				fail(`no connection within ${timeout} ms`, false);
			}, timeout);
			const settle = () => {
				clearTimeout(timer);
				clearTimeout(pendingTimer);
				socket.off('connect', onConnect);
				socket.off('error', onError);
			};

			const fail = (detail: string, isRefused: boolean) => {
				settle();
				socket.destroy();
				onOutcome(isRefused ? 'refused' : 'silent');
				resume(Effect.fail(new ConnectionFailure({detail, isRefused})));
			};

			const onError = (error: NodeJS.ErrnoException) => {
				fail(error.message, error.code === 'ECONNREFUSED');
			};

			const onConnect = () => {
				settle();
				onOutcome('standing');
				socket.once('close', () => {
					this.inUse.delete(socket);
				});
				resume(Effect.succeed({socket, isReused: false}));
			};

			socket.once('connect', onConnect);
			socket.once('error', onError);
			return Effect.sync(() => {
				settle();
				socket.destroy();
			});
		});
	}
}

/** The close of a connection, which follows an error, is handled by its user. */
const ignoreError = () => undefined;
