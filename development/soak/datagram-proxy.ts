/**
 * Stands before the UDP port of one box on loopback, and loses, delays or cuts off what passes. Development only.
 */
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';

/** What is done to datagrams, until changed. */
export type DatagramFault =
	| {readonly kind: 'none'}
	/** This part of them is lost, and as many come twice. */
	| {readonly kind: 'lose'; readonly part: number}
	/** Each waits up to so many milliseconds by itself, so that later ones overtake it. */
	| {readonly kind: 'delay'; readonly milliseconds: number}
	/** None comes from these ports; what goes the other way is another proxy's. */
	| {readonly kind: 'cut-from'; readonly ports: ReadonlySet<number>};

const loopback = '127.0.0.1';

/** @returns A UDP port of loopback that nobody listens on. */
export async function freeDatagramPort(): Promise<number> {
	const socket = await boundTo(0);
	const {port} = socket.address();
	socket.close();
	return port;
}

async function boundTo(port: number): Promise<Socket> {
	const socket = createSocket('udp4');
	socket.bind(port, loopback);
	await once(socket, 'listening');
	return socket;
}

/** The proxy. */
export class DatagramProxy {
	/**
	 * @param toldPort - Port at which it listens.
	 * @param ownPort - Port of the box.
	 * @param random - Draws which are lost, and how long they wait.
	 * @returns The proxy, listening.
	 */
	static async create(toldPort: number, ownPort: number, random: () => number): Promise<DatagramProxy> {
		return new DatagramProxy(await boundTo(toldPort), ownPort, random);
	}

	/** Datagrams that were lost, came twice, or were late. */
	struck = 0;
	fault: DatagramFault = {kind: 'none'};
	/** Whether nothing passes, whatever else is done. */
	isShut = false;
	private isClosed = false;

	private constructor(private readonly socket: Socket, private readonly ownPort: number, private readonly random: () => number) {
		socket.on('error', () => undefined);
		socket.on('message', (data, {port}) => {
			if (!this.isShut) {
				this.pass(data, port);
			}
		});
	}

	/** Ends it. */
	close(): void {
		this.isClosed = true;
		this.socket.close();
	}

	private pass(data: Uint8Array, from: number): void {
		const {fault} = this;
		switch (fault.kind) {
			case 'none': {
				this.send(data);
				return;
			}

			case 'lose': {
				const draw = this.random();
				const copies = draw < fault.part ? 0 : (draw > 1 - fault.part ? 2 : 1);
				this.struck += copies === 1 ? 0 : 1;
				for (let copy = 0; copy < copies; copy++) {
					this.send(data);
				}

				return;
			}

			case 'delay': {
				this.struck++;
				setTimeout(() => {
					this.send(data);
				}, this.random() * fault.milliseconds);
				return;
			}

			default: {
				if (fault.ports.has(from)) {
					this.struck++;
				} else {
					this.send(data);
				}
			}
		}
	}

	private send(data: Uint8Array): void {
		if (!this.isClosed) {
			this.socket.send(data, this.ownPort, loopback, () => undefined);
		}
	}
}
