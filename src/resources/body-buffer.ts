/**
 * Collects a body in one piece of memory, whose size depends on its bytes and not on the number of pieces in which they arrive.
 */
import {Buffer} from 'node:buffer';

/** Bytes of the first allocation of a body of unknown length. */
const firstCapacity = 4096;

/** The bytes of one body. */
export class BodyBuffer {
	/**
	 * @param expected - Length in bytes if it is known.
	 * @returns An empty buffer.
	 */
	static create(expected?: number): BodyBuffer {
		return new BodyBuffer(expected);
	}

	/** Bytes collected. */
	size = 0;
	private bytes: Uint8Array = Buffer.alloc(0);

	private constructor(private readonly expected: number | undefined) {}

	/** Bytes allocated. */
	get capacity(): number {
		return this.bytes.length;
	}

	/** The bytes collected. */
	get content(): Uint8Array {
		return this.bytes.subarray(0, this.size);
	}

	/** @param piece - The next bytes. */
	add(piece: Uint8Array): void {
		const needed = this.size + piece.length;
		if (this.size === 0 && needed === this.expected) {
			this.bytes = piece;
		} else {
			if (needed > this.capacity) {
				this.grow(Math.max(needed, Math.min(this.expected ?? Number.POSITIVE_INFINITY, Math.max(firstCapacity, this.capacity * 2))));
			}

			this.bytes.set(piece, this.size);
		}

		this.size = needed;
	}

	/** @param capacity - Bytes to allocate, at least those collected. The system provides memory only for the bytes that are written. */
	grow(capacity: number): void {
		const grown = Buffer.allocUnsafeSlow(capacity);
		grown.set(this.content);
		this.bytes = grown;
	}

	/** Releases the memory. */
	clear(): void {
		this.bytes = Buffer.alloc(0);
		this.size = 0;
	}
}
