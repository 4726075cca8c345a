/**
 * Loaded into a relay process with `--import`, before the program. Shifts the wall clock by the offset in a file, and binds the UDP socket
 * to another port, so that a proxy can listen on the original one. The URL of this module holds the file name and the ports as parameters.
 */
import {Socket} from 'node:dgram';
import {readFileSync} from 'node:fs';

/** Parameters of the hooks of a process. */
export type HookPlan = {
	/** File with the offset of the wall clock in milliseconds; it may change at any time. */
	readonly clockFile: string;
	/** UDP port that the program asks for, on which the proxy listens, and the port that is bound instead. */
	readonly toldPort: number;
	readonly ownPort: number;
};

/** Milliseconds between two reads of the file. */
const readInterval = 40;

/**
 * @param plan - Parameters of the hooks.
 * @returns Command-line options of Node for a process with these hooks.
 */
export function hookOptions(plan: HookPlan): readonly string[] {
	const url = new URL(import.meta.url);
	url.search = new URLSearchParams({clockFile: plan.clockFile, toldPort: String(plan.toldPort), ownPort: String(plan.ownPort)}).toString();
	return ['--import', url.href];
}

function shiftClock(file: string): void {
	const trueTime = Date.now;
	let offset = 0;
	const readOffset = () => {
		const text = readFileSync(file, 'utf8');
		// The file is empty if it is read while it is being written.
		offset = text === '' ? offset : Number(text);
	};

	readOffset();
	setInterval(readOffset, readInterval).unref();
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
if (clockFile !== null) {
	shiftClock(clockFile);
	redirectPort(Number(parameters.get('toldPort')), Number(parameters.get('ownPort')));
}
