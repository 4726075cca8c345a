/**
 * Clients that do not behave: raw connections that send parts of requests, send too much, or do not read. Development only.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';

/** Bytes of an answer that a client keeps. */
const maxKeptAnswer = 256;

/** A part of what a client sends. */
export type Part = {
	readonly bytes: Uint8Array;
	/** How often the bytes are sent; once by default. */
	readonly times?: number;
	/** Milliseconds before each of them; none by default. */
	readonly gap?: number;
};

/** What one client does. Its connection stays open. */
export type Conduct = {
	readonly parts: readonly Part[];
	/** Whether it reads answers. */
	readonly isReading: boolean;
};

/** One connection of a crowd. */
export class CrowdClient {
	/**
	 * Connects and begins to send.
	 *
	 * @param port - TCP port on loopback.
	 * @param conduct - What it does.
	 * @returns The client.
	 */
	static start(port: number, conduct: Conduct): CrowdClient {
		return new CrowdClient(port, conduct);
	}

	/** The beginning of what it received. */
	answer = '';
	/** Resolves when everything is sent or the connection is closed. */
	readonly sent: Promise<void>;
	/** Resolves when it received something or the connection is closed. */
	readonly answered: Promise<void>;
	private readonly socket: Socket;
	private isClosed = false;
	private onClose: (() => void) | undefined;

	private constructor(port: number, private readonly conduct: Conduct) {
		this.socket = connect({host: '127.0.0.1', port, noDelay: true});
		this.socket.on('error', () => undefined);
		this.socket.once('close', () => {
			this.isClosed = true;
			this.onClose?.();
		});
		if (conduct.isReading) {
			this.socket.on('data', (data: Uint8Array) => {
				if (this.answer.length < maxKeptAnswer) {
					this.answer += Buffer.from(data).toString('latin1').slice(0, maxKeptAnswer);
				}
			});
		}

		this.answered = new Promise(resolve => {
			this.socket.once('data', resolve);
			this.socket.once('close', () => {
				resolve();
			});
			if (!conduct.isReading) {
				this.socket.pause();
			}
		});
		this.sent = this.send();
	}

	/** Resets the connection. */
	close(): void {
		this.socket.resetAndDestroy();
	}

	private async send(): Promise<void> {
		for (const {bytes, times = 1, gap = 0} of this.conduct.parts) {
			for (let count = 0; count < times && !this.isClosed; count++) {
				if (gap > 0) {
					await pause(gap);
				}

				await this.write(bytes);
			}
		}
	}

	/** Resolves when the kernel has taken the bytes. */
	private async write(bytes: Uint8Array): Promise<void> {
		await new Promise<void>(resolve => {
			this.onClose = resolve;
			this.socket.write(bytes, () => {
				resolve();
			});
		});
	}
}
