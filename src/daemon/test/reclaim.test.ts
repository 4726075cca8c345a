import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {connect} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import type {Chat, Result} from '../../../development/harness/caller.js';
import {
	control, readMetric, until, type Installation,
} from '../../../development/harness/installation.js';
import {callerOf, startInstallation, testKeys} from '../../../development/harness/small-installation.js';
import {sumOf} from '../../base/sum.js';

let installation: Installation;

beforeEach(async () => {
	installation = await startInstallation({
		entries: 4, engines: 4, services: 2, dataCentres: 2,
	});
});

afterEach(async () => installation.close());

/** Reclaim notice, in milliseconds. */
const notice = 3000;
/** Length of an answer: enough that no answer is complete before the notice ends. */
const tokensPerAnswer = 700;

const chat = (isStreamed: boolean): Chat => {
	const key = randomUUID();
	return {
		model: 'assistant', key, isStreamed, maximumTokens: tokensPerAnswer, messages: [{role: 'user', content: `Write bulletin ${key}.`}],
	};
};

/** @returns The number of requests in progress on each entry box. */
async function inProgress(): Promise<readonly number[]> {
	return Promise.all(installation.entries.map(async ({operatorsPort}) => readMetric(operatorsPort, 'waydrift_requests_in_progress')));
}

/** Starts streamed and non-streamed chat requests on all boxes, and waits until all of them are in progress at once. */
async function startChats(count: number): Promise<Array<Promise<Result>>> {
	const caller = callerOf(installation);
	const ended: string[] = [];
	const startedAt = performance.now();
	const answers = Array.from({length: count}, async (_, index) => {
		const result = await caller.chat(chat(index % 3 !== 0));
		const {judgement, tries, restarts, timing: {firstToken}} = result;
		ended.push(JSON.stringify({
			index, at: Math.round(performance.now() - startedAt), judgement, tries, restarts, firstToken: Math.round(firstToken),
		}));
		return result;
	});
	let last: readonly number[] = [];
	try {
		await until(async () => {
			last = await inProgress();
			return sumOf(last) === count;
		});
	} catch (error) {
		// If an answer is refused or completes before the last one starts, the count is never reached.
		throw new Error(`${count} answers were never in progress at once; in progress: ${last.join(', ')}; ended: ${ended.join(', ') || 'none'}`, {cause: error});
	}

	return answers;
}

async function assertAllAnswered(answers: Array<Promise<Result>>): Promise<void> {
	const results = await Promise.all(answers);
	const endings = results.map(({judgement, restarts}) => ({judgement, restarts}));
	assert.deepEqual(endings, endings.map(() => ({judgement: {kind: 'answered'}, restarts: 0})));
}

/** @returns The engine that reports the most running requests, among those that are not leaving. */
async function busiestEngine(): Promise<string> {
	const engines = [...installation.members.values()].filter(({box}) => box.role === 'model-engine');
	let busiest = '';
	await until(async () => {
		const loads = await Promise.all(engines.map(async ({box}) => {
			const answer = await fetch(`http://127.0.0.1:${box.port}/load`);
			const {running, isLeaving} = await answer.json() as {readonly running: number; readonly isLeaving: boolean};
			return {id: box.id, running: isLeaving ? 0 : running};
		}));
		const [most] = loads.sort((left, right) => right.running - left.running);
		busiest = most!.id;
		return most!.running > 0;
	});
	return busiest;
}

async function sumMetric(name: string): Promise<number> {
	return sumOf(await Promise.all(installation.entries.map(async ({operatorsPort}) => readMetric(operatorsPort, name))));
}

test('answers complete when the box of their engine is reclaimed with notice, and its cache is moved', async () => {
	const answers = await startChats(12);
	await installation.reclaim(await busiestEngine(), notice);
	await assertAllAnswered(answers);
	assert.ok(await sumMetric('waydrift_streams_moved_total{cause="leaving"}') > 0);
	assert.equal(await sumMetric('waydrift_streams_moved_total{cause="failure"}'), 0);
	assert.equal(await sumMetric('waydrift_recomputed_tokens_total{cause="leaving"}'), 0);
});

test('answers complete when an entry box is reclaimed with notice', async () => {
	const answers = await startChats(12);
	await installation.reclaim('entry-1', notice);
	await assertAllAnswered(answers);
});

test('answers complete when a whole data centre is reclaimed with notice, entry boxes and engines together', async () => {
	const answers = await startChats(12);
	const leaving = [...installation.members.values()].filter(({box}) => box.dataCentre === 'dc-1').map(({box}) => box.id);
	await Promise.all(leaving.map(async id => installation.reclaim(id, notice)));
	await assertAllAnswered(answers);
});

test('answers complete through two reclaims in a row', async () => {
	const answers = await startChats(8);
	await installation.reclaim(await busiestEngine(), notice);
	await until(async () => await sumMetric('waydrift_streams_moved_total{cause="leaving"}') > 0);
	await installation.reclaim(await busiestEngine(), notice);
	await installation.reclaim('entry-2', notice);
	await assertAllAnswered(answers);
});

test('accepted releases complete while an entry box and a service box are reclaimed', async () => {
	const caller = callerOf(installation);
	const keys = Array.from({length: 40}, () => randomUUID());
	const answers = keys.map(async key => caller.call({
		service: 'orders', path: '/release', key, body: key,
	}));
	await installation.reclaim('entry-1', notice);
	await installation.reclaim('service-1', notice);
	await assertAllAnswered(answers);
});

/** Sends the parts of a call that must not be repeated, each `delay` milliseconds after the one before; returns what its connection brings. */
async function callRaw(port: number, parts: readonly string[], delay: number): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	let text = '';
	const closed = new Promise<void>(resolve => {
		socket.on('error', () => undefined).on('data', (data: Uint8Array) => {
			text += String(data);
		}).once('close', () => {
			resolve();
		});
	});
	socket.write([
		'POST /v1/services/orders/release HTTP/1.1',
		'Host: x',
		`Authorization: Bearer ${testKeys.alpha}`,
		'Waydrift-Kind: release',
		`Idempotency-Key: ${randomUUID()}`,
		`Content-Length: ${parts.join('').length}`,
		'',
		'',
	].join('\r\n'));
	for (const part of parts) {
		socket.write(part);
		await pause(delay);
	}

	await closed;
	return text;
}

// What could not be moved to another box ended with a reset connection.
test('calls that cannot end before their entry box is reclaimed get a refusal that says truly whether they may have run', async () => {
	const services = [...installation.members.values()].filter(({box}) => box.role === 'plain-service');
	await Promise.all(services.map(async ({box}) => control(box.port, 'faults', {before: 2 * notice})));
	const {port} = installation.members.get('entry-1')!.box;
	const running = callRaw(port, ['{}'], 0);
	const late = callRaw(port, ['{', '}'], 0.75 * notice);
	const unfinished = callRaw(port, ['{', ' '.repeat(8), '}'], notice);
	await pause(100);
	await installation.reclaim('entry-1', notice);
	assert.match(await running, /^HTTP\/1\.1 502 .*"may-have-run"/sv);
	assert.match(await late, /^HTTP\/1\.1 503 .*"not-run"/sv);
	assert.match(await unfinished, /^HTTP\/1\.1 503 .*"not-run"/sv);
});
