/**
 * Events of a simulation, in order of time.
 */

type QueuedEvent = {readonly at: number; readonly order: number; readonly run: () => void};

/** A binary heap of events. */
export class EventQueue {
	/** @returns An empty queue. */
	static create(): EventQueue {
		return new EventQueue();
	}

	private readonly heap: QueuedEvent[] = [];
	private order = 0;

	/**
	 * @param at - Time of the event, in milliseconds.
	 * @param run - Called at that time.
	 */
	add(at: number, run: () => void): void {
		this.order++;
		this.heap.push({at, order: this.order, run});
		let index = this.heap.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (isBefore(this.heap[parent]!, this.heap[index]!)) {
				break;
			}

			this.swap(index, parent);
			index = parent;
		}
	}

	/** @returns The next event, which is removed; `undefined` if there is none. */
	next(): Omit<QueuedEvent, 'order'> | undefined {
		const [first] = this.heap;
		const last = this.heap.pop();
		if (first && last && this.heap.length > 0) {
			this.heap[0] = last;
			this.siftDown();
		}

		return first;
	}

	private siftDown(): void {
		let index = 0;
		for (;;) {
			const children = [(2 * index) + 1, (2 * index) + 2].filter(child => child < this.heap.length);
			const [left, right] = children;
			const least = right !== undefined && isBefore(this.heap[right]!, this.heap[left!]!) ? right : left;
			if (least === undefined || isBefore(this.heap[index]!, this.heap[least]!)) {
				return;
			}

			this.swap(index, least);
			index = least;
		}
	}

	private swap(left: number, right: number): void {
		[this.heap[left], this.heap[right]] = [this.heap[right]!, this.heap[left]!];
	}
}

const isBefore = (left: QueuedEvent, right: QueuedEvent): boolean => left.at < right.at || (left.at === right.at && left.order < right.order);
