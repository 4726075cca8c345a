/**
 * Counts the connections that a process opens for requests. At the limit idle ones are closed, so that those in use leave descriptors for the listeners.
 */
import type {Socket} from 'node:net';

/** The connections that a process has opened. */
export class OutgoingConnections {
	/**
	 * @param limit - Number of connections at which idle ones are closed.
	 * @returns A count of zero.
	 */
	static create(limit: number): OutgoingConnections {
		return new OutgoingConnections(limit);
	}

	private open = 0;
	private readonly listeners: Array<() => void> = [];

	private constructor(readonly limit: number) {}

	/** Number of open connections. */
	get count(): number {
		return this.open;
	}

	/** @param listener - Closes idle connections. */
	onShortage(listener: () => void): void {
		this.listeners.push(listener);
	}

	/**
	 * @param connector - Opens a connection.
	 * @returns A connector whose connections are counted.
	 */
	counting<Parameters extends readonly unknown[]>(connector: (...parameters: Parameters) => Socket): (...parameters: Parameters) => Socket {
		return (...parameters) => {
			if (this.open >= this.limit) {
				for (const listener of this.listeners) {
					listener();
				}
			}

			const socket = connector(...parameters);
			this.open++;
			socket.once('close', () => {
				this.open--;
			});
			return socket;
		};
	}
}
