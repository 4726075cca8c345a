/**
 * A TCP server that answers every request with scripted bytes and then closes or resets the connection as scripted. Development only.
 */
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {resetConnection} from './reset-connection.js';

/** Milliseconds between two pieces, so that each arrives separately, and before a late reset, so that the client reads the data first. */
const arrivalTime = 20;

/** The scripted response to a request. */
export type AnswerScript = {
	/** Head and body of the response; each piece is written separately. */
	readonly pieces: ReadonlyArray<string | Uint8Array>;
	/** How the connection ends: closed, reset together with the last piece, reset after the last piece arrived, or left open. */
	readonly ending: 'close' | 'reset' | 'late-reset' | 'open';
};

/** A server that sends scripted responses. */
export class ScriptedServer {
	/** @returns A server that listens on loopback and sends no response until {@link script} is set. */
	static async create(): Promise<ScriptedServer> {
		const scripted = new ScriptedServer();
		scripted.server.listen(0, '127.0.0.1');
		await once(scripted.server, 'listening');
		return scripted;
	}

	/** The response to the following requests; a function gets the bytes of the request, one character for each, and whether its connection was used before. */
	script: AnswerScript | ((request: string, isReused: boolean) => AnswerScript) = {pieces: [], ending: 'open'};
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();

	private constructor() {
		this.server = createServer(socket => {
			this.accept(socket);
		});
	}

	/** TCP port that the server listens on. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Stops listening and closes all connections. */
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
		let isReused = false;
		socket.on('data', data => {
			const {script} = this;
			void this.answer(socket, typeof script === 'function' ? script(data.toString('latin1'), isReused) : script);
			isReused = true;
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
