/**
 * Machines join while a client account sends many times its usual. Their seeds are stale, and the store turns them away soon after they have read the
 * configuration. Checks what the account uses of all machines together.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {
	Case, isTroubled, keyed, tenant,
} from '../../support/case.mjs';
import {send} from '../../support/client.mjs';
import {freePort, Relay} from '../../support/relay.mjs';
import {Replica} from '../../support/replica.mjs';
import {
	limits, route, service, wire,
} from '../../support/wire.mjs';

const oldCount = 9;
const newCount = 4;
const replicaCount = 4;
/** Tokens a second and burst of the account, and tokens of a request, as on the site. */
const rate = 228_883;
const requestTokens = 12_376;
/** The site allows 1.8 times what the account usually sends; it sends 7.5 times its usual. */
const demand = (rate / 1.8) * 7.5;
const rushTime = 6500;
const joinDelay = 500;
/** Milliseconds from the first call of a machine to the store until it is turned away, and for which it is. */
const turnDelay = 120;
const turnedTime = 9000;
const pollInterval = 5;
/** QUOTA of RULES.md. */
const quotaWindow = 8000;
const overage = 0.1;
const slack = 140_000;
const allowed = ((((rate * quotaWindow) / 1000) + rate) * (1 + overage)) + slack;

const configuration = wire({
	version: 7,
	routes: [route('/bulletin/', {service: 'huvo11a', maxAttempts: 1})],
	services: [service('huvo11a')],
	limits,
	tenants: [{
		...tenant, unit: 'token_count', plainTokens: 200, ratePerS: rate, burst: rate,
	}],
});

/** Starts a machine that joins: its seeds are those of machines that are gone. */
const join = async (test, index) => {
	const door = await test.store.openDoor();
	const seeds = [await freePort(), await freePort(), await freePort()];
	const relay = new Relay({
		name: `edge-ahd-b-${index}`, zone: 'ahd-a', storePort: door.port, dutyPort: undefined, seeds, bounds: {},
	});
	await relay.choosePorts();
	test.joined.push(relay);
	relay.start(false);
	test.record(`${relay.name} joins`);
	while (door.firstCallAt === undefined || performance.now() < door.firstCallAt + turnDelay) {
		await pause(pollInterval);
	}

	if (isTroubled) {
		door.isClosed = true;
		test.record(`the store turns ${relay.name} away`);
		setTimeout(() => {
			door.isClosed = false;
		}, turnedTime).unref();
	}

	const isReady = await relay.untilReady(3000);
	test.record(`${relay.name} is ${isReady ? 'ready' : 'not ready'}`);
	if (isReady) {
		test.serving.push(relay);
	}
};

const sendAll = async (test, calls) => {
	const end = performance.now() + rushTime;
	let due = performance.now();
	for (let index = 0; performance.now() < end; index++) {
		due += requestTokens / demand * 1000;
		await pause(Math.max(0, due - performance.now()));
		const relay = test.serving[index % test.serving.length];
		const id = `bulletin-${index}`;
		test.sentAt.set(id, performance.now());
		test.record(`${id} is sent to ${relay.name}`);
		calls.push(send(relay.front, {
			id, path: `/bulletin/${index}`, headers: {...keyed, 'Token-Count': `${requestTokens - 384},384`}, deadline: 3000,
		}));
	}
};

/** Tokens of the requests that were sent, and run, within the worst window. */
const mostUsed = ({runs, sentAt}) => Math.max(...runs.map(({at: from}) => {
	const used = runs.filter(({id, at}) => at >= from && at < from + quotaWindow && sentAt.get(id) >= from - 100);
	return used.length * requestTokens;
}));

await new Case(import.meta.dirname).run(async test => {
	Object.assign(test, {
		joined: [], serving: [], runs: [], sentAt: new Map(),
	});
	test.stops.push(() => {
		for (const relay of test.joined) {
			relay.signal('SIGKILL');
		}
	});
	test.store.put('config', 'main', {spec: configuration});
	for (let index = 0; index < replicaCount; index++) {
		const replica = new Replica({
			store: test.store, id: `i-${index}${Math.random().toString(16).slice(2, 8)}`, service: 'huvo11a', zone: 'ahd-a', slots: 256,
			onRun(run) {
				test.runs.push(run);
				test.record(`${run.replica} runs ${run.id}`);
			},
		});
		await replica.start();
		test.stops.push(() => {
			replica.stop();
		});
	}

	if (!await test.startRelays(oldCount)) {
		return 2;
	}

	test.serving.push(...test.relays);
	await pause(3000);
	const calls = [];
	const sending = sendAll(test, calls);
	await pause(joinDelay);
	await Promise.all(Array.from({length: newCount}, async (_, index) => join(test, index + 1)));
	await sending;
	const views = await Promise.all(calls);
	for (const {id, status} of views) {
		test.record(`${id} got ${status}`);
	}

	const used = mostUsed(test);
	test.record(`${test.serving.length} machines served; ${used} tokens in ${quotaWindow} ms, ${Math.round(allowed)} allowed`);
	if (test.serving.length < oldCount + newCount) {
		return 2;
	}

	return used > allowed ? 1 : 0;
});
