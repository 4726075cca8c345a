/**
 * Three relays, three replicas of an engine and two of a plain service. One of the three replicas of the engine spoils one in fifty of its answers for
 * five seconds (`garble`). Counted: kept connections that a relay closes without an answer while a sound replica has the request (LOST).
 */
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Client} from '../lib/client.mjs';
import {Replica} from '../lib/replicas.mjs';
import {
	configurationOf, key, now, Relay, removeFolder, RunRecord, sleep, Store,
} from '../lib/world.mjs';

const isTrouble = process.env.TROUBLE !== '0';
const folder = path.dirname(fileURLToPath(import.meta.url));
const record = new RunRecord(path.join(folder, 'record.txt'));
/** Seconds of the disruption, and the part of the answers of that replica that it spoils. */
const troubleFor = 5;
const onceIn = 50;
/** More than three: LOST. */
const allowedLosses = 3;

const store = await Store.start({record});
store.put('config', 'main', configurationOf(3));
let isSpoiling = false;
const replicas = await Promise.all([
	...['llm-1', 'llm-2', 'llm-3'].map(id => Replica.start({
		id: `i-${id}`, service: 'llm', store, record, work: 40, events: 4, gap: 20, garbles: number => isSpoiling && id === 'llm-1' && number % onceIn === 0,
	})),
	...['gauge-1', 'gauge-2'].map(id => Replica.start({
		id: `i-${id}`, service: 'gauge', store, record, work: 250,
	})),
]);
const plans = await Promise.all([1, 2, 3].map(number => Relay.plan({name: `edge-${number}`, host: `127.0.0.${10 + number}`})));
const seeds = plans.map(({host, control}) => `${host}:${control}`);
const relays = plans.map(plan => new Relay({
	plan, seeds, store, record,
}));
let exit = 2;
try {
	for (const relay of relays) {
		relay.start();
	}

	const areReady = await Promise.all(relays.map(relay => relay.untilReady()));
	if (areReady.every(Boolean)) {
		await sleep(2000);
		exit = await play();
	} else {
		record.write('the relays are not ready');
	}
} finally {
	for (const relay of relays) {
		relay.close();
	}

	for (const replica of replicas) {
		replica.close();
	}

	store.close();
	removeFolder();
}

process.exit(exit);

async function play() {
	const phase = {isOver: false};
	const seen = [];
	const clientsOf = (kind, count) => plans.flatMap(({host, front}, relay) => Array.from({length: count}, (_, index) => new Client({
		host, port: front, key, record, name: `${kind}-${relay + 1}.${index + 1}`,
	})));
	const repeat = async (client, call) => {
		while (!phase.isOver) {
			const view = await client.send(call);
			seen.push({...view, kind: call.path});
			await sleep(view.status === 200 ? 5 : 200);
		}
	};

	const running = [
		...clientsOf('push', 6).map(client => repeat(client, {path: '/once/push', deadline: 3000})),
		...clientsOf('ask', 4).map(client => repeat(client, {path: '/stream/ask', deadline: 10_000})),
	];
	await sleep(2000);
	record.write(isTrouble ? 'disruption begins: garble' : 'no disruption');
	isSpoiling = isTrouble;
	await sleep(troubleFor * 1000);
	isSpoiling = false;
	record.write('disruption ends');
	await sleep(3000);
	phase.isOver = true;
	await Promise.all(running);
	const ends = relays.flatMap(({ends: ofRelay}) => ofRelay.filter(({wanted}) => !wanted));
	const soundRuns = new Set(replicas.filter(({service}) => service === 'gauge').flatMap(({runs}) => runs.map(({id}) => id)));
	const lost = seen.filter(({status, isKept, id}) => status === 0 && isKept && soundRuns.has(id));
	const wholeAnswers = seen.filter(({status, isWhole}) => status === 200 && isWhole).length;
	const cutAnswers = seen.filter(({status, isWhole}) => status === 200 && !isWhole).length;
	record.write(`processes that ended by themselves: ${ends.length}; answers: ${wholeAnswers} whole, ${cutAnswers} cut short`);
	record.write(`kept connections closed without an answer, with a request that a sound replica runs: ${lost.length}, allowed ${allowedLosses}: ${lost.map(({id}) => id).join(' ')}`);
	for (const {output} of ends.slice(0, 1)) {
		record.write(`last lines of the first process: ${output.slice(-900)}`);
	}

	console.log(`ends ${ends.length}, lost ${lost.length} of ${seen.length} requests (${(now() / 1000).toFixed(0)} s)`);
	return lost.length > allowedLosses ? 1 : 0;
}
