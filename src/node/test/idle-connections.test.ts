/*
 * A replica takes a number of connections from all callers together and resets what is beyond it. Boxes kept up to 24 idle ones each, whatever that number was
 * and however many boxes there were: four boxes that had each sent ten requests at once kept 40 connections at a replica that takes eight. What was read of the
 * number was looked at by nobody.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';

const relayCount = 4;
const mostConnections = 8;
const requestsAtOnce = 10;
/** Milliseconds until answers have been read to their end. */
const settlingTime = 300;

let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({relays: relayCount, replicas: ['i-1'], services: [{name: 'plain', max_conns: mostConnections}]});
});

after(async () => installation.close());

test('boxes together keep no more idle connections than a replica takes', async () => {
	const replica = installation.replicas.get('i-1')!;
	const areAllKnown = () => installation.relays.every(({log}) => new Set(log.lines.filter(({eventName}) => eventName === 'memberHeard').map(({member}) => member)).size === relayCount - 1);
	await until(areAllKnown);
	replica.behave({delay: 50});
	await Promise.all(installation.relays.flatMap(relay => Array.from({length: requestsAtOnce}, async () => installation.call({path: '/calls/x'}, relay))));
	await pause(settlingTime);
	const open = await replica.openConnections();
	assert.ok(open <= mostConnections, `${open} connections at a replica that takes ${mostConnections}`);
	assert.ok(open >= relayCount, 'each box keeps one all the same');
});
