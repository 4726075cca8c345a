/*
 * Replicas that have ended stay listed for three heartbeats, and have no work, so that they are chosen first. In the test of ends of another cause 0.85 of the
 * requests that were lost had been cut once, or not at all, and were given up after three or four connections refused by such replicas, though a
 * sound one was listed ("tries 4 ... cut: socket hang up; unreachable: connect ECONNREFUSED ..."): 293 of 346 in 28 runs.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';

/** More than a request may be sent to. */
const ended = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'];
const sound = 'i-7';
const longRunTime = 400;
const mostTries = 12;

test('a request is served by the one sound replica, however many are listed that have ended', async context => {
	const installation = await RelayInstallation.start({relays: 1, replicas: [...ended, sound]});
	context.after(async () => installation.close());
	await until(() => installation.relays[0]!.log.lines.filter(({eventName}) => eventName === 'replicaListed').length === ended.length + 1);
	const replica = installation.replicas.get(sound)!;
	replica.behave({delay: longRunTime});
	// Until one is there that takes its time, so that those that ended look better.
	const calls = [];
	while (replica.seen.length === 0) {
		const seen = installation.everyReplica.flatMap(other => other.seen).length;
		calls.push(installation.call({path: '/calls/before'}));
		await until(() => installation.everyReplica.flatMap(other => other.seen).length > seen);
	}

	await Promise.all(ended.map(async id => installation.replicas.get(id)!.close()));
	const view = await installation.call({path: '/calls/after'});
	assert.equal(view.status, 200);
	await Promise.all(calls);
	await replica.close();
	const vain = await installation.call({path: '/calls/vain'});
	assert.equal(vain.status, 503);
	const tries = installation.relays[0]!.log.lines.findLast(({eventName}) => eventName === 'requestRefused')?.tries;
	assert.ok(Number(tries) <= mostTries, `${String(tries)} tries where nobody listens`);
});
