import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import OpenAI from 'openai';
import {
	control, until, readMetric, type Installation,
} from '../../../development/harness/installation.js';
import {startInstallation, testKeys} from '../../../development/harness/small-installation.js';
import {expectedAnswer} from '../../../development/standins/tokens.js';

let installation: Installation;
let port: number;
let operatorsPort: number;

before(async () => {
	installation = await startInstallation({
		entries: 2, engines: 1, services: 1, dataCentres: 1,
	});
	const [entry] = installation.entries;
	port = entry!.box.port;
	operatorsPort = entry!.operatorsPort;
});

after(async () => installation.close());

const messages = [{role: 'user' as const, content: 'How high is the river?'}];

async function post(path: string, body: string, headers: Readonly<Record<string, string>> = {}): Promise<Response> {
	return fetch(`http://127.0.0.1:${port}${path}`, {
		method: 'POST', body, headers: {Authorization: `Bearer ${testKeys.alpha}`, ...headers},
	});
}

async function assertProblem(answer: Response, status: number, reason: string): Promise<void> {
	const problem = await answer.json() as {readonly reason: string; readonly verdict: string};
	assert.equal(answer.status, status);
	assert.equal(answer.headers.get('content-type'), 'application/problem+json');
	assert.deepEqual({reason: problem.reason, verdict: problem.verdict}, {reason, verdict: 'not-run'});
}

/** Sends raw bytes and reads until the connection closes. */
async function sendRaw(write: (send: (bytes: string) => void) => void): Promise<string> {
	return new Promise(resolve => {
		let received = '';
		const socket = connect(port, '127.0.0.1', () => {
			write(bytes => {
				socket.write(bytes);
			});
		});
		socket.on('data', (chunk: Uint8Array) => {
			received += String(chunk);
		}).on('error', () => undefined).on('close', () => {
			resolve(received);
		});
	});
}

test('a missing and an unknown API key are refused and counted', async () => {
	await assertProblem(await post('/v1/chat/completions', '{}', {Authorization: ''}), 401, 'key-missing');
	await assertProblem(await post('/v1/chat/completions', '{}', {Authorization: 'Bearer nobody'}), 401, 'key-unknown');
	assert.equal(await readMetric(operatorsPort, 'waydrift_refusals_total{reason="key-unknown",verdict="not-run"}'), 1);
});

test('malformed, oversized and invalid requests are refused with the status and reason of each fault', async () => {
	await assertProblem(await post('/v1/chat/completions', '{"model":'), 400, 'malformed');
	await assertProblem(await post('/v1/chat/completions', '{"model":"assistant","messages":[],"max_tokens":0}'), 400, 'malformed');
	await assertProblem(await post('/v1/chat/completions', JSON.stringify({model: 'nothing', messages})), 404, 'no-such-service');
	await assertProblem(await post('/v1/services/orders/release', '{}', {'Waydrift-Kind': 'other'}), 403, 'not-allowed');
	await assertProblem(await post('/v1/services/orders/release', '{}', {'Waydrift-Kind': 'release'}), 400, 'request-key-missing');
	await assertProblem(await post('/v1/other', '{}'), 404, 'no-such-path');
	await assertProblem(await post('/v1/chat/completions', 'x'.repeat(5_000_000)), 413, 'body-too-large');
});

test('an oversized head, invalid HTTP and a slow sender get a refusal and a closed connection', async () => {
	const endless = await sendRaw(send => {
		send(`GET / HTTP/1.1\r\n${'X-Filler: y\r\n'.repeat(5000)}`);
	});
	assert.match(endless, /^HTTP\/1.1 431 .*"headers-too-large"/sv);
	const garbage = await sendRaw(send => {
		send('NOT HTTP\r\n\r\n');
	});
	assert.match(garbage, /^HTTP\/1.1 400 .*"malformed"/sv);
	const slow = await sendRaw(send => {
		send('POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n');
	});
	assert.match(slow, /^HTTP\/1.1 408 .*"sender-too-slow"/sv);
});

