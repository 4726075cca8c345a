/**
 * A relay gets SIGTERM while requests that it has passed on wait for a slot of their replicas. Checks that each ends with an answer.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {
	Case, isTroubled, keyed, tenant,
} from '../support/case.mjs';
import {send} from '../support/client.mjs';
import {Replica} from '../support/replica.mjs';
import {
	limits, route, service, wire,
} from '../support/wire.mjs';

const relayCount = 3;
/** Each replica runs so many requests at a time and queues four times as many, as the `gauge-api` of the site does. */
const replicaCount = 3;
const slots = 4;
const queueLength = 4 * slots;
/** For each slot one that runs and one that waits; relays spread them unevenly, so some wait for two others. */
const requestCount = replicaCount * slots * 2;
/** A stream of 49 events, as those of the site's `engineer-query`. */
const events = 49;
const eventPause = 78;
/** Milliseconds that clients wait, as for the site's `flood-bulletin`. */
const deadline = 15_000;
const requestInterval = 10;
/** Milliseconds from the last request to SIGTERM. */
const termDelay = 200;
const grace = 8000;
const lastSixth = grace * 5 / 6;

const configuration = wire({
	version: 7,
	routes: [route('/bulletin/', {
		service: 'huvo11a', kind: 'streaming', timeoutMs: deadline, goalMs: 1000, priority: 0, maxAttempts: 1, gapGoalMs: 600,
	})],
	services: [service('huvo11a')],
	limits,
	tenants: [tenant],
});

/** Runs requests in the order of their arrival, and drops those whose connection is closed. */
const queueOf = test => {
	const waiting = [];
	let running = 0;
	const next = () => {
		if (running < slots && waiting.length > 0) {
			run(waiting.shift());
		}
	};

	const run = async ({response, head, run: {id, replica}, times}) => {
		running++;
		times.beganAt = performance.now();
		test.record(`${replica} begins ${id}`);
		response.writeHead(200, {...head, 'Content-Type': 'text/event-stream'});
		for (let number = 1; number <= events && !response.destroyed; number++) {
			response.write(`id: ${number}\ndata: event ${number} for ${id}\n\n`);
			await pause(eventPause);
		}

		test.record(`${replica} ${response.destroyed ? 'drops' : 'ends'} ${id}`);
		times.endedAt = performance.now();
		response.end();
		running--;
		next();
	};

	return exchange => {
		const {response, head, run: {id, replica}} = exchange;
		if (running >= slots && waiting.length >= queueLength) {
			test.record(`${replica} is full for ${id}`);
			response.writeHead(503, {...head, 'Not-Executed': '1'}).end();
			return;
		}

		const times = {arrivedAt: performance.now(), beganAt: undefined, endedAt: undefined};
		test.times.set(id, times);
		test.record(`${replica} has got ${id}`);
		waiting.push({...exchange, times});
		response.once('close', () => {
			const index = waiting.findIndex(({run}) => run.id === id);
			if (index !== -1) {
				waiting.splice(index, 1);
				test.record(`${replica} drops ${id}, which it has not begun`);
			}
		});
		next();
	};
};

const startReplica = async (test, index) => {
	const replica = new Replica({
		store: test.store, id: `i-${index}${Math.random().toString(16).slice(2, 8)}`, service: 'huvo11a', zone: 'ahd-a', slots,
	});
	replica.conduct = queueOf(test);
	await replica.start();
	test.stops.push(() => {
		replica.stop();
	});
};

/** Excused are requests that their replica was at work on in the last sixth of the grace period. */
const isLost = ({id, status, isComplete}, times, termAt) => {
	const known = times.get(id);
	if ((status !== 0 && isComplete) || !known || termAt === undefined) {
		return false;
	}

	const {beganAt, endedAt = Number.POSITIVE_INFINITY} = known;
	return beganAt === undefined || (endedAt < termAt + lastSixth);
};

/** Sends SIGTERM, and waits until the relay has ended by itself or the grace period is over. */
const stopped = async (test, relay) => {
	const termAt = performance.now();
	const exit = new Promise(resolve => {
		relay.child.once('exit', code => {
			test.record(`${relay.name} ends with code ${code}, ${Math.round(performance.now() - termAt)} ms after SIGTERM`);
			resolve();
		});
	});
	relay.signal('SIGTERM');
	test.record(`${relay.name} gets SIGTERM`);
	await Promise.race([exit, pause(grace)]);
};

await new Case(import.meta.dirname).run(async test => {
	test.times = new Map();
	test.store.put('config', 'main', {spec: configuration});
	await Promise.all(Array.from({length: replicaCount}, async (_, index) => startReplica(test, index)));
	if (!await test.startRelays(relayCount)) {
		return 2;
	}

	const [relay] = test.relays;
	const calls = [];
	for (let index = 0; index < requestCount; index++) {
		const id = `bulletin-${index}`;
		test.record(`${id} is sent to ${relay.name}`);
		calls.push(send(relay.front, {
			id, path: `/bulletin/${index}`, method: 'POST', headers: keyed, body: 'gauges', deadline,
		}));
		await pause(requestInterval);
	}

	await pause(termDelay);
	const termAt = isTroubled ? performance.now() : undefined;
	const exited = isTroubled ? stopped(test, relay) : Promise.resolve();
	const views = await Promise.all(calls);
	await exited;
	for (const view of views) {
		const lost = isLost(view, test.times, termAt) ? ' -- LOST: no answer, and its replica was not at work on it' : '';
		test.record(`${view.id} got ${view.status}, ${view.body.split('\n\n').length - 1} of ${events} events, ${view.isComplete ? 'complete' : `not complete (${view.fault})`}${lost}`);
	}

	const broken = views.filter(view => isLost(view, test.times, termAt)).length;
	const whole = views.filter(({status, isComplete}) => status === 200 && isComplete).length;
	test.record(`${views.length} requests: ${whole} whole, ${broken} lost, ${views.length - whole - broken} others`);
	if (!isTroubled && whole !== views.length) {
		return 2;
	}

	return broken > 0 ? 1 : 0;
});
