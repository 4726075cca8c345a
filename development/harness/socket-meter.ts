/**
 * Measures how many bytes this process takes from one server, and how long it keeps a connection that has sent too many. Development only.
 */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

/** Channel on which Node.js announces each new client connection. */
const channel = 'net.client.socket';
/** Milliseconds between two looks at the connections. */
const interval = 2;

/** A connection that is measured. */
type MeteredSocket = {
	readonly socket: Socket;
	/** Monotonic milliseconds at which it had received more than the bound; `undefined` before. */
	exceededAt: number | undefined;
	/** Monotonic milliseconds at which it was seen closed; `undefined` before. */
	closedAt: number | undefined;
};

/** Measures all connections that this process opens. */
export class SocketMeter {
	/**
	 * @param bound - Bytes that a connection may receive.
	 * @returns A meter of the connections opened from now on; close it after use.
	 */
	static create(bound: number): SocketMeter {
		return new SocketMeter(bound);
	}

	private metered: readonly MeteredSocket[] = [];
	private readonly timer: NodeJS.Timeout;
	private readonly onSocket: (message: unknown) => void;

	private constructor(private readonly bound: number) {
		this.onSocket = message => {
			const {socket} = message as {readonly socket: Socket};
			this.metered = [...this.metered, {socket, exceededAt: undefined, closedAt: undefined}];
		};

		subscribe(channel, this.onSocket);
		this.timer = setInterval(() => {
			this.look();
		}, interval);
	}

	/** The largest number of bytes that one connection has received. */
	get bytes(): number {
		return Math.max(0, ...this.metered.map(({socket}) => socket.bytesRead));
	}

	/** Whether all connections are closed. */
	get areClosed(): boolean {
		return this.metered.every(({socket}) => socket.destroyed);
	}

	/** The longest time in milliseconds between the bound being passed and the close of a connection; infinite for one that is open. */
	get heldFor(): number {
		this.look();
		return Math.max(0, ...this.metered.map(({exceededAt, closedAt}) => exceededAt === undefined ? 0 : (closedAt ?? Number.POSITIVE_INFINITY) - exceededAt));
	}

	/** Stops measuring. */
	close(): void {
		clearInterval(this.timer);
		unsubscribe(channel, this.onSocket);
	}

	private look(): void {
		const now = performance.now();
		for (const entry of this.metered) {
			if (entry.socket.bytesRead > this.bound) {
				entry.exceededAt ??= now;
			}

			if (entry.socket.destroyed) {
				entry.closedAt ??= now;
			}
		}
	}
}
