/**
 * Detects whether an HTTP answer was received completely, even if its framing does not show it.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Watches how the connection of one request ends. For an answer with neither a length nor chunks, Node treats a connection reset
 * as a regular end.
 */
export class AnswerEnd {
	/**
	 * @param outgoing - A request without a connection yet.
	 * @returns The watch; it removes its listener from the connection when the request closes.
	 */
	static watch(outgoing: ClientRequest): AnswerEnd {
		const end = new AnswerEnd();
		outgoing.once('socket', socket => {
			end.watchSocket(outgoing, socket);
		});
		outgoing.once('response', answer => {
			end.answer = answer;
		});
		// Surplus bytes and errors after a complete answer do not invalidate it.
		outgoing.on('error', () => {
			end.isBroken ||= !end.isComplete;
		});
		return end;
	}

	private answer: IncomingMessage | undefined;
	private isBroken = false;

	private constructor() {
		// Created by watch().
	}

	/** Whether the whole answer was received; false if its connection was reset before the end, regardless of its framing. */
	get isWhole(): boolean {
		return this.isComplete && !this.isBroken;
	}

	private get isComplete(): boolean {
		return this.answer?.complete === true;
	}

	/** Node reports a reset that arrives with the last bytes as a regular end, but the socket then has no remote address. */
	private watchSocket(outgoing: ClientRequest, socket: Socket): void {
		const recordReset = () => {
			this.isBroken ||= !this.isComplete && socket.remoteAddress === undefined;
		};

		// Node's own listener marks the answer as complete, so this one must run first.
		socket.prependOnceListener('end', recordReset);
		outgoing.once('close', () => {
			socket.off('end', recordReset);
		});
	}
}
