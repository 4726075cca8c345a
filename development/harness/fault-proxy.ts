/**
 * A TCP proxy that injects faults into what passes: delays, cuts, freezes, half-closes, and answers dropped
 * after the request went through. Development only.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** What the proxy does to what passes, until changed. */
export type ProxyFault =
	| {readonly kind: 'none'}
	/** Bytes are held back by some milliseconds, both ways. */
	| {readonly kind: 'delay'; readonly milliseconds: number}
	/** Connections are refused, and open ones are cut. */
	| {readonly kind: 'cut'}
	/** Connections stay open, and nothing passes. */
	| {readonly kind: 'freeze'}
	/** What callers send passes; the answer closes the connection instead of passing. */
	| {readonly kind: 'drop-answers'}
	/** The answer's side closes after its first bytes. */
	| {readonly kind: 'half-close'};

type Pair = {readonly caller: Socket; readonly target: Socket};

/** Stands before one port. */
export class FaultProxy {
	/**
	 * @param targetPort - TCP port on loopback that it stands before.
	 * @returns The proxy, listening.
	 */
	static async create(targetPort: number): Promise<FaultProxy> {
		const proxy = new FaultProxy(targetPort);
		proxy.server.listen(0, '127.0.0.1');
		await once(proxy.server, 'listening');
		return proxy;
	}

	/** Answers that were dropped. */
	dropped = 0;
	private readonly server: Server;
	private readonly pairs = new Set<Pair>();
	private current: ProxyFault = {kind: 'none'};
	private held: Array<() => void> = [];

	private constructor(private readonly targetPort: number) {
		this.server = createServer(caller => {
			this.accept(caller);
		});
	}

	/** TCP port it listens on. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** What is injected now. */
	get fault(): ProxyFault {
		return this.current;
	}

	/** Changes what is injected. What a freeze held back passes when it ends. */
	set fault(fault: ProxyFault) {
		this.current = fault;
		if (fault.kind === 'cut') {
			this.cutAll();
		}

		if (fault.kind !== 'freeze') {
			const released = this.held;
			this.held = [];
			for (const pass of released) {
				pass();
			}
		}
	}

	/** Closes the proxy and all that passes. */
	close(): void {
		this.cutAll();
		this.server.close();
	}

	private cutAll(): void {
		for (const {caller, target} of this.pairs) {
			caller.destroy();
			target.destroy();
		}

		this.held = [];
	}

	private accept(caller: Socket): void {
		if (this.current.kind === 'cut') {
			caller.destroy();
			return;
		}

		const target = connect(this.targetPort, '127.0.0.1');
		const pair: Pair = {caller, target};
		this.pairs.add(pair);
		const end = () => {
			caller.destroy();
			target.destroy();
			this.pairs.delete(pair);
		};

		for (const socket of [caller, target]) {
			socket.setNoDelay(true);
			// What is held back still passes before the end does.
			socket.on('error', end).on('close', () => {
				this.pass(end);
			});
		}

		caller.on('data', (chunk: Uint8Array) => {
			this.pass(() => target.write(chunk));
		});
		target.on('data', (chunk: Uint8Array) => {
			this.passAnswer(pair, chunk);
		});
	}

	private passAnswer({caller, target}: Pair, chunk: Uint8Array): void {
		switch (this.current.kind) {
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
				this.pass(() => caller.write(chunk));
			}
		}
	}

	private pass(write: () => unknown): void {
		switch (this.current.kind) {
			case 'freeze': {
				this.held.push(write);
				break;
			}

			case 'delay': {
				setTimeout(write, this.current.milliseconds);
				break;
			}

			default: {
				write();
			}
		}
	}
}
