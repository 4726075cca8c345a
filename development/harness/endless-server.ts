/**
 * A TCP server that answers every request with bytes that do not end until the caller closes the connection. Development only.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setImmediate as turn, setTimeout as pause} from 'node:timers/promises';

/** Milliseconds after which the server closes a connection itself, so that a test of a caller without a bound ends. */
const maxDuration = 3000;
/** Size in bytes of one write; a shorter piece is repeated to this size. */
const writeSize = 16_384;
const headEnd = '\r\n\r\n';
const idPattern = /^Attempt-Id: (?<id>\S+)/imv;

/** The response to a request. */
export type EndlessScript = {
	/** @returns Bytes that are sent once, for a request with this attempt id. */
	readonly start: (id: string) => string;
	/** Bytes that are repeated until the caller closes the connection. */
	readonly piece: string;
	/** Milliseconds between two pieces; `undefined` to send as fast as the caller reads. */
	readonly interval?: number;
	/** @returns The whole response to a request with this head, such as a health check; `undefined` if it gets the endless one. */
	readonly wholeAnswer?: (head: string) => string | undefined;
};

/** A server that sends without end. */
export class EndlessServer {
	/**
	 * @param script - Its response to all requests.
	 * @returns A server that listens on loopback.
	 */
	static async create(script: EndlessScript): Promise<EndlessServer> {
		const endless = new EndlessServer(script);
		endless.server.listen(0, '127.0.0.1');
		await once(endless.server, 'listening');
		return endless;
	}

	/** Requests received so far. */
	requests = 0;
	/** Connections that the server had to close itself. */
	closedByServer = 0;
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();

	/** @param script - Its response to the following requests. */
	private constructor(public script: EndlessScript) {
		this.server = createServer(socket => {
			this.accept(socket);
		});
	}

	/** TCP port that the server listens on. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Number of open connections. */
	get connections(): number {
		return this.sockets.size;
	}

	/** Stops listening and closes all connections. */
	close(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private accept(socket: Socket): void {
		let head = '';
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.sockets.delete(socket);
		});
		socket.on('data', chunk => {
			head += chunk.toString('latin1');
			if (head.includes(headEnd)) {
				const whole = this.script.wholeAnswer?.(head);
				if (whole !== undefined) {
					head = '';
					socket.write(whole);
					return;
				}

				this.requests++;
				const id = idPattern.exec(head)?.groups?.id ?? '';
				head = '';
				void this.send(socket, id);
			}
		});
	}

	private async send(socket: Socket, id: string): Promise<void> {
		const {start, piece, interval} = this.script;
		const block = Buffer.from(interval === undefined ? piece.repeat(Math.ceil(writeSize / piece.length)) : piece, 'latin1');
		const end = performance.now() + maxDuration;
		socket.write(start(id), 'latin1');
		while (!socket.destroyed) {
			if (performance.now() > end) {
				this.closedByServer++;
				socket.destroy();
				return;
			}

			if (!socket.writableNeedDrain) {
				socket.write(block);
			}

			await (interval === undefined ? turn() : pause(interval));
		}
	}
}
