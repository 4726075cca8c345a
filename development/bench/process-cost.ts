/**
 * Reads the processor time and memory of a process from Linux `/proc`.
 */
import {readFileSync} from 'node:fs';

/** Clock ticks per second; `/proc/PID/stat` gives processor times in ticks. */
const ticksPerSecond = 100;
/** Bytes in a page, the unit of `/proc/PID/statm`. */
const pageSize = 4096;
/** Index of the user time in `/proc/PID/stat`, counted from the first field after the command name, which may hold spaces. */
const userTimeField = 11;
/** Index of the system time in `/proc/PID/stat`, counted in the same way. */
const systemTimeField = 12;

/**
 * @param pid - Process ID.
 * @returns Milliseconds of processor time, user and system, since the process started.
 */
export function processorTime(pid: number): number {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * 1000 / ticksPerSecond;
}

/**
 * @param pid - Process ID.
 * @returns Bytes of resident memory.
 */
export function residentMemory(pid: number): number {
	const [, resident] = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
	return Number(resident) * pageSize;
}
