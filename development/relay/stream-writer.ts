/**
 * Writes a stream of server-sent events as a replica does, correctly or with faults. Development only.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {resetConnection} from '../harness/reset-connection.js';

/** How a replica writes a stream. */
export type StreamConduct = {
	/** How events are split into writes: one write per event, the first byte separately, byte by byte, cut inside a character, or two events per write. */
	readonly pieces: 'whole' | 'first-apart' | 'bytes' | 'in-character' | 'together';
	/** Whether the response uses chunked encoding, or ends only with its connection. */
	readonly framing: 'chunked' | 'none';
	/** Event, and number of its bytes, after which the connection breaks; applies to resumed streams only with `isAnyRun`. `undefined` if it does not break. */
	readonly breaksAt: {readonly event: number; readonly bytes: number; readonly isAnyRun?: boolean} | undefined;
	/** Number of the event from which nothing is written, while the connection stays open. */
	readonly silentFrom: number | undefined;
	/** How a breaking connection ends. */
	readonly ending: 'reset' | 'close';
	/** Where a resumed stream continues: at the next event, at the first event, or at the event after the next if there is one. */
	readonly resumesAt: 'behind' | 'anew' | 'too-far';
	/** Number of the event that is written without an id. */
	readonly eventWithoutId: number | undefined;
	/** Number of the event that is omitted. */
	readonly omittedEvent: number | undefined;
};

/** A correct stream, with one write per event. */
export const wholeStream: StreamConduct = {
	pieces: 'whole', framing: 'chunked', breaksAt: undefined, silentFrom: undefined, ending: 'close', resumesAt: 'behind', eventWithoutId: undefined, omittedEvent: undefined,
};

/** The stream to write. */
export type StreamOrder = {
	readonly conduct: StreamConduct;
	/** Text in the data of the events that identifies their producer. */
	readonly replica: string;
	/** Number of events of the whole stream. */
	readonly events: number;
	/** Milliseconds between events. */
	readonly gap: number;
	/** Number of the last event that the client has received; 0 for a stream from the beginning. */
	readonly after: number;
	/** Response headers besides `Content-Type`. */
	readonly headers: Readonly<Record<string, string>>;
};

/** Milliseconds between the pieces of an event, so that each arrives separately. */
const pieceGap = 1;
/** Milliseconds before a reset, so that the client reads the written data, which a reset would discard. */
const resetDelay = 15;
/** Lowest byte value that begins a multi-byte character in UTF-8. */
const minLeadByte = 0xC0;

/**
 * @param replica - Text that identifies the producer.
 * @param event - Number of the event.
 * @returns Text of the event, with a multi-byte character in its data.
 */
export const eventOf = (replica: string, event: number): string => `id: ${event}\ndata: ${replica}-${event} ü\n\n`;

/** Writes one response. */
export class StreamWriter {
	/**
	 * @param response - The response to write to; nothing has been sent yet.
	 * @param order - The stream to write.
	 * @returns The writer.
	 */
	static create(response: ServerResponse, order: StreamOrder): StreamWriter {
		return new StreamWriter(response, order);
	}

	/** Events that are buffered until the next event is written. */
	private buffered: Uint8Array = Buffer.alloc(0);

	private constructor(private readonly response: ServerResponse, private readonly order: StreamOrder) {}

	/**
	 * Writes the response to its end or to the point where it breaks.
	 *
	 * @returns Whether the stream was written completely and correctly.
	 */
	async write(): Promise<boolean> {
		const {conduct, events, gap} = this.order;
		this.begin();
		for (const [index, event] of this.eventNumbers.entries()) {
			if (this.response.destroyed || event >= (conduct.silentFrom ?? Number.POSITIVE_INFINITY)) {
				return false;
			}

			if (conduct.breaksAt?.event === event && (this.order.after === 0 || conduct.breaksAt.isAnyRun === true)) {
				await this.breakOff(Buffer.from(this.textOf(event)).subarray(0, conduct.breaksAt.bytes));
				return false;
			}

			const isHeld = conduct.pieces === 'together' && index % 2 === 0 && event < events && event + 1 !== conduct.breaksAt?.event;
			this.buffered = Buffer.concat([this.buffered, Buffer.from(this.textOf(event))]);
			if (!isHeld) {
				await this.writePieces(this.buffered);
				this.buffered = Buffer.alloc(0);
				await pause(gap);
			}
		}

		this.end();
		return this.isRight;
	}

	private get isRight(): boolean {
		const {conduct: {eventWithoutId}, after, events} = this.order;
		const {eventNumbers: numbers} = this;
		return numbers.length === events - after && numbers.every((event, index) => event === after + index + 1 && event !== eventWithoutId);
	}

	private get eventNumbers(): readonly number[] {
		const {conduct: {resumesAt, omittedEvent}, after, events} = this.order;
		const skipped = resumesAt === 'too-far' && after > 0 && after + 1 < events ? 1 : 0;
		const first = resumesAt === 'anew' ? 1 : after + 1 + skipped;
		return Array.from({length: Math.max(0, events - first + 1)}, (_, index) => first + index).filter(event => event !== omittedEvent);
	}

	private textOf(event: number): string {
		const {conduct, replica} = this.order;
		const text = eventOf(replica, event);
		return event === conduct.eventWithoutId ? text.slice(text.indexOf('\n') + 1) : text;
	}

	private begin(): void {
		const headers = {...this.order.headers, 'Content-Type': 'text/event-stream'};
		if (this.order.conduct.framing === 'chunked') {
			this.response.writeHead(200, headers);
			return;
		}

		const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
		this.response.socket?.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
	}

	private async writePieces(bytes: Uint8Array): Promise<void> {
		const ends = this.pieceEnds(bytes);
		for (const [index, end] of ends.entries()) {
			const piece = bytes.subarray(ends[index - 1] ?? 0, end);
			if (piece.length > 0 && !this.response.destroyed) {
				this.writeBytes(piece);
				await pause(ends.length > 1 ? pieceGap : 0);
			}
		}
	}

	private pieceEnds(bytes: Uint8Array): readonly number[] {
		switch (this.order.conduct.pieces) {
			case 'first-apart': {
				return [1, bytes.length];
			}

			case 'bytes': {
				return Array.from(bytes, (_, index) => index + 1);
			}

			case 'in-character': {
				return [bytes.findIndex(byte => byte >= minLeadByte) + 1, bytes.length];
			}

			default: {
				return [bytes.length];
			}
		}
	}

	private writeBytes(piece: Uint8Array): void {
		if (this.order.conduct.framing === 'chunked') {
			this.response.write(piece);
		} else {
			this.response.socket?.write(piece);
		}
	}

	private end(): void {
		if (this.order.conduct.framing === 'chunked') {
			this.response.end();
		} else {
			this.response.socket?.end();
		}
	}

	private async breakOff(part: Uint8Array): Promise<void> {
		await this.writePieces(part);
		const {socket} = this.response;
		if (this.order.conduct.ending === 'close') {
			socket?.end();
			return;
		}

		await pause(resetDelay);
		if (socket) {
			resetConnection(socket);
		}
	}
}
