/**
 * Proxy in front of the UDP port of one box on loopback that drops, duplicates, delays or blocks datagrams. Development only.
 */
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';

/** Fault that applies to all datagrams until it is changed. */
export type DatagramFault =
	| {readonly kind: 'none'}
	/** This fraction of the datagrams is lost, and the same fraction is duplicated. */
	| {readonly kind: 'lose'; readonly part: number}
	/** Each datagram is delayed independently by up to this many milliseconds, so that later ones may overtake it. */
	| {readonly kind: 'delay'; readonly milliseconds: number}
	/** Datagrams from these ports are dropped; the opposite direction passes through the proxy of the other box. */
	| {readonly kind: 'cut-from'; readonly ports: ReadonlySet<number>};

const loopback = '127.0.0.1';

/** @returns A free UDP port of loopback. */
export async function freeDatagramPort(): Promise<number> {
	const socket = await bindSocket(0);
	const {port} = socket.address();
	socket.close();
	return port;
}

async function bindSocket(port: number): Promise<Socket> {
	const socket = createSocket('udp4');
	socket.bind(port, loopback);
	await once(socket, 'listening');
	return socket;
}

/** Proxy in front of one UDP port. */
export class DatagramProxy {
	/**
	 * @param toldPort - Port on which the proxy listens.
	 * @param ownPort - Port of the box.
	 * @param random - Draws which datagrams are lost or duplicated, and their delays.
	 * @returns The proxy, listening.
	 */
	static async create(toldPort: number, ownPort: number, random: () => number): Promise<DatagramProxy> {
		return new DatagramProxy(await bindSocket(toldPort), ownPort, random);
	}

	/** Number of datagrams that were dropped, duplicated or delayed. */
	affected = 0;
	fault: DatagramFault = {kind: 'none'};
	/** Whether all datagrams are dropped, whatever the fault in force. */
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

	/** Closes the socket, and discards delayed datagrams. */
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
				this.affected += copies === 1 ? 0 : 1;
				for (let copy = 0; copy < copies; copy++) {
					this.send(data);
				}

				return;
			}

			case 'delay': {
				this.affected++;
				setTimeout(() => {
					this.send(data);
				}, this.random() * fault.milliseconds);
				return;
			}

			default: {
				if (fault.ports.has(from)) {
					this.affected++;
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
