/*
 * Guards against boxes that ignore the maximum number of connections of a replica. A replica resets connections beyond its maximum for all callers together.
 * Boxes kept up to 24 idle connections each, whatever the maximum and the number of boxes were: four boxes that had each sent ten requests at once
 * kept 40 connections to a replica that accepts eight. The setting was decoded but not used.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';

const relayCount = 4;
/** Maximum number of connections that a replica accepts. */
const maxConnections = 8;
/** Number of concurrent requests to each box. */
const requestsAtOnce = 10;
/** Milliseconds in which boxes read all responses to their end. */
const settlingTime = 300;

let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({relays: relayCount, replicas: ['i-1'], services: [{name: 'plain', max_conns: maxConnections}]});
});

after(async () => installation.close());

test('all boxes together keep no more idle connections than a replica accepts', async () => {
	const replica = installation.replicas.get('i-1')!;
	const areAllKnown = () => installation.relays.every(({log}) => new Set(log.lines.filter(({eventName}) => eventName === 'memberHeard').map(({member}) => member)).size === relayCount - 1);
	await until(areAllKnown);
	replica.behave({delay: 50});
	await Promise.all(installation.relays.flatMap(relay => Array.from({length: requestsAtOnce}, async () => installation.call({path: '/calls/x'}, relay))));
	await pause(settlingTime);
	const open = await replica.openConnections();
	assert.ok(open <= maxConnections, `${open} connections to a replica that accepts ${maxConnections}`);
	assert.ok(open >= relayCount, 'each box still keeps one');
});
