/**
 * The request records of one box, by client account and key: a client account cannot look up records of another one.
 */
import type {Clock} from '../base/clock.js';
import type {RecordName, RequestRecord} from './request-record.js';

/** Limits on the records of ended requests. */
export type Retention = {
	/** Milliseconds for which such a record is kept. */
	readonly retention: number;
	/** Maximum size of all such records together. */
	readonly maximumBytes: number;
};

type Ended = {readonly name: string; readonly record: RequestRecord; readonly endedAt: number};

const nameOf = ({account, key}: RecordName) => `${account}\n${key}`;

/** Registry of request records. */
export class RecordRegistry {
	/**
	 * @param limits - Limits on the records of ended requests.
	 * @param clock - Measures the retention time.
	 * @returns An empty registry.
	 */
	static create(limits: Retention, clock: Clock): RecordRegistry {
		return new RecordRegistry(limits, clock);
	}

	private readonly records = new Map<string, RequestRecord>();
	/** Ended and paused records, oldest first. */
	private readonly ended: Ended[] = [];
	private endedBytes = 0;

	private constructor(private readonly limits: Retention, private readonly clock: Clock) {}

	/** Records of running requests. */
	get active(): readonly RequestRecord[] {
		return [...this.records.values()].filter(record => record.state === 'running');
	}

	/** Records with a complete response, kept so that their clients can fetch it. */
	get finished(): readonly RequestRecord[] {
		return [...this.records.values()].filter(record => record.state === 'finished');
	}

	/**
	 * @param name - Client account and key.
	 * @returns The record, if this box has it.
	 */
	lookUp(name: RecordName): RequestRecord | undefined {
		return this.records.get(nameOf(name));
	}

	/**
	 * Adds a record.
	 *
	 * @param record - A new record; replaces one with the same name.
	 */
	add(record: RequestRecord): void {
		this.records.set(nameOf(record.origin), record);
	}

	/**
	 * Removes a record at once.
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
	 * Keeps a record that has ended or was paused for the retention time, or removes it if its client cannot ask for it again.
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

	/** Evicts ended records that are older than the retention time, and the oldest ones while the total size is over its limit. */
	sweep(): void {
		const oldest = this.clock.monotonic() - this.limits.retention;
		const isEvictable = (entry: Ended) => entry.endedAt < oldest || this.endedBytes > this.limits.maximumBytes;
		while (this.ended.length > 0 && isEvictable(this.ended[0]!)) {
			const {record} = this.ended.shift()!;
			this.endedBytes -= record.bytes;
			// A record that was resumed since is running again and will be retired again.
			if (record.state !== 'running') {
				this.remove(record);
			}
		}
	}
}
