/**
 * A client connection of which a test writes each byte, and reads what it brings. Development only.
 */
import {connect} from 'node:net';
import {testHost, testKey} from './relay-installation.js';

/** Everything that a connection brought until it ended, and whether it was reset. */
export type RawEnd = {readonly text: string; readonly isReset: boolean};

/** An open connection. */
export type RawExchange = {
	readonly send: (text: string) => void;
	/** @returns What it has brought so far. */
	readonly received: () => string;
	readonly ended: Promise<RawEnd>;
};

/**
 * @param relay - The relay to connect to.
 * @returns The connection.
 */
export function openRaw({port}: {readonly port: number}): RawExchange {
	const socket = connect(port, '127.0.0.1');
	let text = '';
	let isReset = false;
	const ended = new Promise<RawEnd>(resolve => {
		socket.on('error', () => {
			isReset = true;
		}).on('data', data => {
			text += data.toString('latin1');
		}).once('close', () => {
			resolve({text, isReset});
		});
	});
	return {
		send(part) {
			socket.write(part, 'latin1');
		}, received: () => text, ended,
	};
}

/**
 * @param path - Target of a request, which is also its id.
 * @param length - Length of its body in bytes.
 * @returns The head of the request.
 */
export const headOf = (path: string, length: number): string =>
	[`POST ${path} HTTP/1.1`, `Host: ${testHost}`, `Authorization: Bearer ${testKey}`, `Attempt-Id: ${path}`, 'Deadline-Ms: 20000', `Content-Length: ${length}`, '', ''].join('\r\n');

/**
 * @param text - What a connection brought.
 * @returns The statuses of the answers.
 */
export const statusesOf = (text: string): readonly number[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/gv)].map(([, status]) => Number(status));
