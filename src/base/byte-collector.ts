/**
 * Collects the pieces of a body in memory that is proportional to its bytes, however small the pieces are.
 */
import {Buffer} from 'node:buffer';

/** Number of pieces that are joined at once. A piece of one byte takes about a hundred bytes of memory, so 16 MB of them would take over a gigabyte. */
const maxLoosePieces = 256;

/** The pieces of one body. */
export class ByteCollector {
	/** @returns A collector without pieces. */
	static create(): ByteCollector {
		return new ByteCollector();
	}

	private joined: Uint8Array[] = [];
	private loose: Uint8Array[] = [];

	private constructor() {
		// Use create().
	}

	/** Number of separate pieces that are held. */
	get pieces(): number {
		return this.joined.length + this.loose.length;
	}

	/** @param piece - The next bytes. */
	add(piece: Uint8Array): void {
		this.loose.push(piece);
		if (this.loose.length >= maxLoosePieces) {
			this.joined.push(Buffer.concat(this.loose));
			this.loose = [];
		}
	}

	/** @returns All bytes. */
	concatenate(): Uint8Array {
		return Buffer.concat([...this.joined, ...this.loose]);
	}

	/** Releases all pieces. */
	clear(): void {
		this.joined = [];
		this.loose = [];
	}
}
