/*
 * Guards against requests on kept connections that end without their whole answer because an idle time-out or the list of replicas changes while they are in
 * progress, wait behind another one, or their body arrives late.
 */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {
	RelayInstallation, routeTo, testHost, testKey, until,
} from '../../../development/relay/relay-installation.js';

/** Idle time-out in milliseconds, and times for which connections are idle for the box: longer than it and the time that Node adds to it. */
const idleTimeout = 100;
const replicaTime = 1300;
const bodyTime = 1300;
const eventInterval = 1300;
const stormInterval = 20;
const kinds = ['idempotent', 'non_idempotent', 'streaming'] as const;
const events = 2;
let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({
		relays: 1, replicas: ['i-1', 'i-2'], routes: kinds.map(kind => routeTo(`/${kind}/`, {
			kind, timeout_ms: 30_000, goal_ms: 20_000, max_attempts: 1,
		})),
	});
	installation.prepareReplicas(replica => {
		replica.conductOf = ({url}) => ({delay: replicaTime, gap: eventInterval, events: url.pathname.startsWith('/streaming/') ? events : 0});
	});
});

after(async () => installation.close());

const limitsWith = (idle: number) => ({limits: {max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: idle}});
const headOf = (kind: string, name: string): string =>
	[`POST /${kind}/x HTTP/1.1`, `Host: ${testHost}`, `Authorization: Bearer ${testKey}`, `Attempt-Id: ${name}`, 'Deadline-Ms: 30000', 'Content-Length: 4', '', ''].join('\r\n');

/** Sends two requests on one connection, the second in advance or with a body that arrives late, and returns what comes until both are answered. */
async function sendTwo(kind: string, name: string, isInAdvance: boolean): Promise<string> {
	const socket = connect(installation.relays[0]!.port, '127.0.0.1');
	let text = '';
	let isClosed = false;
	socket.on('error', () => undefined).on('data', data => {
		text += data.toString('latin1');
	}).once('close', () => {
		isClosed = true;
	});
	const answers = () => text.match(kind === 'streaming' ? /0\r\n\r\n/gv : /answer of i-\d/gv)?.length ?? 0;
	const first = `${headOf(kind, `${name}-1`)}body`;
	socket.write(isInAdvance ? `${first}${headOf(kind, `${name}-2`)}body` : first);
	await until(() => isClosed || answers() > 0);
	if (!isInAdvance) {
		socket.write(`${headOf(kind, `${name}-2`)}bo`);
		await pause(bodyTime);
		socket.write('dy');
	}

	await until(() => isClosed || answers() === 2);
	socket.destroy();
	return `${answers()} whole answers, ${text.match(/HTTP\/1\.1 200 /gv)?.length ?? 0} of them 200`;
}

const sendAll = async (name: string): Promise<readonly string[]> =>
	Promise.all(kinds.flatMap(kind => [true, false].map(async isInAdvance => sendTwo(kind, `${name}-${kind}-${isInAdvance}`, isInAdvance))));
const allAnswered = Array.from({length: kinds.length * 2}, () => '2 whole answers, 2 of them 200');

test('an idle time-out that is shorter than requests take, wait or arrive ends none of them', async () => {
	const version = installation.configure(limitsWith(idleTimeout));
	await until(() => installation.relays[0]!.log.lines.some(line => line.eventName === 'routesApplied' && line.version === version));
	assert.deepEqual(await sendAll('idle'), allAnswered);
});

test('a storm of changes of the idle time-out and of late entries of replicas ends no request', async () => {
	const bornAt = Date.now() - 60_000;
	let step = 0;
	const storm = setInterval(() => {
		step++;
		installation.configure(limitsWith([idleTimeout, 0, 15_000][step % 3]!));
		installation.list('i-1', {seq: step, ...(step % 2 === 0 ? {born: bornAt, state: 'draining'} : {})});
		if (step % 10 === 0) {
			installation.unlist('i-2');
		} else if (step % 10 === 3) {
			installation.list('i-2', {seq: step});
		}
	}, stormInterval);
	try {
		assert.deepEqual(await sendAll('storm'), allAnswered);
	} finally {
		clearInterval(storm);
	}
});
