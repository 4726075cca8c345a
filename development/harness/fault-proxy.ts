/**
 * A TCP proxy that injects faults: delays, cut connections, freezes, half-closed connections, and responses dropped
 * after the request was forwarded. Development only.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {resetConnection} from './reset-connection.js';

/** The fault that the proxy injects until it is changed. */
export type ProxyFault =
	| {readonly kind: 'none'}
	/** Data is delayed in both directions. */
	| {readonly kind: 'delay'; readonly milliseconds: number}
	/** New connections are closed at once, and open ones are destroyed. */
	| {readonly kind: 'cut'}
	/** Connections stay open, but no data is forwarded. */
	| {readonly kind: 'freeze'}
	/** Requests are forwarded; the first bytes of a response close the connection and are dropped. */
	| {readonly kind: 'drop-answers'}
	/** The response direction closes after half of the first chunk. */
	| {readonly kind: 'half-close'}
	/** Each new connection is closed or reset after this many bytes of its response direction. */
	| {readonly kind: 'cut-after'; readonly bytes: number; readonly isReset: boolean};

type Pair = {readonly caller: Socket; readonly target: Socket; forwardedBytes: number};

/** A proxy in front of one TCP port. */
export class FaultProxy {
	/**
	 * @param targetPort - TCP port on loopback to forward to.
	 * @returns The proxy, listening.
	 */
	static async create(targetPort: number): Promise<FaultProxy> {
		const proxy = new FaultProxy(targetPort);
		proxy.server.listen(0, '127.0.0.1');
		await once(proxy.server, 'listening');
		return proxy;
	}

	/** Number of response chunks that were dropped. */
	dropped = 0;
	private readonly server: Server;
	private readonly pairs = new Set<Pair>();
	private currentFault: ProxyFault = {kind: 'none'};
	private heldWrites: Array<() => void> = [];

	private constructor(private readonly targetPort: number) {
		this.server = createServer(caller => {
			this.accept(caller);
		});
	}

	/** TCP port that the proxy listens on. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** The current fault. */
	get fault(): ProxyFault {
		return this.currentFault;
	}

	/** Changes the fault. The end of a freeze forwards the data that it held back. */
	set fault(fault: ProxyFault) {
		this.currentFault = fault;
		if (fault.kind === 'cut') {
			this.cutAll();
		}

		if (fault.kind !== 'freeze') {
			const released = this.heldWrites;
			this.heldWrites = [];
			for (const write of released) {
				write();
			}
		}
	}

	/** Closes the proxy and all its connections. */
	close(): void {
		this.cutAll();
		this.server.close();
	}

	private cutAll(): void {
		for (const {caller, target} of this.pairs) {
			caller.destroy();
			target.destroy();
		}

		this.heldWrites = [];
	}

	private accept(caller: Socket): void {
		if (this.currentFault.kind === 'cut') {
			caller.destroy();
			return;
		}

		const target = connect(this.targetPort, '127.0.0.1');
		const pair: Pair = {caller, target, forwardedBytes: 0};
		this.pairs.add(pair);
		const closePair = () => {
			caller.destroy();
			target.destroy();
			this.pairs.delete(pair);
		};

		for (const socket of [caller, target]) {
			socket.setNoDelay(true);
			// Forwards delayed data before the close.
			socket.on('error', closePair).on('close', () => {
				this.forward(closePair);
			});
		}

		caller.on('data', (chunk: Uint8Array) => {
			this.forward(() => target.write(chunk));
		});
		target.on('data', (chunk: Uint8Array) => {
			this.forwardResponse(pair, chunk);
		});
	}

	private forwardResponse(pair: Pair, chunk: Uint8Array): void {
		const {caller, target} = pair;
		switch (this.currentFault.kind) {
			case 'cut-after': {
				this.forwardUntilCut(pair, chunk, this.currentFault);
				break;
			}

			case 'drop-answers': {
				this.dropped++;
				caller.destroy();
				target.destroy();
				break;
			}

			case 'half-close': {
				caller.end(chunk.subarray(0, Math.ceil(chunk.length / 2)));
				break;
			}

			default: {
				this.forward(() => caller.write(chunk));
			}
		}
	}

	private forwardUntilCut(pair: Pair, chunk: Uint8Array, {bytes, isReset}: Extract<ProxyFault, {readonly kind: 'cut-after'}>): void {
		const {caller} = pair;
		caller.write(chunk.subarray(0, bytes - pair.forwardedBytes));
		pair.forwardedBytes += chunk.length;
		if (pair.forwardedBytes < bytes) {
			return;
		}

		if (isReset) {
			resetConnection(caller);
		} else {
			caller.end();
		}
	}

	private forward(write: () => unknown): void {
		switch (this.currentFault.kind) {
			case 'freeze': {
				this.heldWrites.push(write);
				break;
			}

			case 'delay': {
				setTimeout(write, this.currentFault.milliseconds);
				break;
			}

			default: {
				write();
			}
		}
	}
}