/** Guards against an answer to an HTTP/1.0 client that ends only with its connection, so that a cut one looks complete. */
test('a whole chat and the status of a request state the length of their bodies', async () => {
	const body = JSON.stringify({model: 'assistant', messages, max_tokens: 2});
	const headers = `Authorization: Bearer ${testKeys.alpha}\r\nIdempotency-Key: length-1\r\nWaydrift-Kind: chat\r\n`;
	const requests = [`POST /v1/chat/completions HTTP/1.0\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`, `GET /v1/requests/length-1 HTTP/1.0\r\n${headers}\r\n`];
	for (const request of requests) {
		const answer = await sendRaw(send => {
			send(request);
		});
		const [head = '', content = ''] = answer.split('\r\n\r\n');
		assert.match(head, /^HTTP\/1.1 200 /v);
		assert.match(head, new RegExp(`^content-length: ${Buffer.byteLength(content)}$`, 'imv'));
	}
});

test('invalid HTTP after a request does not corrupt the response in progress', async () => {
	const body = JSON.stringify({
		model: 'assistant', messages, max_tokens: 20, stream: true,
	});
	const received = await sendRaw(send => {
		send(`POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${testKeys.alpha}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
		setTimeout(() => {
			send('NOT HTTP\r\n\r\n');
		}, 60);
	});
	// The response in progress is complete up to its last chunk; only then the invalid bytes get a response of their own.
	assert.match(received, /^HTTP\/1.1 200 (?:(?!malformed|HTTP\/1).)*data: \[DONE\]\s+0\r\n\r\nHTTP\/1.1 400 (?:(?!HTTP\/1).)*malformed(?:(?!HTTP\/1).)*$/sv);
});

test('a client account cannot find the request of another account', async () => {
	const key = 'shared-name';
	const own = await post('/v1/services/orders/release', 'mine', {'Idempotency-Key': key, 'Waydrift-Kind': 'release'});
	assert.equal(own.status, 200);
	const ask = async (apiKey: string) => fetch(`http://127.0.0.1:${port}/v1/requests/${key}`, {headers: {Authorization: `Bearer ${apiKey}`}});
	await assertProblem(await ask(testKeys.beta), 404, 'no-such-request');
	await until(async () => {
		const answer = await ask(testKeys.alpha);
		const status = await answer.json() as {readonly state: string};
		return status.state === 'ran';
	});
});

test('an Idempotency-Key that was used for another request is refused', async () => {
	const headers = {'Idempotency-Key': 'named-once', 'Waydrift-Kind': 'release'};
	assert.equal((await post('/v1/services/orders/release', 'one', headers)).status, 200);
	await assertProblem(await post('/v1/services/orders/release', 'two', headers), 422, 'request-key-reused');
});

test('a caller that disconnects cancels its request at the engine', async () => {
	const engine = installation.members.get('engine-1')!.box.port;
	const cancelled = async () => {
		const totals = await control(engine, 'totals', {}) as {readonly cancelled: number};
		return totals.cancelled;
	};

	const earlier = await cancelled();
	const controller = new AbortController();
	const answer = await fetch(`http://127.0.0.1:${port}/v1/chat/completions`, {
		method: 'POST',
		headers: {Authorization: `Bearer ${testKeys.alpha}`},
		body: JSON.stringify({
			model: 'assistant', messages, max_tokens: 100_000, stream: true,
		}),
		signal: controller.signal,
	});
	assert.equal(answer.status, 200);
	controller.abort();
	await until(async () => await cancelled() === earlier + 1);
	await until(async () => await readMetric(operatorsPort, 'waydrift_requests_in_progress') === 0);
});

test('the OpenAI client library works unmodified, with and without streaming', async () => {
	const client = new OpenAI({apiKey: testKeys.alpha, baseURL: `http://127.0.0.1:${port}/v1`, maxRetries: 0});
	const whole = await client.chat.completions.create({model: 'assistant', messages, max_completion_tokens: 12});
	assert.equal(whole.choices[0]!.message.content, expectedAnswer(messages, 12));
	assert.equal(whole.usage?.completion_tokens, 12);
	const stream = await client.chat.completions.create({
		model: 'assistant', messages, max_completion_tokens: 12, stream: true, stream_options: {include_usage: true},
	});
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	assert.equal(chunks.map(chunk => chunk.choices[0]?.delta.content ?? '').join(''), expectedAnswer(messages, 12));
	assert.equal(chunks.at(-1)!.usage?.completion_tokens, 12);
	await assert.rejects(client.chat.completions.create({model: 'nothing', messages}), {status: 404});
});
