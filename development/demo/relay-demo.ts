/**
 * The demo of the relays: a small deployment of the users' platform on stand-ins, with one relay killed, a replica
 * drained and the store out for a while, under load. Prints what clients saw and ends with 0 if nothing was wrong.
 */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {RelayInstallation, type ClientView} from '../relay/relay-installation.js';
import type {ReplicaStandin} from '../relay/replica-standin.js';

/** Milliseconds of load. */
const loadTime = 6000;
/** Milliseconds between two rounds of requests. */
const roundPause = 40;
const events = 12;

type Seen = {
	readonly id: string;
	readonly isStream: boolean;
	readonly view: ClientView;
};

async function disturb(installation: RelayInstallation): Promise<void> {
	await pause(loadTime / 4);
	const [, victim] = installation.relays;
	installation.relays.splice(1, 1);
	await victim!.end();
	await pause(loadTime / 8);
	installation.list('i-2', {state: 'draining', seq: 2});
	await pause(loadTime / 8);
	installation.store.faults = {isSilent: false, isBusy: true, losesAnswers: false};
	await pause(loadTime / 6);
	installation.store.heal();
	await installation.addRelay('relay-4');
}

async function load(installation: RelayInstallation): Promise<readonly Seen[]> {
	const pending: Array<Promise<Seen>> = [];
	const end = performance.now() + loadTime;
	const ask = async (index: number, path: string): Promise<Seen> => {
		const id = `demo${path.replaceAll('/', '-')}${index}`;
		const relay = installation.relays[index % installation.relays.length]!;
		const view = await installation.call({
			path, method: 'POST', body: id, headers: {'Attempt-Id': id},
		}, relay);
		return {id, isStream: path === '/stream/x', view};
	};

	for (let index = 0; performance.now() < end; index++) {
		pending.push(ask(index, '/calls/x'), ask(index, '/once/x'), ask(index, '/stream/x'));
		await pause(roundPause);
	}

	return Promise.all(pending);
}

const isWholeStream = ({body}: ClientView): boolean => [...body.matchAll(/^id: (?<id>\d+)$/gmv)]
	.map(match => Number(match.groups!.id))
	.every((id, index, ids) => id === index + 1 && ids.length === events);

function report(seen: readonly Seen[], replicas: readonly ReplicaStandin[]): number {
	const runs = new Map<string, number>();
	for (const {id} of replicas.flatMap(replica => replica.runs)) {
		runs.set(id, (runs.get(id) ?? 0) + 1);
	}

	const good = seen.filter(({view}) => view.status === 200 && view.isWhole);
	const counts = {
		requests: seen.length,
		answered: good.length,
		refused: seen.filter(({view}) => view.status === 429 || view.status === 503).length,
		'cut or 502': seen.filter(({view}) => view.status === 0 || view.status === 502 || (view.status === 200 && !view.isWhole)).length,
		misdelivered: good.filter(({id, view}) => view.headers['attempt-id'] !== id).length,
		'broken streams': good.filter(({isStream, view}) => isStream && !isWholeStream(view)).length,
		'run twice': seen.filter(({id}) => id.startsWith('demo-once') && (runs.get(id) ?? 0) > 1).length,
		'refused but ran': seen.filter(({id, view}) => (view.status === 429 || view.status === 503) && runs.has(id)).length,
	};
	for (const [name, value] of Object.entries(counts)) {
		process.stdout.write(`${name.padEnd(18)}${value}\n`);
	}

	return counts.misdelivered + counts['broken streams'] + counts['run twice'] + counts['refused but ran'];
}

/** @returns The exit code: zero if nothing was wrong. */
export async function runRelayDemo(): Promise<number> {
	process.stdout.write(`\nRelays on the users' platform: three of them, three replicas, ${loadTime / 1000} s of load.\n`);
	const installation = await RelayInstallation.start({relays: 3, replicas: ['i-1', 'i-2', 'i-3']});
	for (const replica of installation.replicas.values()) {
		replica.behave({events: 0, delay: 20});
	}

	installation.replicas.get('i-3')!.behave({delay: 20, fault: 'error'});
	for (const replica of installation.replicas.values()) {
		replica.streamEvents = events;
	}

	const [seen] = await Promise.all([load(installation), disturb(installation)]);
	const faults = report(seen, [...installation.replicas.values()]);
	await installation.close();
	return faults === 0 && seen.length > 0 ? 0 : 1;
}
