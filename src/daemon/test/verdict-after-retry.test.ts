/** Guards against an answer that says that a request was not run, although an earlier attempt may have run it. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {after, before, test} from 'node:test';
import {control, until, type Installation} from '../../../development/harness/installation.js';
import {startInstallation, testKeys} from '../../../development/harness/small-installation.js';

let installation: Installation;

before(async () => {
	installation = await startInstallation({
		entries: 1, engines: 1, services: 1, dataCentres: 1,
	});
});

after(async () => installation.close());

type ErrorAnswer = {readonly verdict: string; readonly reason: string};

async function post(path: string, kind: string, body: unknown): Promise<ErrorAnswer> {
	const answer = await fetch(`http://127.0.0.1:${installation.entries[0]!.box.port}${path}`, {
		method: 'POST',
		body: JSON.stringify(body),
		headers: {
			Authorization: `Bearer ${testKeys.alpha}`, 'Idempotency-Key': randomUUID(), 'Waydrift-Kind': kind, 'Content-Type': 'application/json',
		},
	});
	assert.notEqual(answer.status, 200);
	return await answer.json() as ErrorAnswer;
}

/** Kills an upstream once it runs a request; later connections to its address are refused. */
async function killWhileRunning(id: string): Promise<void> {
	const {box, child} = installation.members.get(id)!;
	await until(async () => {
		const load = await fetch(`http://127.0.0.1:${box.port}/load`);
		const {running} = await load.json() as {readonly running: number};
		return running === 1;
	});
	await child.kill();
}

test('a call whose service crashed while running it gets may-have-run, regardless of the results of later attempts', async () => {
	await control(installation.members.get('service-1')!.box.port, 'faults', {before: 5000});
	const [answer] = await Promise.all([post('/v1/services/orders/look-up', 'look-up', {}), killWhileRunning('service-1')]);
	assert.equal(answer.verdict, 'may-have-run', answer.reason);
});

test('a chat whose engine crashed before its first token gets may-have-run, regardless of the results of later attempts', async () => {
	const body = {model: 'assistant', messages: [{role: 'user', content: 'word '.repeat(20_000)}], max_tokens: 50};
	const [answer] = await Promise.all([post('/v1/chat/completions', 'chat', body), killWhileRunning('engine-1')]);
	assert.equal(answer.verdict, 'may-have-run', answer.reason);
});
