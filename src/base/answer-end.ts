/**
 * Whether all of an answer has come, also where its framing cannot tell.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Watches how the connection of one request ends. Node takes a reset for the end of an answer that has neither a length nor chunks.
 */
export class AnswerEnd {
	/**
	 * @param outgoing - A request that has no connection yet.
	 * @returns The watch; it leaves the connection with the request.
	 */
	static watch(outgoing: ClientRequest): AnswerEnd {
		const end = new AnswerEnd();
		outgoing.once('socket', socket => {
			end.follow(outgoing, socket);
		});
		outgoing.once('response', answer => {
			end.answer = answer;
		});
		// Surplus bytes and late errors behind a whole answer take nothing from it.
		outgoing.on('error', () => {
			end.isBroken ||= !end.isComplete;
		});
		return end;
	}

	private answer: IncomingMessage | undefined;
	private isBroken = false;

	private constructor() {
		// Made by watch().
	}

	/** Whether all of the answer has come; false where its connection was reset, whatever its framing says. */
	get isWhole(): boolean {
		return this.isComplete && !this.isBroken;
	}

	private get isComplete(): boolean {
		return this.answer?.complete === true;
	}

	/** A reset that comes together with the last bytes is told as a plain end; then the connection has no peer any more. */
	private follow(outgoing: ClientRequest, socket: Socket): void {
		const noteReset = () => {
			this.isBroken ||= !this.isComplete && socket.remoteAddress === undefined;
		};

		// Node's own listener completes the answer: this one must be told before.
		socket.prependOnceListener('end', noteReset);
		outgoing.once('close', () => {
			socket.off('end', noteReset);
		});
	}
}
