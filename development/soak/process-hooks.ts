/**
 * Loaded into a relay's process before its program, with `--import`: its wall clock runs off by what a file says, and its datagrams
 * come by a proxy. The address of this module tells which file, and which ports.
 */
import {Socket} from 'node:dgram';
import {readFileSync} from 'node:fs';

/** Where the hooks of a process take what they need. */
export type HookPlan = {
	/** File that holds the milliseconds by which the wall clock is off; it may change at any time. */
	readonly clockFile: string;
	/** UDP port that the program asks for, at which the proxy listens, and the one that it gets. */
	readonly toldPort: number;
	readonly ownPort: number;
};

/** Milliseconds between two looks at the file. */
const lookInterval = 40;

/**
 * @param plan - What the hooks need.
 * @returns Options of Node for a process that has them.
 */
export function hookOptions(plan: HookPlan): readonly string[] {
	const url = new URL(import.meta.url);
	url.search = new URLSearchParams({clockFile: plan.clockFile, toldPort: String(plan.toldPort), ownPort: String(plan.ownPort)}).toString();
	return ['--import', url.href];
}

function moveClock(file: string): void {
	const trueTime = Date.now;
	let offset = 0;
	const look = () => {
		const text = readFileSync(file, 'utf8');
		// It may be read while it is written.
		offset = text === '' ? offset : Number(text);
	};

	look();
	setInterval(look, lookInterval).unref();
	Date.now = () => trueTime() + offset;
}

function movePort(toldPort: number, ownPort: number): void {
	const {bind} = Socket.prototype;
	Socket.prototype.bind = new Proxy(bind, {
		apply: (target, socket: Socket, [port, ...others]: readonly unknown[]) => Reflect.apply(target, socket, [port === toldPort ? ownPort : port, ...others] as Parameters<typeof bind>),
	});
}

const parameters = new URL(import.meta.url).searchParams;
const clockFile = parameters.get('clockFile');
if (clockFile !== null) {
	moveClock(clockFile);
	movePort(Number(parameters.get('toldPort')), Number(parameters.get('ownPort')));
}
