/**
 * Tracks the responses of a server that have not been sent completely, so that they can be reset before the server closes.
 */
import type {Server, ServerResponse} from 'node:http';
import {isLingering} from './lingering-close.js';

/** The responses of one server that have not been sent completely. */
export class OpenResponses {
	/**
	 * @param server - A server that has not accepted a connection yet.
	 * @returns Its responses, none so far.
	 */
	static watch(server: Server): OpenResponses {
		const responses = new OpenResponses();
		server.prependListener('request', (_, response) => {
			responses.add(response);
		});
		return responses;
	}

	private readonly open = new Set<ServerResponse>();
	private readonly resetListeners: Array<(response: ServerResponse) => void> = [];

	private constructor() {
		// Use watch().
	}

	/** @param listener - Called with each response that is not complete, right before its connection is reset. */
	onWillReset(listener: (response: ServerResponse) => void): void {
		this.resetListeners.push(listener);
	}

	/**
	 * Resets the connection of each response. The end of a process closes connections in order, and a client of HTTP/1.0 takes that for the end of
	 * a body without a length. An answer that is complete but for the rest of its request is not reset, which could discard it.
	 */
	reset(): void {
		for (const response of this.open) {
			const {socket} = response;
			if (socket && isLingering(response) && socket.writableLength === 0) {
				socket.destroy();
			} else if (socket && !socket.destroyed && !socket.writableEnded) {
				for (const listener of this.resetListeners) {
					listener(response);
				}

				// A reset of a connection that is already ending leaks its handle.
				socket.resetAndDestroy();
				// The reset alone waits for unsent data, and an exiting process does not.
				socket.destroy();
			}
		}
	}

	private add(response: ServerResponse): void {
		this.open.add(response);
		response.once('close', () => {
			this.open.delete(response);
		});
	}
}
