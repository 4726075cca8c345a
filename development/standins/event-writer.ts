/**
 * Writes the events of a response in randomly cut pieces and, with a given probability, breaks the connection inside an event. Development only.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {resetConnection} from '../harness/reset-connection.js';

/** How events are written. All random choices depend only on the seed and the number of earlier responses. */
export type WritingTraits = {
	readonly seed: number;
	/** Maximum number of pieces per event, cut at any byte; 1 writes each event in one piece. */
	readonly mostPieces: number;
	/** Probability per event, from 0 to 1, that the connection breaks inside the event. */
	readonly broken: number;
};

/** Milliseconds between the pieces of an event, so that each arrives separately. */
const pieceGap = 1;

/** Writes the events of one response. */
export class EventWriter {
	/**
	 * @param response - The response to write to.
	 * @param traits - How events are written.
	 * @param random - Random numbers from 0 to 1 for this response.
	 * @returns The writer.
	 */
	static create(response: ServerResponse, traits: WritingTraits, random: () => number): EventWriter {
		return new EventWriter(response, traits, random);
	}

	private isBroken = false;
	/** Completion of the last write that was queued; later writes wait for it. */
	private lastWrite: Promise<void> | undefined;

	private constructor(
		private readonly response: ServerResponse,
		private readonly traits: WritingTraits,
		private readonly random: () => number,
	) {}

	/**
	 * @param event - The next event.
	 */
	write(event: string): void {
		if (this.isBroken) {
			return;
		}

		const bytes = Buffer.from(event);
		this.isBroken = this.random() < this.traits.broken;
		// At least one byte is sent, and at least one is missing.
		const end = this.isBroken ? 1 + Math.floor(this.random() * (bytes.length - 1)) : bytes.length;
		const pieces = this.piecesOf(bytes.subarray(0, end));
		if (pieces.length === 1 && this.lastWrite === undefined && !this.isBroken) {
			this.response.write(bytes);
			return;
		}

		this.enqueue(async () => {
			for (const piece of pieces) {
				this.response.write(piece);
				await pause(pieceGap);
			}

			if (this.isBroken) {
				this.breakOff();
			}
		});
	}

	/**
	 * @param event - The last event of the response.
	 */
	end(event: string): void {
		if (this.isBroken) {
			return;
		}

		if (this.lastWrite === undefined) {
			this.response.end(event);
			return;
		}

		this.enqueue(async () => {
			this.response.end(event);
		});
	}

	private piecesOf(bytes: Uint8Array): readonly Uint8Array[] {
		const count = 1 + Math.floor(this.random() * this.traits.mostPieces);
		const cuts = Array.from({length: count - 1}, () => Math.floor(this.random() * bytes.length)).sort((left, right) => left - right);
		const ends = [...cuts, bytes.length];
		return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end)).filter(({length}) => length > 0);
	}

	private enqueue(write: () => Promise<void>): void {
		const before = this.lastWrite ?? Promise.resolve();
		this.lastWrite = before.then(async () => this.response.destroyed ? undefined : write());
	}

	/** Closes or resets the connection, with equal probability. */
	private breakOff(): void {
		const {socket} = this.response;
		if (this.random() < 1 / 2) {
			socket?.end();
		} else if (socket) {
			resetConnection(socket);
		}
	}
}
