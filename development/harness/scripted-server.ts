/**
 * A server that answers every request with bytes as they are written down, and ends their connections as it is told. Development only.
 */
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {resetConnection} from './reset-connection.js';

/** Milliseconds for what was written to arrive by itself, so that a reset does not take it back. */
const arrivalTime = 20;

/** What a request is answered with. */
export type AnswerScript = {
	/** The answer's head and body; each piece arrives by itself. */
	readonly pieces: ReadonlyArray<string | Uint8Array>;
	/** How the connection ends: by a close, by a reset in the same moment as the last piece, by one after it, or not at all. */
	readonly ending: 'close' | 'reset' | 'late-reset' | 'open';
};

/** Answers by script. */
export class ScriptedServer {
	/** @returns A server that listens on loopback and answers nothing until it has a script. */
	static async create(): Promise<ScriptedServer> {
		const scripted = new ScriptedServer();
		scripted.server.listen(0, '127.0.0.1');
		await once(scripted.server, 'listening');
		return scripted;
	}

	/** What the next requests are answered with. */
	script: AnswerScript = {pieces: [], ending: 'open'};
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();

	private constructor() {
		this.server = createServer(socket => {
			this.accept(socket);
		});
	}

	/** TCP port it listens on. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Ends all connections, and listens no more. */
	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private accept(socket: Socket): void {
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.sockets.delete(socket);
		});
		socket.on('data', () => {
			void this.answer(socket, this.script);
		});
	}

	private async answer(socket: Socket, {pieces, ending}: AnswerScript): Promise<void> {
		for (const [index, piece] of pieces.entries()) {
			if (index > 0) {
				await pause(arrivalTime);
			}

			socket.write(piece);
		}

		switch (ending) {
			case 'close': {
				socket.end();

				break;
			}

			case 'reset': {
				resetConnection(socket);

				break;
			}

			case 'late-reset': {
				await pause(arrivalTime);
				resetConnection(socket);

				break;
			}
		// No default
		}
	}
}
