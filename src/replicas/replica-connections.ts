/**
 * Connections to one replica. A connection is handed out only when it stands, so that a failure before proves that
 * nothing was sent; one on which anything unexpected comes is closed.
 */
import {connect, type Socket} from 'node:net';
import * as Data from 'effect/Data';
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';

/** Milliseconds for a connection to stand. */
const connectTimeout = 700;
/** Milliseconds an idle connection is kept where the replica says nothing. */
const assumedIdleLifetime = 4000;
/** Part of what the replica says that is used, so that its own close is not met. */
const idleLifetimePart = 0.6;
/** Milliseconds after which an idle connection is too old for a request that must not be sent again. */
const freshIdleTime = 1000;
/** Connections that a box keeps idle at most, whatever the replica takes. */
export const largestIdleCount = 24;

/** No connection to a replica could be made; nothing was sent. */
export class ConnectionFailure extends Data.TaggedError('ConnectionFailure')<{
	readonly detail: string;
	/** Whether the replica's box said that nobody listens. */
	readonly isRefused: boolean;
}> {}

/** A connection that stands. */
export type Connection = {
	readonly socket: Socket;
	/** Whether it carried a request before. */
	readonly isReused: boolean;
};

/** Whether a replica listens: `silent` where its box said nothing either way. */
export type ProbeResult = 'standing' | 'refused' | 'silent';

type Idle = {
	readonly socket: Socket;
	readonly since: number;
	readonly until: number;
	readonly forget: () => void;
};

/** Connections to one replica. */
export class ReplicaConnections {
	/**
	 * @param host - IP number.
	 * @param port - TCP port.
	 * @param clock - For idle times.
	 * @param mostIdle - Asked how many connections may be kept idle.
	 * @returns No connections yet.
	 */
	static create(host: string, port: number, clock: Clock, mostIdle: () => number = () => largestIdleCount): ReplicaConnections {
		return new ReplicaConnections(host, port, clock, mostIdle);
	}

	/** Connections opened so far. */
	opened = 0;
	private idle: readonly Idle[] = [];
	/** Those that carry a request. */
	private readonly inUse = new Set<Socket>();
	private isClosed = false;

	private constructor(private readonly host: string, private readonly port: number, private readonly clock: Clock, private readonly mostIdle: () => number) {}

	/**
	 * @param needsFresh - Whether the request must not be sent again, so that an old idle connection is not good enough.
	 * @returns A connection that stands.
	 */
	acquire(needsFresh: boolean): Effect.Effect<Connection, ConnectionFailure> {
		return Effect.suspend(() => {
			const socket = this.takeIdle(needsFresh);
			return socket ? Effect.succeed({socket, isReused: true}) : this.open();
		}).pipe(Effect.tap(({socket}) => Effect.sync(() => {
			this.inUse.add(socket);
		})));
	}

	/**
	 * Finds out whether anybody listens, on a connection of its own, which is kept where it stands.
	 *
	 * @returns What was found.
	 */
	probe(): Effect.Effect<ProbeResult> {
		return this.open().pipe(
			Effect.map(({socket}): ProbeResult => {
				this.release(socket, undefined);
				return 'standing';
			}),
			Effect.catch(({isRefused}) => Effect.succeed<ProbeResult>(isRefused ? 'refused' : 'silent')),
		);
	}

	/**
	 * Takes a connection back after a whole answer.
	 *
	 * @param socket - The connection.
	 * @param lifetime - Milliseconds for which the replica keeps it; `undefined` where it did not say.
	 */
	release(socket: Socket, lifetime: number | undefined): void {
		this.inUse.delete(socket);
		const keep = Math.max(0, (lifetime ?? assumedIdleLifetime) * idleLifetimePart);
		if (this.isClosed || socket.destroyed || keep === 0 || this.idle.length >= this.mostIdle()) {
			socket.destroy();
			return;
		}

		const drop = () => {
			socket.destroy();
			this.idle = this.idle.filter(other => other.socket !== socket);
		};

		// Whatever comes while no request is waiting belongs to none.
		const events = ['data', 'end', 'error', 'close', 'timeout'] as const;
		for (const event of events) {
			socket.on(event, drop);
		}

		socket.setTimeout(keep);
		socket.resume();
		const forget = () => {
			for (const event of events) {
				socket.off(event, drop);
			}

			socket.setTimeout(0);
		};

		const now = this.clock.monotonic();
		this.idle = [...this.idle, {
			socket, since: now, until: now + keep, forget,
		}];
	}

	/** Closes the idle ones; those in use are closed as they come back. */
	close(): void {
		this.isClosed = true;
		for (const {socket} of this.idle) {
			socket.destroy();
		}

		this.idle = [];
	}

	/** Cuts those in use: nobody answers on them any more. */
	abandon(): void {
		for (const socket of this.inUse) {
			socket.destroy();
		}
	}

	private takeIdle(needsFresh: boolean): Socket | undefined {
		const now = this.clock.monotonic();
		const wokenAt = this.clock.lastWake();
		// The replica has counted a suspension, and may have closed the connection.
		const usable = this.idle.filter(({socket, since, until}) => !socket.destroyed && now < until && since >= wokenAt
			&& (!needsFresh || now - since < freshIdleTime));
		const taken = usable.at(-1);
		if (!taken) {
			return undefined;
		}

		this.idle = this.idle.filter(other => other !== taken);
		taken.forget();
		return taken.socket;
	}

	private open(): Effect.Effect<Connection, ConnectionFailure> {
		return Effect.callback<Connection, ConnectionFailure>(resume => {
			this.opened++;
			const socket = connect({host: this.host, port: this.port, noDelay: true});
			const timer = setTimeout(() => {
				fail(`no connection within ${connectTimeout} ms`, false);
			}, connectTimeout);
			const settle = () => {
				clearTimeout(timer);
				socket.off('connect', succeed);
				socket.off('error', refuse);
			};

			const fail = (detail: string, isRefused: boolean) => {
				settle();
				socket.on('error', ignore);
				socket.destroy();
				resume(Effect.fail(new ConnectionFailure({detail, isRefused})));
			};

			const refuse = (error: NodeJS.ErrnoException) => {
				fail(error.message, error.code === 'ECONNREFUSED');
			};

			const succeed = () => {
				settle();
				socket.once('close', () => {
					this.inUse.delete(socket);
				});
				resume(Effect.succeed({socket, isReused: false}));
			};

			socket.once('connect', succeed);
			socket.once('error', refuse);
			return Effect.sync(() => {
				settle();
				socket.on('error', ignore);
				socket.destroy();
			});
		});
	}
}

/** An error of a connection that is being closed says nothing new. */
const ignore = () => undefined;
