/*
 * Clients that do not behave, at the listeners of a relay for the balancer, other boxes and operators.
 */
import {test, type TestContext} from 'node:test';
import {path as paths} from '../../../platform/names.js';
import {CrowdRelay} from '../crowd-relay.js';
import {assertEndures, type Limits} from '../crowd.js';
import {
	pipelined, silent, unendedHead, unendedOneByteChunks, type HeadWriter,
} from '../requests.js';

const limits: Limits = {memory: 200, descriptors: 700};

async function startRelay(context: TestContext): Promise<CrowdRelay> {
	const relay = await CrowdRelay.start(limits);
	context.after(async () => relay.close());
	return relay;
}

const targets = {ready: paths.ready, control: '/quarantine', metrics: '/metrics'} as const;
const listeners = Object.keys(targets) as ReadonlyArray<keyof typeof targets>;

for (const listener of listeners) {
	const request = (method: string): HeadWriter => lines => [`${method} ${targets[listener]} HTTP/1.1`, 'Host: box', ...lines, '', ''].join('\r\n');

	test(`listener ${listener}: 1,000 connections send nothing`, async context => {
		const relay = await startRelay(context);
		await assertEndures(relay, [[{connections: 1000, port: relay.ports[listener], conduct: () => silent}]]);
	});

	test(`listener ${listener}: 20 clients send 4,000 requests each at once and read no answer`, async context => {
		const relay = await startRelay(context);
		await assertEndures(relay, [[{connections: 20, port: relay.ports[listener], conduct: () => pipelined(request('GET'), 4000)}]]);
	});

	test(`listener ${listener}: clients send bodies in chunks of one byte and heads, all without an end`, async context => {
		const relay = await startRelay(context);
		const port = relay.ports[listener];
		await assertEndures(relay, [[
			{connections: 30, port, conduct: () => unendedOneByteChunks(request('POST'))}, {connections: 300, port, conduct: () => unendedHead(request('POST'))},
		]]);
	});
}
