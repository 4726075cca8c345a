/**
 * Guards against answers of engines and plain services that are none and reach a caller of an entry box: statuses that no final answer has, also after an
 * interim answer, and bytes without end.
 */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {test, type TestContext} from 'node:test';
import {
	bodyScripts, framingScripts, headScripts,
} from '../../../development/harness/endless-scripts.js';
import {EndlessServer} from '../../../development/harness/endless-server.js';
import {Installation, type Member} from '../../../development/harness/installation.js';
import {ScriptedServer} from '../../../development/harness/scripted-server.js';
import {testKeys, testTable} from '../../../development/harness/small-installation.js';

const timeout = 120_000;
/** Time in seconds that callers give a request, and milliseconds within which they have an answer. */
const callerTimeout = 2;
const maxDuration = 4000;
const statuses = ['000', '001', '050', '099', '101', '199', '600', '999', '20', '2'] as const;
const interimAnswers = ['', 'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'] as const;
const load = JSON.stringify({running: 0, queued: 0, isLeaving: false});
const loadAnswer = `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${load.length}\r\n\r\n${load}`;
const isLoadRequest = (head: string): boolean => head.startsWith('GET /load');

/** An entry box with one engine and one plain service, both of them at a port. */
async function startBox(context: TestContext, port: number): Promise<Member> {
	const installation = await Installation.create();
	context.after(async () => installation.close());
	await installation.applyTable(testTable());
	const options = {dataCentre: 'dc-1', proxy: async () => port};
	await Promise.all([
		installation.addEngine('engine-1', {...options, pool: 'engines'}),
		installation.addService('service-1', {...options, pool: 'orders'}),
	]);
	const box = await installation.addEntry('entry-1', {dataCentre: 'dc-1'});
	await installation.untilReady();
	return box;
}

const call = async (port: number, path: string, kind: string, body: string): Promise<Response> => fetch(`http://127.0.0.1:${port}${path}`, {
	method: 'POST', body, headers: {
		Authorization: `Bearer ${testKeys.alpha}`, 'Waydrift-Kind': kind, 'Idempotency-Key': randomUUID(), 'Waydrift-Timeout': String(callerTimeout),
	},
});

const chat = (isStreamed: boolean): string => JSON.stringify({
	model: 'assistant', stream: isStreamed, max_tokens: 3, messages: [{role: 'user', content: 'How high is the river?'}],
});

/** Sends a request of each kind; returns what answers it and the status. */
async function callAll({box: {port}}: Member): Promise<ReadonlyArray<{readonly kind: string; readonly status: number}>> {
	const answers = [
		{kind: 'release', answer: call(port, '/v1/services/orders/x', 'release', '{}')},
		{kind: 'look-up', answer: call(port, '/v1/services/orders/x', 'look-up', '{}')},
		{kind: 'chat', answer: call(port, '/v1/chat/completions', 'chat', chat(false))},
		{kind: 'alert-text', answer: call(port, '/v1/chat/completions', 'alert-text', chat(false))},
	] as const;
	return Promise.all(answers.map(async ({kind, answer}) => {
		const {status} = await answer;
		return {kind, status};
	}));
}

test('statuses of upstreams that no final answer has do not reach a caller', {timeout}, async context => {
	const server = await ScriptedServer.create();
	context.after(() => {
		server.close();
	});
	let requests = 0;
	let answer = '';
	server.script = head => {
		requests += isLoadRequest(head) ? 0 : 1;
		return isLoadRequest(head) ? {pieces: [loadAnswer], ending: 'close'} : {pieces: [answer], ending: 'close'};
	};

	const box = await startBox(context, server.port);
	for (const status of statuses) {
		for (const interim of interimAnswers) {
			answer = `${interim}HTTP/1.1 ${status} OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}`;
			const before = requests;
			const views = await callAll(box);
			assert.ok(requests > before, `no request got ${status} after "${interim}"`);
			for (const view of views) {
				assert.ok(view.status >= 500 && view.status <= 599, `${view.kind}, ${status} after "${interim}": ${view.status}`);
			}
		}
	}

	assert.equal(box.child.isEnded, false);
});

test('bytes without end of upstreams are cut off, and the box goes on', {timeout}, async context => {
	const server = await EndlessServer.create(headScripts.headers);
	context.after(() => {
		server.close();
	});
	const wholeAnswer = (head: string) => isLoadRequest(head) ? loadAnswer : undefined;
	server.script = {...headScripts.headers, wholeAnswer};
	const box = await startBox(context, server.port);
	for (const [place, script] of Object.entries({...headScripts, ...framingScripts, ...bodyScripts})) {
		server.script = {...script, wholeAnswer};
		const before = server.requests;
		const sentAt = performance.now();
		const views = await callAll(box);
		const duration = performance.now() - sentAt;
		assert.ok(views.every(({status}) => status >= 500 && status <= 599), `${place}: ${JSON.stringify(views)}`);
		assert.ok(duration < maxDuration, `${place}: ${duration} ms`);
		assert.ok(server.requests > before, place);
	}

	assert.equal(server.closedByServer, 0, 'the upstream closed a connection itself');
	assert.equal(box.child.isEnded, false);
});
