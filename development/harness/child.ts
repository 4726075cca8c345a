/**
 * Child processes of tests and the demo. Each is signalled by its own process id.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {constants} from 'node:os';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../', import.meta.url));

/** A line of JSON that a process printed. */
export type OutputLine = Readonly<Record<string, unknown>>;

/** A child process whose standard output is parsed as JSON lines. */
export class Child {
	/**
	 * Starts a compiled program of this repository.
	 *
	 * @param program - Path of the program relative to the build folder.
	 * @param parameters - Command-line arguments.
	 * @param nodeOptions - Options for Node.js itself.
	 * @returns The process.
	 */
	static start(program: string, parameters: readonly string[], nodeOptions: readonly string[] = []): Child {
		return new Child(spawn(process.execPath, [...nodeOptions, `${root}${program}`, ...parameters], {stdio: ['pipe', 'pipe', 'inherit']}));
	}

	/** JSON lines that the process has printed. */
	readonly lines: OutputLine[] = [];
	/** Resolves with the exit code, or with `undefined` if a signal terminated the process. */
	readonly exited: Promise<number | undefined>;
	private readonly waiters = new Set<() => void>();
	private hasEnded = false;

	private constructor(private readonly child: ChildProcess) {
		createInterface({input: child.stdout!}).on('line', line => {
			this.handleLine(line);
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

	/** Whether the process has exited. */
	get isEnded(): boolean {
		return this.hasEnded;
	}

	/**
	 * Waits for a line.
	 *
	 * @param matches - Selects the line.
	 * @returns The first line that matches, including lines printed before this call.
	 */
	async line(matches: (line: OutputLine) => boolean): Promise<OutputLine> {
		for (;;) {
			const found = this.lines.find(line => matches(line));
			if (found) {
				return found;
			}

			if (this.hasEnded) {
				throw new Error(`process ${this.pid} exited before it printed the expected line`);
			}

			await new Promise<void>(resolve => {
				this.waiters.add(resolve);
			});
		}
	}

	/**
	 * Sends a signal to this process alone.
	 *
	 * @param signal - The signal.
	 */
	signal(signal: NodeJS.Signals): void {
		if (!this.hasEnded) {
			this.child.kill(signal);
		}
	}

	/**
	 * @param signal - A signal.
	 * @returns Whether the process has a handler for it, according to `SigCgt` in Linux's `/proc/PID/status`.
	 */
	hasListenerFor(signal: NodeJS.Signals): boolean {
		try {
			const caught = /^SigCgt:\s*(?<mask>[\da-f]+)$/mv.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.groups?.mask ?? '0';
			const bit = constants.signals[signal] - 1;
			return Number.parseInt(caught.at(-1 - Math.floor(bit / 4)) ?? '0', 16) % (2 ** ((bit % 4) + 1)) >= 2 ** (bit % 4);
		} catch {
			// The process has exited.
			return false;
		}
	}

	/** Closes the reading end of its standard output, as a log collector that exits does. */
	closeOutput(): void {
		this.child.stdout!.destroy();
	}

	/** Kills the process and waits for its exit. */
	async kill(): Promise<void> {
		this.signal('SIGKILL');
		await this.exited;
	}

	private handleLine(line: string): void {
		try {
			this.lines.push(JSON.parse(line) as OutputLine);
		} catch {
			process.stderr.write(`${line}\n`);
		}

		this.wake();
	}

	private wake(): void {
		const woken = [...this.waiters];
		this.waiters.clear();
		for (const resume of woken) {
			resume();
		}
	}
}
