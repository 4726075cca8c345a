/**
 * Bounds the memory of all bodies that are read whole before they are passed on.
 */

/** Maximum size in bytes of all bodies together; a box has 250 MB, of which the process itself takes up to 100 MB, and a body is copied once when it is complete. */
const maxBufferedBytes = 64 * 1024 * 1024;

/** A body that is being read. */
export type BufferedBody = {
	/** Number of bytes read. */
	readonly size: number;
	/** Whether the body is complete or was given up. */
	readonly hasEnded: boolean;
	/** @param bytes - Number of bytes that were read now; may call a `giveUp` of this or another body. */
	readonly add: (bytes: number) => void;
	/** Ends the body; its bytes no longer count. */
	readonly end: () => void;
};

/** A body with what gives it up. */
class CountedBody implements BufferedBody {
	size = 0;
	hasEnded = false;

	constructor(private readonly bodies: BufferedBodies, readonly giveUp: (size: number) => void) {}

	add(bytes: number): void {
		this.size += bytes;
		this.bodies.recordGrowth(bytes);
	}

	end(): void {
		if (!this.hasEnded) {
			this.hasEnded = true;
			this.bodies.recordEnd(this);
		}
	}
}

/** The bodies that are being read. */
export class BufferedBodies {
	/**
	 * @param maxBytes - Maximum size in bytes of all bodies together.
	 * @returns A set without bodies.
	 */
	static create(maxBytes = maxBufferedBytes): BufferedBodies {
		return new BufferedBodies(maxBytes);
	}

	private readonly bodies = new Set<CountedBody>();
	private bytes = 0;

	private constructor(private readonly maxBytes: number) {}

	/**
	 * @param giveUp - Called with the size in bytes if the body is the largest when all bodies together are too large; it has to end the body.
	 * @returns A body without bytes.
	 */
	begin(giveUp: (size: number) => void): BufferedBody {
		const body = new CountedBody(this, giveUp);
		this.bodies.add(body);
		return body;
	}

	/** @param bytes - Number of bytes by which a body grew. */
	recordGrowth(bytes: number): void {
		this.bytes += bytes;
		if (this.bytes > this.maxBytes) {
			const [largest] = [...this.bodies].sort((left, right) => right.size - left.size);
			largest?.giveUp(largest.size);
		}
	}

	/** @param body - A body that ended. */
	recordEnd(body: CountedBody): void {
		if (this.bodies.delete(body)) {
			this.bytes -= body.size;
		}
	}
}
