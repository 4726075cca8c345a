/**
 * Guards against answers of replicas that are none and reach a client through another box: statuses that no final answer has, also after an interim answer,
 * and bytes without end.
 */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
	bodyScripts, framingScripts, headScripts,
} from '../../../development/harness/endless-scripts.js';
import {EndlessServer} from '../../../development/harness/endless-server.js';
import {ScriptedServer} from '../../../development/harness/scripted-server.js';
import {watchExceptions} from '../../../development/harness/uncaught-exceptions.js';
import {
	RelayInstallation, routeTo, until, type RelayMember,
} from '../../../development/relay/relay-installation.js';

const timeout = 120_000;
/** Timeout of a route in milliseconds, and the time in which a request is answered that is not held until then. */
const routeTimeout = 1000;
const maxDuration = routeTimeout + 1000;
const statuses = ['000', '001', '050', '099', '101', '199', '600', '999', '20', '2'] as const;
const interimAnswers = {
	none: '', continue: 'HTTP/1.1 100 Continue\r\n\r\n', 'early hints': 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n',
} as const;
const paths = ['/calls/x', '/once/x', '/stream/x', '/whole/x'] as const;
/** Statuses that promise that the request was not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const soundPath = '/sound/x';
const kindOf = {
	'/calls/': 'idempotent', '/once/': 'non_idempotent', '/stream/': 'streaming', '/whole/': 'streaming',
} as const;

/** Two boxes, of which the first reaches no replica, and a replica of another service that answers. */
async function startForwarding(context: TestContext, port: number): Promise<{readonly installation: RelayInstallation; readonly cut: RelayMember}> {
	const installation = await RelayInstallation.start({
		relays: 2,
		replicas: [],
		services: ['plain', 'sound'].map(name => ({name, max_conns: 100})),
		bounds: {retryRatio: 10, retrySlack: 100_000},
		routes: [
			...Object.entries(kindOf).map(([path, kind]) => routeTo(path, {
				kind, resumable: path === '/stream/', timeout_ms: routeTimeout, max_attempts: kind === 'idempotent' || path === '/stream/' ? 2 : 1,
			})),
			routeTo('/sound/', {service: 'sound'}),
		],
	});
	context.after(async () => installation.close());
	await installation.addReplica('i-sound', {service: 'sound'});
	await installation.addReplica('i-faulty', {addr: `127.0.0.1:${port}`, slots: 1000});
	await installation.untilAllHeard();
	const [cut] = installation.relays;
	await until(() => cut!.log.lines.filter(({eventName}) => eventName === 'replicaListed').length === 2);
	cut!.network.state = 'refuse';
	for (const path of ['/calls/first', '/sound/first']) {
		await installation.call({path}, cut);
	}

	await until(() => cut!.log.lines.some(({eventName}) => eventName === 'replicasUnreachable'));
	return {installation, cut: cut!};
}

for (const [name, interim] of Object.entries(interimAnswers)) {
	test(`statuses that no final answer has do not reach a client through another box; interim answer before them: ${name}`, {timeout}, async context => {
		const server = await ScriptedServer.create();
		context.after(() => {
			server.close();
		});
		const uncaught = watchExceptions(context);
		const {installation, cut} = await startForwarding(context, server.port);
		let requests = 0;
		let statusLine = '';
		server.script = request => {
			const id = /^attempt-id: (?<id>\S+)/imv.exec(request)?.groups?.id ?? '';
			requests++;
			return {
				pieces: [`${interim}${statusLine}Attempt-Id: ${id}\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: one\n\n`],
				ending: 'close',
			};
		};

		for (const status of statuses) {
			statusLine = `HTTP/1.1 ${status} OK\r\n`;
			const views = await Promise.all(paths.map(async path => installation.call({path, method: 'POST', body: 'x'}, cut)));
			for (const [index, view] of views.entries()) {
				assert.ok(view.status >= 500 && view.status <= 599 && !promises.has(view.status), `${paths[index]} ${status}: ${view.status}`);
			}

			assert.equal((await installation.call({path: soundPath}, cut)).status, 200);
		}

		assert.ok(requests >= statuses.length * paths.length, `${requests} requests reached the replica`);
		assert.deepEqual(uncaught, []);
	});
}

test('bytes without end that arrive through another box are cut off, and requests of another service are answered meanwhile', {timeout}, async context => {
	const server = await EndlessServer.create(headScripts.headers);
	context.after(() => {
		server.close();
	});
	const {installation, cut} = await startForwarding(context, server.port);
	for (const [place, script] of Object.entries({...headScripts, ...framingScripts, ...bodyScripts})) {
		const before = server.requests;
		server.script = script;
		const sentAt = performance.now();
		const views = await Promise.all([...paths, soundPath].map(async path => installation.call({path, method: 'POST', body: 'x'}, cut)));
		const duration = performance.now() - sentAt;
		const summary = `${place}: ${views.map(({status}) => status).join(', ')} after ${Math.round(duration)} ms`;
		assert.ok(views.slice(0, -1).every(({status}) => status >= 500 && status <= 599 && !promises.has(status)), summary);
		assert.equal(views.at(-1)!.status, 200, summary);
		assert.ok(duration < maxDuration, summary);
		assert.ok(server.requests > before, place);
	}

	assert.equal(server.closedByServer, 0, 'the replica closed a connection itself');
});
