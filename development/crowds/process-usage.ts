/**
 * Measures the memory and the open descriptors of a process from /proc. Development only.
 */
import {readdirSync, readFileSync} from 'node:fs';

/** Milliseconds between two samples. */
const sampleInterval = 10;
const bytesPerKilobyte = 1024;

/** Peak usage of a process. */
export type Usage = {
	/** Bytes of anonymous memory, `RssAnon` of Linux. */
	readonly memory: number;
	readonly descriptors: number;
};

/** Samples one process until it is closed. */
export class UsageMeter {
	/**
	 * @param pid - Id of a running process.
	 * @returns A meter that has begun to sample.
	 */
	static create(pid: number): UsageMeter {
		return new UsageMeter(pid);
	}

	private memory = 0;
	private descriptors = 0;
	private readonly timer: NodeJS.Timeout;

	private constructor(private readonly pid: number) {
		this.sample();
		this.timer = setInterval(() => {
			this.sample();
		}, sampleInterval);
	}

	/** Highest usage so far. */
	get peak(): Usage {
		const {memory, descriptors} = this;
		return {memory, descriptors};
	}

	/** Stops sampling. */
	close(): void {
		clearInterval(this.timer);
	}

	private sample(): void {
		try {
			const kilobytes = /^RssAnon:\s*(?<kilobytes>\d+)/mv.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.groups?.kilobytes ?? '0';
			this.memory = Math.max(this.memory, Number(kilobytes) * bytesPerKilobyte);
			this.descriptors = Math.max(this.descriptors, readdirSync(`/proc/${this.pid}/fd`).length);
		} catch {
			// The process has exited; its peak stays valid.
		}
	}
}
