/**
 * Demonstrates the relays under load, with simulated replicas and a simulated store of the users' platform. One relay
 * is killed, a replica is drained, streams arrive in random pieces and break off within events, and the store is busy for a
 * while. Prints the outcomes that the clients saw.
 */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {RelayInstallation, type ClientView} from '../relay/relay-installation.js';
import type {ReplicaStandin} from '../relay/replica-standin.js';
import {describeAnswerFault} from '../soak/soak-answers.js';
import type {SoakRequestKind} from '../soak/soak-clients.js';
import {SoakStreams} from '../soak/soak-streams.js';

/** Milliseconds of load. */
const loadTime = 6000;
/** Milliseconds between two rounds of requests. */
const roundPause = 40;
/** Events of a complete stream. */
const events = 12;
/** Seed of the random sizes of the pieces of streams, and of the positions at which they break off. */
const seed = 12;

type SentRequest = {
	readonly id: string;
	readonly kind: SoakRequestKind;
	readonly view: ClientView;
};

async function injectFaults(installation: RelayInstallation): Promise<void> {
	await pause(loadTime / 4);
	const [, killedRelay] = installation.relays;
	installation.relays.splice(1, 1);
	await killedRelay!.kill();
	await pause(loadTime / 8);
	installation.list('i-2', {state: 'draining', seq: 2});
	await pause(loadTime / 8);
	installation.store.faults = {isSilent: false, isBusy: true, losesAnswers: false};
	await pause(loadTime / 6);
	installation.store.clearFaults();
	await installation.addRelay('relay-4');
}

async function load(installation: RelayInstallation): Promise<readonly SentRequest[]> {
	const pending: Array<Promise<SentRequest>> = [];
	const end = performance.now() + loadTime;
	const send = async (index: number, kind: SoakRequestKind): Promise<SentRequest> => {
		const path = `/${kind}/x`;
		const id = `demo-${kind}-${index}`;
		const relay = installation.relays[index % installation.relays.length]!;
		const view = await installation.call({
			path, method: 'POST', body: id, headers: {'Attempt-Id': id},
		}, relay);
		return {id, kind, view};
	};

	for (let index = 0; performance.now() < end; index++) {
		pending.push(send(index, 'calls'), send(index, 'once'), send(index, 'stream'));
		await pause(roundPause);
	}

	return Promise.all(pending);
}

function report(requests: readonly SentRequest[], replicas: readonly ReplicaStandin[]): number {
	const replicasThatRan = (id: string): readonly string[] => replicas.flatMap(replica => replica.runs.filter(run => run.id === id).map(() => replica.id));
	const complete = requests.filter(({view}) => view.status === 200 && view.isWhole);
	const counts = {
		requests: requests.length,
		answered: complete.length,
		refused: requests.filter(({view}) => view.status === 429 || view.status === 503).length,
		'cut or 502': requests.filter(({view}) => view.status === 0 || view.status === 502 || (view.status === 200 && !view.isWhole)).length,
		'gone on elsewhere': complete.filter(({id, kind}) => kind === 'stream' && replicasThatRan(id).length > 1).length,
		misdelivered: requests.filter(({id, kind, view}) => view.status === 200 && describeAnswerFault({
			attempt: {
				...view, id, kind, after: 0,
			}, runners: replicasThatRan(id), streamEvents: events,
		}) !== undefined).length,
		'run twice': requests.filter(({id, kind}) => kind === 'once' && replicasThatRan(id).length > 1).length,
		'refused but ran': requests.filter(({id, view}) => (view.status === 429 || view.status === 503) && replicasThatRan(id).length > 0).length,
	};
	for (const [name, value] of Object.entries(counts)) {
		process.stdout.write(`${name.padEnd(20)}${value}\n`);
	}

	// A run without answers, or without a stream that moved to another replica, does not show that the relays work.
	const isInconclusive = counts.answered === 0 || counts['gone on elsewhere'] === 0;
	return counts.misdelivered + counts['run twice'] + counts['refused but ran'] + (isInconclusive ? 1 : 0);
}

/** @returns The exit code: 0 if no request was misdelivered, run twice, or run although refused, and the run is conclusive. */
export async function runRelayDemo(): Promise<number> {
	process.stdout.write(`\nStarting three relays and three replicas on the simulated platform; the load takes ${loadTime / 1000} s.\n`);
	const installation = await RelayInstallation.start({relays: 3, replicas: ['i-1', 'i-2', 'i-3']});
	for (const replica of installation.replicas.values()) {
		replica.behave({events: 0, delay: 20});
	}

	installation.replicas.get('i-3')!.behave({delay: 20, fault: 'error'});
	const streams = SoakStreams.create(seed, events);
	for (const replica of installation.replicas.values()) {
		streams.prepare(replica);
	}

	streams.faults.set('i-2', 'stream-breaks');

	const [requests] = await Promise.all([load(installation), injectFaults(installation)]);
	const faults = report(requests, [...installation.replicas.values()]);
	await installation.close();
	return faults === 0 ? 0 : 1;
}
