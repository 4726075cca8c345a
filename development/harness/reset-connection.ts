/**
 * Resets connections without leaving them behind. Development only.
 */
import type {Socket} from 'node:net';

/**
 * Node keeps the handle of a connection for good that is reset while it is being ended, and spins on it when the process ends: such a one is closed.
 *
 * @param socket - The connection.
 */
export function resetConnection(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
