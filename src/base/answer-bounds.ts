/**
 * Bounds the bytes that a server may send around the body of an HTTP answer. Node's parser skips blanks, blank lines and leading zeros without
 * counting them, and accepts any number of interim answers, so the bytes are counted as they arrive on the connection.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

const kibibyte = 1024;
/** Maximum size in bytes of the head of an answer, with all interim answers before it; also of the trailers after its body. */
export const maxAnswerHeadBytes = 16 * kibibyte;
/** Maximum number of interim answers (1xx) before an answer. */
export const maxInterimAnswers = 8;
/** Maximum length in bytes of a line of the framing of a body: the header of a chunk, or a trailer. */
export const maxFramingLineBytes = kibibyte;
/** Maximum size in bytes of a body that is kept in memory until it is complete. */
export const maxBodyBytes = 16 * kibibyte * kibibyte;
const lineEnd = 0x0A;

/** Receives what a server sent beyond a bound. */
export type ExcessListener = {
	/**
	 * Called once; the connection has to be closed.
	 *
	 * @param detail - Which bound the incomplete answer exceeds.
	 */
	readonly onExcess: (detail: string) => void;
};

/** Counts what arrives for one request, and reports the first excess. */
export class AnswerBounds {
	/**
	 * @param outgoing - A request without a connection yet.
	 * @param listener - Notified of an excess. Bytes after a complete answer close the connection without a notification, since the answer stays
	 * valid.
	 * @returns The bounds; they remove their listener from the connection when the request closes.
	 */
	static watch(outgoing: ClientRequest, listener: ExcessListener): AnswerBounds {
		const bounds = new AnswerBounds(listener);
		outgoing.once('socket', socket => {
			bounds.watchSocket(outgoing, socket);
		});
		// Emitted for each interim answer, also for 100, which is announced as 'continue' as well.
		outgoing.on('information', () => {
			bounds.countInterim();
		});
		outgoing.prependOnceListener('response', answer => {
			bounds.watchBody(answer);
		});
		return bounds;
	}

	private answer: IncomingMessage | undefined;
	/** Whether the read in which the head ended has been counted. */
	private hasHead = false;
	private wasComplete = false;
	private hasExcess = false;
	private headBytes = 0;
	private interimAnswers = 0;
	/** Bytes and pieces of the body in the current read of the connection. */
	private bodyBytes = 0;
	private bodyPieces = 0;
	/** Bytes of framing in excess of the chunk headers that the pieces of the body account for. */
	private framingBytes = 0;
	/** Bytes of the current line of framing. */
	private lineBytes = 0;

	private constructor(private readonly listener: ExcessListener) {}

	/** Node's own listener hands each read to its parser first, so this one sees the result. */
	private watchSocket(outgoing: ClientRequest, socket: Socket): void {
		const count = (read: Uint8Array) => {
			this.count(read, socket);
		};

		socket.on('data', count);
		outgoing.once('close', () => {
			socket.off('data', count);
		});
	}

	/** Node's parser hands over the body with `push`; a 'data' listener would start the flow of the body. */
	private watchBody(answer: IncomingMessage): void {
		const push = answer.push.bind(answer);
		this.answer = answer;
		answer.push = (piece: unknown, encoding?: BufferEncoding) => {
			if (piece instanceof Uint8Array) {
				this.bodyBytes += piece.length;
				this.bodyPieces++;
			}

			return push(piece, encoding);
		};
	}

	private countInterim(): void {
		this.interimAnswers++;
		if (this.interimAnswers > maxInterimAnswers) {
			this.report(`more than ${maxInterimAnswers} interim answers came`);
		}
	}

	private count(read: Uint8Array, socket: Socket): void {
		if (this.wasComplete) {
			socket.destroy();
		} else if (this.answer) {
			this.countBody(read, this.answer);
		} else {
			this.headBytes += read.length;
			if (this.headBytes > maxAnswerHeadBytes) {
				this.report(`the head is longer than ${maxAnswerHeadBytes} bytes`);
			}
		}
	}

	private countBody(read: Uint8Array, answer: IncomingMessage): void {
		this.wasComplete = answer.complete;
		if (this.hasHead && !answer.complete && answer.headers['transfer-encoding'] !== undefined) {
			this.countFraming(read);
		}

		this.hasHead = true;

		this.bodyBytes = 0;
		this.bodyPieces = 0;
	}

	/** A read with a part of the body may end inside a line, but its position is unknown; that line is counted from the next read on. */
	private countFraming(read: Uint8Array): void {
		const framing = read.length - this.bodyBytes;
		this.framingBytes = Math.max(0, this.framingBytes + framing - (this.bodyPieces * maxFramingLineBytes));
		const lines = this.bodyPieces > 0 ? [0] : lineLengths(read, this.lineBytes);
		this.lineBytes = lines.at(-1) ?? 0;
		if (lines.some(length => length > maxFramingLineBytes)) {
			this.report(`a line of the framing is longer than ${maxFramingLineBytes} bytes`);
		} else if (this.framingBytes > maxAnswerHeadBytes) {
			this.report(`the framing is longer than ${maxAnswerHeadBytes} bytes`);
		}
	}

	private report(detail: string): void {
		if (!this.hasExcess) {
			this.hasExcess = true;
			this.listener.onExcess(detail);
		}
	}
}

/** @returns The lengths of the lines of a read, of which the first goes on from the read before; the last may be incomplete. */
function lineLengths(read: Uint8Array, lengthBefore: number): readonly number[] {
	const lengths: number[] = [];
	let begin = -lengthBefore;
	for (let end = read.indexOf(lineEnd); end !== -1; end = read.indexOf(lineEnd, end + 1)) {
		lengths.push(end - begin);
		begin = end + 1;
	}

	return [...lengths, read.length - begin];
}
