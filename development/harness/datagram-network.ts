/**
 * The network between the UDP sockets of this process, with lost datagrams and partitions. Development only.
 */
import {Socket} from 'node:dgram';

/** A datagram by the ports that it goes between. */
export type DatagramRoute = {readonly from: number; readonly to: number};

/** Decides which datagrams of this process are lost. */
export class DatagramNetwork {
	/**
	 * Replaces the way in which all sockets of this process send, until {@link remove}.
	 *
	 * @param isLost - Whether a datagram is lost.
	 * @returns The network.
	 */
	static install(isLost: (route: DatagramRoute) => boolean): DatagramNetwork {
		return new DatagramNetwork(isLost);
	}

	/** Number of datagrams that were lost. */
	lost = 0;
	private readonly send = Socket.prototype.send;
	private readonly bind = Socket.prototype.bind;
	/** The port of each socket that was bound to a given one. */
	private readonly ports = new WeakMap<Socket, number>();

	private constructor(isLost: (route: DatagramRoute) => boolean) {
		Socket.prototype.bind = new Proxy(this.bind, {
			apply: (target, socket: Socket, parameters: readonly unknown[]) => {
				const [port] = parameters;
				if (typeof port === 'number') {
					this.ports.set(socket, port);
				}

				return Reflect.apply(target, socket, parameters as Parameters<typeof target>);
			},
		});
		Socket.prototype.send = new Proxy(this.send, {
			apply: (target, socket: Socket, parameters: readonly unknown[]) => {
				const [, to] = parameters;
				const from = this.ports.get(socket);
				if (from !== undefined && typeof to === 'number' && isLost({from, to})) {
					this.lost++;
					return;
				}

				Reflect.apply(target, socket, parameters as Parameters<typeof target>);
			},
		});
	}

	/** Lets sockets send as before. */
	remove(): void {
		Socket.prototype.send = this.send;
		Socket.prototype.bind = this.bind;
	}
}
