/**
 * One soak: relays as processes, clients that keep their connections, and faults that overlap, drawn from a seed.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {
	RelayInstallation, testKey,
} from '../relay/relay-installation.js';
import {randomOf} from '../harness/seeded-random.js';
import {seededBy} from './seeded-by.js';
import {
	SoakClients, loneKey, spareKey, type SoakRequestKind,
} from './soak-clients.js';
import {SoakFaults} from './soak-faults.js';
import {SoakJudge, fingerprintOfRequest, innocentLines} from './soak-judge.js';
import {planSoak, type SoakFault} from './soak-plan.js';
import {SoakRelay} from './soak-relay.js';
import {SoakStreams} from './soak-streams.js';

/** What a soak is like. */
export type SoakOptions = {
	readonly seed: number;
	/** Milliseconds in which faults begin. */
	readonly length: number;
	readonly relays: number;
};

/** How a soak went. */
export type SoakReport = {
	readonly plan: readonly SoakFault[];
	readonly attempts: number;
	readonly served: number;
	/** What was broken; none where all promises were kept. */
	readonly broken: readonly string[];
	/** Log lines of all lives of the relays. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

const replicaIds = Array.from({length: 6}, (_, index) => `i-${index + 1}`);
/** Clients of a soak, and for each relay at least. */
const clientCount = 12;
const clientsPerRelay = 2;
const streamEvents = 6;
/** Relays that start at once: loading the program takes a core each. */
const startedAtOnce = 4;
/** Milliseconds in which they are ready, between two looks, and lines of the log that are shown otherwise. */
const startTime = 20_000;
const startPause = 50;
const linesShown = 20;
/** Milliseconds in which everybody is served again once nothing is wrong any more. */
const recoverTime = 12_000;
/** Requests that must be served then, at each relay. */
const finalRequests: readonly SoakRequestKind[] = ['calls', 'stream', 'calls', 'stream', 'calls', 'stream'];

/**
 * @param options - Seed, length and size.
 * @returns How it went.
 */
export async function soak({seed, length, relays: count}: SoakOptions): Promise<SoakReport> {
	const folder = mkdtempSync(path.join(tmpdir(), 'waydrift-soak-'));
	const installation = await RelayInstallation.start({relays: 0, replicas: replicaIds, tenant: {api_keys: [testKey, spareKey, loneKey]}});
	const streams = SoakStreams.create(seed, streamEvents);
	installation.prepareReplicas(replica => {
		streams.prepare(replica);
	});
	const relays: SoakRelay[] = [];
	for (const index of Array.from({length: count}).keys()) {
		if (index % startedAtOnce === 0) {
			await untilReady(relays);
		}

		relays.push(await SoakRelay.start({
			name: `relay-${index + 1}`, folder, storeDoor: await installation.store.openDoor(), random: seededBy(seed, `datagrams of ${index}`), seeds: relays.map(({exchange}) => exchange),
		}));
	}

	try {
		await untilReady(relays);
		const plan = planSoak(seed, length, count);
		const clients = SoakClients.create(installation, relays, randomOf(seed + 1));
		const faults = SoakFaults.create(installation, relays, clients, streams);
		await clients.run(Math.max(clientCount, count * clientsPerRelay), async () => faults.run(plan));
		const unserved = await serveAll(clients, relays);
		const lines = relays.flatMap(relay => relay.lines);
		const {
			drains, cutOffs, limitSpells, poisonEnds, takenAt,
		} = faults;
		const judge = SoakJudge.create({
			attempts: clients.attempts, replicas: installation.everyReplica, relays, drains, cutOffs, limitSpells, poisonEnds, takenAt, streamEvents, lines,
		});
		return {
			plan, attempts: clients.attempts.length, served: clients.attempts.filter(({status}) => status === 200).length, broken: [...judge.broken, ...unserved], lines,
		};
	} finally {
		await Promise.all(relays.map(async relay => relay.close()));
		await installation.close();
		rmSync(folder, {recursive: true});
	}
}

async function untilReady(relays: readonly SoakRelay[]): Promise<void> {
	const endsAt = performance.now() + startTime;
	for (const relay of relays) {
		while (!await relay.isReady()) {
			if (performance.now() > endsAt) {
				throw new Error(`${relay.name} is not ready ${startTime} ms after its start:\n${relay.lines.slice(-linesShown).map(line => JSON.stringify(line)).join('\n')}`);
			}

			await pause(startPause);
		}
	}
}

/** With everything healed, each relay serves all within the time to recover, also what some took for a request that ends replicas. */
async function serveAll(clients: SoakClients, relays: readonly SoakRelay[]): Promise<readonly string[]> {
	const endsAt = performance.now() + recoverTime;
	for (;;) {
		const taken = new Set(innocentLines(relays.flatMap(({lines}) => lines)).map(({fingerprint}) => fingerprint));
		const suspected = clients.attempts.filter(({kind, sent}) => taken.has(fingerprintOfRequest(kind, sent)) && taken.delete(fingerprintOfRequest(kind, sent)));
		const requests = [...finalRequests.map((kind, index) => ({kind, sent: `final ${index}`})), ...suspected];
		const views = await Promise.all(relays.flatMap(relay => requests.map(async ({kind, sent}) => clients.send(kind, sent, {relay}))));
		const unserved = views.filter(({status, isWhole}) => status !== 200 || !isWhole);
		if (unserved.length === 0) {
			return [];
		}

		if (performance.now() > endsAt) {
			return unserved.map(({relay, kind, sent, status, body}) => `${relay.name} does not serve ${kind} "${sent}" again: ${status} ${body.slice(0, 120)}`);
		}

		await pause(500);
	}
}
