/**
 * Decides whether the connections that wait in the kernel to be accepted wait too long. Node accepts one in each turn of the event loop, so
 * that a turn without one tells that none waits; how long they wait otherwise is told by a connection of this process to itself.
 *
 * @remarks A queue that does not empty for some time is a standing one, a burst empties: K. Nichols and V. Jacobson, "Controlling queue delay", ACM Queue, 2012.
 */

/** Limits of a queue, in milliseconds. */
type QueueLimits = {
	/** Time for which connections have to wait without a break before their wait is measured. */
	readonly busyTime: number;
	/** Max. wait of a connection. */
	readonly wait: number;
};

/** Limits before an overload. The backlog of a pause of the process empties earlier. */
const calmLimits: QueueLimits = {busyTime: 400, wait: 100};
/** Limits during an overload. */
const overloadLimits: QueueLimits = {busyTime: 10, wait: 25};
/** Minimum and maximum milliseconds after a suspension in which its backlog is accepted. */
const minBacklogTime = 1000;
const maxBacklogTime = 5000;
/** Milliseconds without a longer wait after which an overload has ended. */
const recoveryTime = 1000;

/** The queue of one listening socket. */
export class AcceptQueue {
	/** @returns An empty queue. */
	static create(): AcceptQueue {
		return new AcceptQueue();
	}

	/** Monotonic milliseconds since when it has held connections; `undefined` while it is empty. */
	private busySince: number | undefined;
	private lastExcessAt = Number.NEGATIVE_INFINITY;
	/** Monotonic milliseconds until which the queue may hold the backlog of a suspension. */
	private backlogUntil = Number.NEGATIVE_INFINITY;
	/** Monotonic milliseconds at which the last suspension ended. */
	private resumedAt = Number.NEGATIVE_INFINITY;
	private hasEmptied = true;
	private overloaded = false;
	private emptying = false;

	/** Whether connections have waited too long recently. */
	get isOverloaded(): boolean {
		return this.overloaded;
	}

	/** Whether connections have to be closed, since they have waited too long. */
	get isEmptying(): boolean {
		return this.emptying;
	}

	/**
	 * @param now - Monotonic milliseconds.
	 * @returns Whether the wait has to be measured.
	 */
	needsMeasurement(now: number): boolean {
		return this.busySince !== undefined && now - this.busySince > this.limits.busyTime && now >= this.backlogUntil;
	}

	/**
	 * Records that the process was suspended, so that connections wait that do not tell of an overload. A box that is half utilised accepts them in the time
	 * in which they arrived. A queue that has not emptied since an earlier suspension is a standing one.
	 *
	 * @param duration - Milliseconds of the suspension.
	 * @param endedAt - Monotonic milliseconds at which the process ran again; a suspension that is known is ignored, and so is one that is shorter than the wait
	 * that is allowed anyway.
	 */
	recordSuspension(duration: number, endedAt: number): void {
		if (endedAt <= this.resumedAt || duration <= calmLimits.wait) {
			return;
		}

		this.resumedAt = endedAt;
		this.checkRecovery(endedAt);
		if (this.hasEmptied && !this.overloaded) {
			this.hasEmptied = false;
			this.backlogUntil = endedAt + Math.min(Math.max(duration, minBacklogTime), maxBacklogTime);
		}
	}

	/**
	 * Records that a connection was accepted.
	 *
	 * @param now - Monotonic milliseconds.
	 */
	recordConnection(now: number): void {
		this.busySince ??= now;
		this.checkRecovery(now);
	}

	/**
	 * Records how long connections wait, by one that has been waiting.
	 *
	 * @param now - Monotonic milliseconds.
	 * @param wait - Milliseconds for which it has been waiting.
	 * @param isAccepted - Whether it was accepted now, so that those behind it have waited for a shorter time.
	 */
	recordWait(now: number, wait: number, isAccepted: boolean): void {
		if (wait > this.limits.wait && now >= this.backlogUntil) {
			this.overloaded = true;
			this.lastExcessAt = now;
			this.emptying = true;
		}

		this.emptying &&= !isAccepted;
	}

	/**
	 * Records a turn of the event loop without a connection.
	 *
	 * @param now - Monotonic milliseconds.
	 */
	recordEmpty(now: number): void {
		this.busySince = undefined;
		this.hasEmptied = true;
		this.emptying = false;
		this.checkRecovery(now);
	}

	private get limits(): QueueLimits {
		return this.overloaded ? overloadLimits : calmLimits;
	}

	private checkRecovery(now: number): void {
		this.overloaded &&= this.emptying || now - this.lastExcessAt < recoveryTime;
	}
}
