/**
 * Resets TCP connections without leaking their handles. Development only.
 */
import type {Socket} from 'node:net';

/**
 * Resets a connection, or destroys it if it is already ending. Node.js never releases the handle of a connection that is reset while it ends, and
 * busy-loops on that handle when the process exits.
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

/**
 * Ends a connection as a reset by the other side does, for its owner in this process. After a reset by the owner itself, Node.js would take an answer without
 * a length as complete.
 *
 * @param socket - The connection.
 */
export function receiveReset(socket: Socket): void {
	socket.destroy(Object.assign(new Error('read ECONNRESET'), {code: 'ECONNRESET', syscall: 'read'}));
}
