/**
 * Processes that tests and the demo start, each ended by its own id.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {constants} from 'node:os';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** A line of a process's output, if it is JSON. */
export type OutputLine = Readonly<Record<string, unknown>>;

/** A process that was started here. */
export class Child {
	/**
	 * Starts a compiled program of this repository.
	 *
	 * @param program - Path below the build folder.
	 * @param parameters - Its command line.
	 * @param nodeOptions - Options for Node itself.
	 * @returns The process.
	 */
	static start(program: string, parameters: readonly string[], nodeOptions: readonly string[] = []): Child {
		return new Child(spawn(process.execPath, [...nodeOptions, `${root}${program}`, ...parameters], {stdio: ['pipe', 'pipe', 'inherit']}));
	}

	/** JSON lines it has printed. */
	readonly lines: OutputLine[] = [];
	/** Ends with its exit code; `null` where a signal ended it. */
	readonly exited: Promise<number | undefined>;
	private readonly waiting = new Set<() => void>();
	private hasEnded = false;

	private constructor(private readonly child: ChildProcess) {
		createInterface({input: child.stdout!}).on('line', line => {
			this.take(line);
		});
		this.exited = once(child, 'exit').then(([code]) => {
			this.hasEnded = true;
			this.wake();
			return (code as number | undefined) ?? undefined;
		});
	}

	/** Process id. */
	get pid(): number {
		return this.child.pid!;
	}

	/** Whether it has ended. */
	get isEnded(): boolean {
		return this.hasEnded;
	}

	/**
	 * Waits for a line.
	 *
	 * @param matches - Which line.
	 * @returns The first that matches, also one printed before.
	 */
	async line(matches: (line: OutputLine) => boolean): Promise<OutputLine> {
		for (;;) {
			const found = this.lines.find(line => matches(line));
			if (found) {
				return found;
			}

			if (this.hasEnded) {
				throw new Error(`process ${this.pid} ended without the line that was waited for`);
			}

			await new Promise<void>(resolve => {
				this.waiting.add(resolve);
			});
		}
	}

	/**
	 * Sends a signal to this process alone.
	 *
	 * @param signal - Which.
	 */
	signal(signal: NodeJS.Signals): void {
		if (!this.hasEnded) {
			this.child.kill(signal);
		}
	}

	/**
	 * @param signal - A signal.
	 * @returns Whether the process catches it by now, by what Linux tells of it.
	 */
	hasListenerFor(signal: NodeJS.Signals): boolean {
		try {
			const caught = /^SigCgt:\s*(?<mask>[\da-f]+)$/mv.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.groups?.mask ?? '0';
			const bit = constants.signals[signal] - 1;
			return Number.parseInt(caught.at(-1 - Math.floor(bit / 4)) ?? '0', 16) % (2 ** ((bit % 4) + 1)) >= 2 ** (bit % 4);
		} catch {
			// It has ended.
			return false;
		}
	}

	/** Ends it at once. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.exited;
	}

	private take(line: string): void {
		try {
			this.lines.push(JSON.parse(line) as OutputLine);
		} catch {
			process.stderr.write(`${line}\n`);
		}

		this.wake();
	}

	private wake(): void {
		const woken = [...this.waiting];
		this.waiting.clear();
		for (const resume of woken) {
			resume();
		}
	}
}
