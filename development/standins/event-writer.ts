/**
 * Writes the events of an answer in drawn pieces, and ends inside one of them when it is drawn. Development only.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {resetConnection} from '../harness/reset-connection.js';

/** How events are written; all draws follow from the seed and from how many answers there were before. */
export type WritingTraits = {
	readonly seed: number;
	/** Pieces of an event at most, cut anywhere in its bytes; 1 writes each event whole. */
	readonly mostPieces: number;
	/** Part of the events inside of which an answer ends, 0 to 1. */
	readonly broken: number;
};

/** Milliseconds between the pieces of an event, so that each arrives by itself. */
const pieceGap = 1;

/** Writes one answer. */
export class EventWriter {
	/**
	 * @param response - Where to.
	 * @param traits - How.
	 * @param random - Draws for this answer.
	 * @returns The writer.
	 */
	static create(response: ServerResponse, traits: WritingTraits, random: () => number): EventWriter {
		return new EventWriter(response, traits, random);
	}

	private isBroken = false;
	/** Pieces wait for those before them. */
	private last: Promise<void> | undefined;

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
		// At least a byte comes, and at least one is missing.
		const end = this.isBroken ? 1 + Math.floor(this.random() * (bytes.length - 1)) : bytes.length;
		const pieces = this.piecesOf(bytes.subarray(0, end));
		if (pieces.length === 1 && this.last === undefined && !this.isBroken) {
			this.response.write(bytes);
			return;
		}

		this.afterThose(async () => {
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
	 * @param event - The last event of the answer.
	 */
	end(event: string): void {
		if (this.isBroken) {
			return;
		}

		if (this.last === undefined) {
			this.response.end(event);
			return;
		}

		this.afterThose(async () => {
			this.response.end(event);
		});
	}

	private piecesOf(bytes: Uint8Array): readonly Uint8Array[] {
		const count = 1 + Math.floor(this.random() * this.traits.mostPieces);
		const cuts = Array.from({length: count - 1}, () => Math.floor(this.random() * bytes.length)).sort((left, right) => left - right);
		const ends = [...cuts, bytes.length];
		return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end)).filter(({length}) => length > 0);
	}

	private afterThose(write: () => Promise<void>): void {
		const before = this.last ?? Promise.resolve();
		this.last = before.then(async () => this.response.destroyed ? undefined : write());
	}

	/** By a close, or by a reset. */
	private breakOff(): void {
		const {socket} = this.response;
		if (this.random() < 1 / 2) {
			socket?.end();
		} else if (socket) {
			resetConnection(socket);
		}
	}
}
