import assert from 'node:assert/strict';
import {Agent, get} from 'node:http';
import {after, before, test} from 'node:test';
import * as Effect from 'effect/Effect';
import {RelayInstallation, type RelayMember} from '../../../development/relay/relay-installation.js';

let installation: RelayInstallation;
let relay: RelayMember;

before(async () => {
	installation = await RelayInstallation.start({relays: 1, replicas: ['i-1']});
	[relay] = installation.relays as [RelayMember];
});

after(async () => installation.close());

const readiness = async (): Promise<number> => new Promise((resolve, reject) => {
	get({
		host: '127.0.0.1', port: relay.readyPort, path: '/api/readyz', agent: false,
	}, answer => {
		answer.resume();
		resolve(answer.statusCode ?? 0);
	}).on('error', reject);
});

test('a stopping relay becomes unready at once, goes on serving, closes kept-alive connections with its responses, and then stops', async () => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	assert.equal(await readiness(), 200);
	assert.equal((await installation.call({path: '/calls/x', agent})).headers.connection, 'keep-alive');
	const stopped = Effect.runPromise(relay.node.stop());
	assert.equal(await readiness(), 503);
	const kept = await installation.call({path: '/calls/x', agent});
	assert.equal(kept.status, 200);
	assert.equal(kept.headers.connection, 'close');
	assert.equal((await installation.call({path: '/calls/x'})).status, 200, 'new connections are accepted while the load balancer still sends them');
	// Lasts longer than the pause, so that the relay is still stopping then.
	installation.replicas.get('i-1')!.behave({events: 200, gap: 20});
	const stream = installation.call({
		path: '/long/x', method: 'POST', body: 'p', headers: {'Deadline-Ms': '20000'},
	});
	await new Promise(resolve => {
		setTimeout(resolve, 3200);
	});
	const late = await installation.call({path: '/calls/x'});
	assert.equal(late.status, 503, 'a request long after the stop signal is refused, so that none is aborted at the end');
	assert.equal(late.headers.connection, 'close');
	assert.equal((await stream).isWhole, true);
	await stopped;
	agent.destroy();
});
