/**
 * Decides from the queue of connections that the kernel has accepted whether this process has more work than it can do. Node takes one
 * connection from it in each turn of the event loop, so that a turn without one tells that the queue is empty.
 *
 * @remarks A queue that does not empty for some time is a standing one, a burst empties: K. Nichols and V. Jacobson, "Controlling queue delay", ACM Queue, 2012.
 */

/** Milliseconds for which the queue has to hold connections for an overload. The backlog of a pause of the process empties earlier. */
const overloadTime = 400;
/** Milliseconds for which the queue may hold connections during an overload. */
const maxDelay = 50;
/** Milliseconds without a longer delay after which an overload has ended. */
const recoveryTime = 1000;

/** The queue of one listening socket. */
export class AcceptQueue {
	/** @returns An empty queue. */
	static create(): AcceptQueue {
		return new AcceptQueue();
	}

	/** Monotonic milliseconds since when it holds connections; `undefined` while it is empty. */
	private busySince: number | undefined;
	private lastExcessAt = Number.NEGATIVE_INFINITY;
	private overloaded = false;
	private emptying = false;

	/** Whether the process has had more work than it can do for some time. */
	get isOverloaded(): boolean {
		return this.overloaded;
	}

	/** Whether connections have to be closed until the queue is empty, since those behind them have waited too long. */
	get isEmptying(): boolean {
		return this.emptying;
	}

	/**
	 * Records that a connection was taken from the queue.
	 *
	 * @param now - Monotonic milliseconds.
	 */
	recordConnection(now: number): void {
		this.busySince ??= now;
		this.overloaded &&= now - this.lastExcessAt < recoveryTime;
		if (now - this.busySince > (this.overloaded ? maxDelay : overloadTime)) {
			this.overloaded = true;
			this.emptying = true;
			this.lastExcessAt = now;
		}
	}

	/**
	 * Records a turn of the event loop without a connection.
	 *
	 * @param now - Monotonic milliseconds.
	 */
	recordEmpty(now: number): void {
		this.busySince = undefined;
		this.emptying = false;
		this.overloaded &&= now - this.lastExcessAt < recoveryTime;
	}
}
