/**
 * What a process has used, as the operating system counts it.
 */
import {readFileSync} from 'node:fs';

const ticksPerSecond = 100;
const pageSize = 4096;
const userTimeField = 11;
const systemTimeField = 12;

/**
 * @param pid - A process.
 * @returns Milliseconds of processor time.
 */
export function processorTime(pid: number): number {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * 1000 / ticksPerSecond;
}

/**
 * @param pid - A process.
 * @returns Bytes of memory that are resident.
 */
export function residentMemory(pid: number): number {
	const [, resident] = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
	return Number(resident) * pageSize;
}
