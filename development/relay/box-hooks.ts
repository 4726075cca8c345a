/**
 * Loaded into a relay process with `--import`, before the program. Drops and delays the datagrams of the process and shifts its wall clock, as a file
 * says that may change at any time. The URL of this module holds the file name as parameter.
 */
import {Socket} from 'node:dgram';
import {readFileSync} from 'node:fs';

/** What a process has to endure. */
export type BoxCondition = {
	/** Whether its datagrams are sent. */
	readonly isSending: boolean;
	/** Whether datagrams reach it. */
	readonly isReceiving: boolean;
	/** Milliseconds by which each datagram is delayed in either direction. */
	readonly delay: number;
	/** Offset of its wall clock in milliseconds. */
	readonly clockOffset: number;
};

/** The condition of a process without faults. */
export const soundCondition: BoxCondition = {
	isSending: true, isReceiving: true, delay: 0, clockOffset: 0,
};

/** Milliseconds between two reads of the file. */
const readInterval = 10;

/**
 * @param file - File with a {@link BoxCondition} as JSON.
 * @returns Command-line options of Node.js for a process with these hooks.
 */
export function boxHookOptions(file: string): readonly string[] {
	const url = new URL(import.meta.url);
	url.search = new URLSearchParams({conditionFile: file}).toString();
	return ['--import', url.href];
}

function install(file: string): void {
	let condition = soundCondition;
	const read = () => {
		const text = readFileSync(file, 'utf8');
		// An empty file is being written.
		condition = text === '' ? condition : JSON.parse(text) as BoxCondition;
	};

	const pass = (isPassed: boolean, act: () => void) => {
		if (isPassed && condition.delay > 0) {
			setTimeout(act, condition.delay);
		} else if (isPassed) {
			act();
		}
	};

	read();
	setInterval(read, readInterval).unref();
	const {send, emit} = Socket.prototype;
	Socket.prototype.send = new Proxy(send, {
		apply(target, socket: Socket, parameters: unknown[]) {
			pass(condition.isSending, () => {
				Reflect.apply(target, socket, parameters as Parameters<typeof target>);
			});
		},
	});
	Socket.prototype.emit = new Proxy(emit, {
		apply(target, socket: Socket, parameters: unknown[]): boolean {
			if (parameters[0] !== 'message') {
				return Reflect.apply(target, socket, parameters as Parameters<typeof target>);
			}

			pass(condition.isReceiving, () => {
				Reflect.apply(target, socket, parameters as Parameters<typeof target>);
			});
			return true;
		},
	});
	const trueTime = Date.now;
	Date.now = () => trueTime() + condition.clockOffset;
}

const file = new URL(import.meta.url).searchParams.get('conditionFile');
if (file !== null) {
	install(file);
}
