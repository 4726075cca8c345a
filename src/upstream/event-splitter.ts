/**
 * Cuts a stream of text into whole server-sent events.
 */

const boundary = '\n\n';

/** Keeps what is not yet a whole event. */
export class EventSplitter {
	/** @returns A splitter at the start of a stream. */
	static create(): EventSplitter {
		return new EventSplitter();
	}

	private rest = '';

	private constructor() {
		// Made by create().
	}

	/** Length of what is not yet a whole event. */
	get heldBack(): number {
		return this.rest.length;
	}

	/**
	 * @param chunk - The next piece of the stream.
	 * @returns The events that are whole now, each with its closing blank line.
	 */
	split(chunk: string): readonly string[] {
		// Mostly a chunk is exactly one event.
		if (this.rest === '' && chunk.indexOf(boundary) === chunk.length - boundary.length) {
			return [chunk];
		}

		const parts = (this.rest + chunk).split(boundary);
		this.rest = parts.pop() ?? '';
		return parts.map(part => part + boundary);
	}
}
