/**
 * The records of one box, by client account and key: nobody finds another account's.
 */
import type {Clock} from '../base/clock.js';
import type {RecordName, RequestRecord} from './request-record.js';

/** How long and how much to keep of what has ended. */
export type Retention = {
	/** Milliseconds. */
	readonly retention: number;
	readonly maximumBytes: number;
};

type Ended = {readonly name: string; readonly record: RequestRecord; readonly endedAt: number};

const nameOf = ({account, key}: RecordName) => `${account}\n${key}`;

/** Keeps records. */
export class RecordBook {
	/**
	 * @param limits - How long and how much to keep.
	 * @param clock - For the retention.
	 * @returns An empty book.
	 */
	static create(limits: Retention, clock: Clock): RecordBook {
		return new RecordBook(limits, clock);
	}

	private readonly records = new Map<string, RequestRecord>();
	/** Oldest first. */
	private readonly ended: Ended[] = [];
	private endedBytes = 0;

	private constructor(private readonly limits: Retention, private readonly clock: Clock) {}

	/** Records that have not ended. */
	get active(): readonly RequestRecord[] {
		return [...this.records.values()].filter(record => record.state === 'running');
	}

	/** Records whose answer is whole and that are kept for their callers. */
	get finished(): readonly RequestRecord[] {
		return [...this.records.values()].filter(record => record.state === 'finished');
	}

	/**
	 * @param name - Client account and key.
	 * @returns The record, if it is kept here.
	 */
	lookUp(name: RecordName): RequestRecord | undefined {
		return this.records.get(nameOf(name));
	}

	/**
	 * Keeps a record.
	 *
	 * @param record - A new one; takes the place of one with the same name.
	 */
	add(record: RequestRecord): void {
		this.records.set(nameOf(record.origin), record);
	}

	/**
	 * Forgets a record at once.
	 *
	 * @param record - The record.
	 */
	remove(record: RequestRecord): void {
		const name = nameOf(record.origin);
		if (this.records.get(name) === record) {
			this.records.delete(name);
		}
	}

	/**
	 * Notes that a record ended or was paused; it is kept for a while.
	 *
	 * @param record - The record.
	 */
	retire(record: RequestRecord): void {
		if (!record.origin.isNamed) {
			this.remove(record);
			return;
		}

		this.ended.push({name: nameOf(record.origin), record, endedAt: this.clock.monotonic()});
		this.endedBytes += record.bytes;
		this.sweep();
	}

	/** Forgets what is too old or too much. */
	sweep(): void {
		const oldest = this.clock.monotonic() - this.limits.retention;
		const isOver = (entry: Ended) => entry.endedAt < oldest || this.endedBytes > this.limits.maximumBytes;
		while (this.ended.length > 0 && isOver(this.ended[0]!)) {
			const {record} = this.ended.shift()!;
			this.endedBytes -= record.bytes;
			// One that was resumed since runs again, and retires anew.
			if (record.state !== 'running') {
				this.remove(record);
			}
		}
	}
}
