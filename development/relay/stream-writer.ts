/**
 * Writes a stream of events as a replica does, well or badly. Development only.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {resetConnection} from '../harness/reset-connection.js';

/** How a replica writes a stream. */
export type StreamConduct = {
	/** In what pieces an event is written: in one, its first byte by itself, byte by byte, cut inside a character, or several events at once. */
	readonly pieces: 'whole' | 'first-apart' | 'bytes' | 'in-character' | 'together';
	/** Whether the answer's end is told by its chunks, or only by that of its connection. */
	readonly framing: 'chunked' | 'none';
	/** Where a run from the beginning on, or any run, ends: so many bytes into an event; `undefined` where it runs to its end. */
	readonly breaksAt: {readonly event: number; readonly bytes: number; readonly isAnyRun?: boolean} | undefined;
	/** Number of the event from which on nothing is written, nor ended. */
	readonly silentFrom: number | undefined;
	/** How a connection ends that breaks. */
	readonly ending: 'reset' | 'close';
	/** With what a run goes on that is to go on behind an event: with the next, from the beginning, or with the one after the next where there is one. */
	readonly goesOn: 'behind' | 'anew' | 'too-far';
	/** Number of an event that is written without an id. */
	readonly nameless: number | undefined;
	/** Number of an event that is left out. */
	readonly leftOut: number | undefined;
};

/** A whole stream, an event a piece. */
export const wholeStream: StreamConduct = {
	pieces: 'whole', framing: 'chunked', breaksAt: undefined, silentFrom: undefined, ending: 'close', goesOn: 'behind', nameless: undefined, leftOut: undefined,
};

/** What is to be written. */
export type StreamOrder = {
	readonly conduct: StreamConduct;
	/** Names the events' maker in their data. */
	readonly replica: string;
	/** Events of the whole stream. */
	readonly events: number;
	/** Milliseconds between events. */
	readonly gap: number;
	/** Number of the last event that the reader has; zero for a stream from the beginning. */
	readonly after: number;
	/** Head of the answer, besides its type. */
	readonly headers: Readonly<Record<string, string>>;
};

/** Milliseconds between the pieces of an event, so that each arrives by itself. */
const pieceGap = 1;
/** Milliseconds for what was written to be read before a reset, which would take it back. */
const resetDelay = 15;
/** From this byte on a byte begins a character of several bytes, in UTF-8. */
const firstOfSeveral = 0xC0;

/**
 * @param replica - Who makes it.
 * @param event - Its number.
 * @returns One event, with a character of several bytes in its data.
 */
export const eventOf = (replica: string, event: number): string => `id: ${event}\ndata: ${replica}-${event} ü\n\n`;

/** Writes one answer. */
export class StreamWriter {
	/**
	 * @param response - Where to; nothing has been sent.
	 * @param order - What.
	 * @returns The writer.
	 */
	static create(response: ServerResponse, order: StreamOrder): StreamWriter {
		return new StreamWriter(response, order);
	}

	/** Events that go out with the next one. */
	private held: Uint8Array = Buffer.alloc(0);

	private constructor(private readonly response: ServerResponse, private readonly order: StreamOrder) {}

	/**
	 * Writes the answer to its end, or to where it breaks.
	 *
	 * @returns Whether all went out that a replica has to write.
	 */
	async write(): Promise<boolean> {
		const {conduct, events, gap} = this.order;
		this.begin();
		for (const [index, event] of this.numbers.entries()) {
			if (this.response.destroyed || event >= (conduct.silentFrom ?? Number.POSITIVE_INFINITY)) {
				return false;
			}

			if (conduct.breaksAt?.event === event && (this.order.after === 0 || conduct.breaksAt.isAnyRun === true)) {
				await this.breakOff(Buffer.from(this.textOf(event)).subarray(0, conduct.breaksAt.bytes));
				return false;
			}

			const isHeld = conduct.pieces === 'together' && index % 2 === 0 && event < events && event + 1 !== conduct.breaksAt?.event;
			this.held = Buffer.concat([this.held, Buffer.from(this.textOf(event))]);
			if (!isHeld) {
				await this.writePieces(this.held);
				this.held = Buffer.alloc(0);
				await pause(gap);
			}
		}

		this.end();
		return this.isRight;
	}

	private get isRight(): boolean {
		const {conduct: {nameless}, after, events} = this.order;
		const {numbers} = this;
		return numbers.length === events - after && numbers.every((event, index) => event === after + index + 1 && event !== nameless);
	}

	private get numbers(): readonly number[] {
		const {conduct: {goesOn, leftOut}, after, events} = this.order;
		const skipped = goesOn === 'too-far' && after > 0 && after + 1 < events ? 1 : 0;
		const first = goesOn === 'anew' ? 1 : after + 1 + skipped;
		return Array.from({length: Math.max(0, events - first + 1)}, (_, index) => first + index).filter(event => event !== leftOut);
	}

	private textOf(event: number): string {
		const {conduct, replica} = this.order;
		const text = eventOf(replica, event);
		return event === conduct.nameless ? text.slice(text.indexOf('\n') + 1) : text;
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
		const ends = this.endsOfPieces(bytes);
		for (const [index, end] of ends.entries()) {
			const piece = bytes.subarray(ends[index - 1] ?? 0, end);
			if (piece.length > 0 && !this.response.destroyed) {
				this.put(piece);
				await pause(ends.length > 1 ? pieceGap : 0);
			}
		}
	}

	private endsOfPieces(bytes: Uint8Array): readonly number[] {
		switch (this.order.conduct.pieces) {
			case 'first-apart': {
				return [1, bytes.length];
			}

			case 'bytes': {
				return Array.from(bytes, (_, index) => index + 1);
			}

			case 'in-character': {
				return [bytes.findIndex(byte => byte >= firstOfSeveral) + 1, bytes.length];
			}

			default: {
				return [bytes.length];
			}
		}
	}

	private put(piece: Uint8Array): void {
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
