/**
 * Loaded into a relay process with `--import`, before the program. Shifts the wall clock by the offset in a file, partitions the process from
 * the TCP ports in another file, and binds the UDP socket to another port, so that a proxy can listen on the original one. The URL of this module holds the file name and the ports as parameters.
 */
import {Socket} from 'node:dgram';
import {readFileSync} from 'node:fs';
import {Socket as TcpSocket} from 'node:net';
import {applyNetworkState, closedPort, type NetworkState} from '../harness/network-state.js';

/** Parameters of the hooks of a process. */
export type HookPlan = {
	/** File with the offset of the wall clock in milliseconds; it may change at any time. */
	readonly clockFile: string;
	/** File with a {@link ProcessPartition} as JSON; it may change at any time. */
	readonly networkFile: string;
	/** UDP port that the program asks for, on which the proxy listens, and the port that is bound instead. */
	readonly toldPort: number;
	readonly ownPort: number;
};

/** State of the network between a process and TCP ports. */
export type ProcessPartition = {
	readonly state: NetworkState;
	readonly ports: readonly number[];
};

/** Milliseconds between two reads of a file. */
const readInterval = 40;

/**
 * @param plan - Parameters of the hooks.
 * @returns Command-line options of Node for a process with these hooks.
 */
export function hookOptions(plan: HookPlan): readonly string[] {
	const url = new URL(import.meta.url);
	url.search = new URLSearchParams({
		clockFile: plan.clockFile, networkFile: plan.networkFile, toldPort: String(plan.toldPort), ownPort: String(plan.ownPort),
	}).toString();
	return ['--import', url.href];
}

/** Calls a listener with the content of a file whenever it has changed. An empty file is being written. */
function watchFile(file: string, listener: (text: string) => void): void {
	let last = '';
	const read = () => {
		const text = readFileSync(file, 'utf8');
		if (text !== '' && text !== last) {
			last = text;
			listener(text);
		}
	};

	read();
	setInterval(read, readInterval).unref();
}

/** Partitions this process from the ports that a file names. */
function partition(file: string): void {
	let current: ProcessPartition = {state: 'whole', ports: []};
	const open = new Set<TcpSocket>();
	watchFile(file, text => {
		current = JSON.parse(text) as ProcessPartition;
		applyNetworkState(open, current.state);
	});
	const {connect} = TcpSocket.prototype;
	TcpSocket.prototype.connect = new Proxy(connect, {
		apply(target, socket: TcpSocket, parameters: unknown[]) {
			// Node passes normalised parameters as one list.
			const [options] = (Array.isArray(parameters[0]) ? parameters[0] : parameters) as [{port?: number}];
			if (options.port === undefined || !current.ports.includes(options.port)) {
				return Reflect.apply(target, socket, parameters) as TcpSocket;
			}

			if (current.state === 'hang') {
				return socket;
			}

			if (current.state !== 'whole') {
				options.port = closedPort;
			}

			open.add(socket);
			socket.once('close', () => open.delete(socket));
			return Reflect.apply(target, socket, parameters) as TcpSocket;
		},
	});
}

function shiftClock(file: string): void {
	const trueTime = Date.now;
	let offset = 0;
	watchFile(file, text => {
		offset = Number(text);
	});
	Date.now = () => trueTime() + offset;
}

function redirectPort(toldPort: number, ownPort: number): void {
	const {bind} = Socket.prototype;
	Socket.prototype.bind = new Proxy(bind, {
		apply: (target, socket: Socket, [port, ...others]: readonly unknown[]) => Reflect.apply(target, socket, [port === toldPort ? ownPort : port, ...others] as Parameters<typeof bind>),
	});
}

const parameters = new URL(import.meta.url).searchParams;
const clockFile = parameters.get('clockFile');
const networkFile = parameters.get('networkFile');
if (clockFile !== null && networkFile !== null) {
	shiftClock(clockFile);
	partition(networkFile);
	redirectPort(Number(parameters.get('toldPort')), Number(parameters.get('ownPort')));
}
