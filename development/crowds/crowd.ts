/**
 * Exposes one process to a crowd of clients that do not behave, and checks what does not depend on speed. Development only.
 */
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import type {Child} from '../harness/child.js';
import {CrowdClient, type Conduct} from './crowd-client.js';
import {UsageMeter} from './process-usage.js';

/** Milliseconds for which the connections of a crowd stay open after it has been sent, or could not be sent any further. */
const holdTime = 1500;
/** Maximum milliseconds for sending a crowd: what is not read is never sent. */
const maxSendTime = 4000;
/** Attempts at an ordinary request; a client repeats one that was refused or whose connection was closed unread. */
const maxAttempts = 40;
/** Milliseconds between two attempts. */
const attemptInterval = 250;
const bytesPerMegabyte = 1024 * 1024;

/** Limits of the process, as in its settings. */
export type Limits = {
	/** Megabytes. */
	readonly memory: number;
	readonly descriptors: number;
};

/** The process that is exposed to a crowd. */
export type Target = {
	readonly child: Child;
	readonly limits: Limits;
	/** @returns Whether an ordinary request is answered. */
	readonly isServing: () => Promise<boolean>;
	/** @returns Whether the balancer's readiness check is answered. */
	readonly isAnsweringCheck: () => Promise<boolean>;
};

/** Clients of one kind. */
export type Group = {
	readonly connections: number;
	readonly port: number;
	/** @returns What a client does; called for each. */
	readonly conduct: () => Conduct;
};

/**
 * Sends a crowd, holds its connections open for some time and closes them.
 *
 * @param groups - The crowd.
 * @param whileOpen - Called while all connections are open.
 */
async function sendCrowd(groups: readonly Group[], whileOpen: () => Promise<void>): Promise<void> {
	const clients = start(groups);
	await Promise.race([Promise.all(clients.map(async ({sent}) => sent)), pause(maxSendTime)]);
	await whileOpen();
	await pause(holdTime);
	for (const client of clients) {
		client.close();
	}
}

/**
 * @param groups - Clients that read their answers.
 * @returns Status of each answer; 0 if the connection was closed without one.
 */
export async function statusesOf(groups: readonly Group[]): Promise<readonly number[]> {
	const clients = start(groups);
	await Promise.all(clients.map(async ({answered}) => answered));
	for (const client of clients) {
		client.close();
	}

	return clients.map(({answer}) => Number(answer.slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length)));
}

/**
 * Exposes a process to crowds, one after the other without a pause. Checks that the process lives, that its memory and descriptors stay under its limits, that the
 * readiness check is answered during each crowd, and an ordinary request afterwards.
 *
 * @param target - The process.
 * @param crowds - The crowds.
 */
export async function assertEndures(target: Target, crowds: ReadonlyArray<readonly Group[]>): Promise<void> {
	const {child, limits} = target;
	const meter = UsageMeter.create(child.pid);
	try {
		assert.ok(await succeeds(target, target.isServing), 'an ordinary request is answered before');
		for (const crowd of crowds) {
			await sendCrowd(crowd, async () => {
				assert.ok(await succeeds(target, target.isAnsweringCheck), 'the readiness check is answered during the crowd');
			});
		}

		assert.ok(await succeeds(target, target.isServing), 'an ordinary request is answered afterwards');
	} finally {
		meter.close();
	}

	const {memory, descriptors} = meter.peak;
	assert.equal(child.isEnded, false, 'the process lives');
	assert.ok(memory < limits.memory * bytesPerMegabyte, `the memory had ${Math.round(memory / bytesPerMegabyte)} MB of ${limits.memory}`);
	assert.ok(descriptors < limits.descriptors, `${descriptors} descriptors of ${limits.descriptors} were open`);
}

/** @returns Whether a call succeeds within the attempts of a client; not if the process has ended. */
async function succeeds({child}: Target, call: () => Promise<boolean>): Promise<boolean> {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		assert.equal(child.isEnded, false, 'the process lives');
		if (await call()) {
			return true;
		}

		await pause(attemptInterval);
	}

	return false;
}

const start = (groups: readonly Group[]): readonly CrowdClient[] =>
	groups.flatMap(({connections, port, conduct}) => Array.from({length: connections}, () => CrowdClient.start(port, conduct())));
