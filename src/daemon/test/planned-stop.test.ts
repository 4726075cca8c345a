import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {callerAt, startInstallation, testKeys} from '../../../development/harness/small-installation.js';
import {
	control, until, type Installation, type Member,
} from '../../../development/harness/installation.js';

let installation: Installation;

before(async () => {
	installation = await startInstallation({
		entries: 3, engines: 2, services: 1, dataCentres: 1,
	});
});

after(async () => installation.close());

const chat = (isStreamed: boolean) => {
	const key = randomUUID();
	return {
		model: 'assistant', key, isStreamed, maximumTokens: 250, messages: [{role: 'user', content: `Answer ${key}.`}],
	};
};

async function isReady({operatorsPort}: Member): Promise<boolean> {
	const answer = await fetch(`http://127.0.0.1:${operatorsPort}/readyz`);
	return answer.ok;
}

test('entry boxes that are stopped one after the other under load complete all answers in progress', async () => {
	const boxes = installation.entries;
	for (const box of boxes) {
		const caller = callerAt([box]);
		const answers = Array.from({length: 6}, async (_, index) => caller.chat(chat(index % 2 === 0)));
		await until(async () => {
			const status = await fetch(`http://127.0.0.1:${box.operatorsPort}/status`);
			return (await status.json() as {readonly inProgress: number}).inProgress === 6;
		});
		box.child.signal('SIGTERM');
		const results = await Promise.all(answers);
		// One attempt each: no answer was interrupted, and no caller was asked to retry.
		assert.deepEqual(results.map(({judgement, tries}) => [judgement.kind, tries]), results.map(() => ['answered', 1]));
		assert.equal(await box.child.exited, 0);
	}
});

test('a stopping box reports itself as not ready to the balancer, and still answers new requests', async () => {
	const box = await installation.addEntry('entry-late', {dataCentre: 'dc-1', balancerDelay: 1500});
	await until(async () => isReady(box));
	box.child.signal('SIGTERM');
	await until(async () => !await isReady(box));
	const {judgement} = await callerAt([box]).chat(chat(true));
	assert.equal(judgement.kind, 'answered');
	assert.equal(await box.child.exited, 0);
});

test('an engine that leaves without a known end time finishes its requests in progress, and gets no new ones', async () => {
	const box = await installation.addEntry('entry-last', {dataCentre: 'dc-1'});
	await until(async () => isReady(box));
	const caller = callerAt([box]);
	const answers = Array.from({length: 8}, async () => caller.chat(chat(true)));
	const engine = installation.members.get('engine-1')!.box.port;
	const started = async () => (await control(engine, 'totals', {}) as {readonly started: number}).started;
	await until(async () => await started() > 0);
	await control(engine, 'leave', {});
	const results = await Promise.all(answers);
	assert.deepEqual(results.map(({judgement}) => judgement.kind), results.map(() => 'answered'));
	const before = await started();
	await caller.chat(chat(true));
	assert.equal(await started(), before);
});

/** Milliseconds for which the plain service works on a call. */
const work = 1000;

async function readUntilClosed(port: number, text: string): Promise<string> {
	return new Promise(resolve => {
		let received = '';
		const socket = connect(port, '127.0.0.1', () => {
			socket.write(text);
		});
		socket.on('data', (chunk: Uint8Array) => {
			received += String(chunk);
		}).on('error', () => undefined).on('close', () => {
			resolve(received);
		});
	});
}

const callOf = (key: string): string => [
	'POST /v1/services/orders/release HTTP/1.1', 'Host: x', `Authorization: Bearer ${testKeys.alpha}`, 'Waydrift-Kind: release', `Idempotency-Key: ${key}`, 'Content-Length: 2', '', '{}',
].join('\r\n');

// A second signal ended the process at once, and with it the requests in progress.
test('a second stop signal does not cut the requests in progress', async () => {
	const box = await installation.addEntry('entry-twice', {dataCentre: 'dc-1'});
	await until(async () => isReady(box));
	await control(installation.members.get('service-1')!.box.port, 'faults', {before: work});
	const answered = readUntilClosed(box.box.port, callOf(randomUUID()));
	await pause(work / 4);
	box.child.signal('SIGTERM');
	await pause(work / 4);
	box.child.signal('SIGTERM');
	box.child.signal('SIGINT');
	assert.match(await answered, /^HTTP\/1\.1 200 /v);
	assert.equal(await box.child.exited, 0);
});

// The answer to the first request closed the connection, so that the others, already received, were discarded.
test('a stopping box answers the requests that arrived behind another one on its connection', async () => {
	const box = await installation.addEntry('entry-behind', {dataCentre: 'dc-1', balancerDelay: 1500});
	await until(async () => isReady(box));
	await control(installation.members.get('service-1')!.box.port, 'faults', {before: work / 4});
	box.child.signal('SIGTERM');
	await until(async () => !await isReady(box));
	const text = await readUntilClosed(box.box.port, [1, 2, 3].map(() => callOf(randomUUID())).join(''));
	assert.equal(text.match(/HTTP\/1\.1 200 /gv)?.length, 3, text);
	assert.equal(text.match(/Connection: close/gv)?.length, 1);
	assert.equal(await box.child.exited, 0);
});
