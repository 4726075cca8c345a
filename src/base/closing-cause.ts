/**
 * Remembers why this process closed a client's connection, for the report of an answer that the client did not receive completely.
 */
import type {Socket} from 'node:net';
import type {RefusalReason} from './refusal-reason.js';

/**
 * Why a client's connection was closed: a refusal after the head of the answer had been sent, by its reason; `unread`, the client did not read its answer while
 * memory was short; `limit`, too many connections or too long heads; `idle`, the idle time-out; `exit`, the process exits.
 */
export type ClosingCause = RefusalReason | 'unread' | 'limit' | 'idle' | 'exit';

const causes = new WeakMap<Socket, ClosingCause>();

/**
 * Records why a connection is being closed; the first cause stays.
 *
 * @param socket - The connection.
 * @param cause - Why this process closes it.
 */
export function recordClosing(socket: Socket, cause: ClosingCause): void {
	if (!causes.has(socket)) {
		causes.set(socket, cause);
	}
}

/**
 * @param socket - A connection that has been closed.
 * @returns Why this process closed it; `client` if this process did not.
 */
export const closingCauseOf = (socket: Socket): ClosingCause | 'client' => causes.get(socket) ?? 'client';
