/**
 * One soak test: relay processes, clients with keep-alive connections, and overlapping faults drawn from a seed.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {
	RelayInstallation, testKey,
} from '../relay/relay-installation.js';
import {createRandom} from '../harness/seeded-random.js';
import {seededBy} from './seeded-by.js';
import {
	SoakClients, isolationKey, revocableKey, type SoakRequestKind,
} from './soak-clients.js';
import {SoakCrowd} from './soak-crowd.js';
import {SoakFaults} from './soak-faults.js';
import {SoakChecker, fingerprintOfRequest, wrongQuarantines} from './soak-checker.js';
import {planSoak, type SoakFault} from './soak-plan.js';
import {SoakRelay} from './soak-relay.js';
import {rolloutBounds, SoakRollout} from './soak-rollout.js';
import {SoakStreams, softwareOf} from './soak-streams.js';

/** Options of a soak test. */
export type SoakOptions = {
	readonly seed: number;
	/** Milliseconds during which new faults start. */
	readonly length: number;
	/** Number of relay processes. */
	readonly relays: number;
	/** Whether prompts have parts, and the requests that crash replicas differ and share one of them. */
	readonly hasParts?: boolean;
	/** Whether a bad version is rolled out meanwhile. */
	readonly hasRollout?: boolean;
	/** Whether crowds of clients that do not behave connect to the relays meanwhile. */
	readonly hasCrowds?: boolean;
};

/** Result of a soak test. */
export type SoakReport = {
	readonly plan: readonly SoakFault[];
	/** Connections of clients that do not behave. */
	readonly crowdConnections: number;
	readonly attempts: number;
	readonly served: number;
	/** Violated invariants, one description each; empty if all held. */
	readonly violations: readonly string[];
	/** Log lines of all relay processes, including those before a restart. */
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
};

const replicaIds = Array.from({length: 6}, (_, index) => `i-${index + 1}`);
/** Minimum number of clients in total. */
const clientCount = 12;
/** Minimum number of clients per relay. */
const clientsPerRelay = 2;
/** Number of events in a stream. */
const streamEvents = 6;
/** Relays that start concurrently: loading the program occupies one core per relay. */
const concurrentStarts = 4;
/** Milliseconds within which a relay must be ready. */
const startTime = 20_000;
/** Milliseconds between two readiness checks of a relay. */
const readyCheckInterval = 50;
/** Maximum number of log lines shown if a relay is not ready in time. */
const linesShown = 20;
/** Milliseconds within which all requests must be served again after the last fault is cleared. */
const recoveryTime = 12_000;
/** Requests that every relay must serve after the last fault is cleared. */
const finalRequests: readonly SoakRequestKind[] = ['calls', 'stream', 'calls', 'stream', 'calls', 'stream'];

/**
 * Runs one soak test.
 *
 * @param options - Seed, length and number of relays.
 * @returns The result, with all violated invariants.
 */
export async function soak({seed, length, relays: count, hasParts = false, hasRollout = false, hasCrowds = false}: SoakOptions): Promise<SoakReport> {
	const folder = mkdtempSync(path.join(tmpdir(), 'waydrift-soak-'));
	const installation = await RelayInstallation.start({
		relays: 0, replicas: replicaIds, tenant: {api_keys: [testKey, revocableKey, isolationKey]}, versionOf: softwareOf,
	});
	const streams = SoakStreams.create(seed, streamEvents);
	installation.prepareReplicas(replica => {
		streams.prepare(replica);
	});
	const relays: SoakRelay[] = [];
	for (const index of Array.from({length: count}).keys()) {
		if (index % concurrentStarts === 0) {
			await untilReady(relays);
		}

		relays.push(await SoakRelay.start({
			name: `relay-${index + 1}`, folder, storeDoor: await installation.store.openListener(), random: seededBy(seed, `datagrams of ${index}`), seeds: relays.map(({exchange}) => exchange), ...(hasRollout ? {rollout: rolloutBounds} : {}),
		}));
	}

	try {
		await untilReady(relays);
		const plan = planSoak(seed, length, count);
		const clients = SoakClients.create(installation, relays, createRandom(seed + 1), hasParts);
		const faults = SoakFaults.create(installation, relays, clients, streams, hasParts);
		const rollout = SoakRollout.create(installation);
		const crowd = SoakCrowd.create(seed, relays);
		const companions = [...(hasRollout ? [rollout.run()] : []), ...(hasCrowds ? [crowd.run()] : [])];
		await clients.run(Math.max(clientCount, count * clientsPerRelay), async () => faults.run(plan));
		rollout.end();
		crowd.end();
		await Promise.all(companions);
		const unserved = await findUnserved(clients, relays);
		const lines = relays.flatMap(relay => relay.lines);
		const {
			drains, cutOffs, limitPeriods, poisonCrashes, revokedAt,
		} = faults;
		const judge = SoakChecker.create({
			attempts: clients.attempts, replicas: installation.allReplicas, relays, drains, cutOffs, limitPeriods, poisonCrashes, revokedAt, streamEvents, lines,
		});
		return {
			plan, crowdConnections: crowd.opened, attempts: clients.attempts.length, served: clients.attempts.filter(({status}) => status === 200).length, violations: [...judge.violations, ...rollout.violations, ...unserved], lines,
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
				throw new Error(`${relay.name} was not ready within ${startTime} ms of its start:\n${relay.lines.slice(-linesShown).map(line => JSON.stringify(line)).join('\n')}`);
			}

			await pause(readyCheckInterval);
		}
	}
}

/**
 * Checks that, with all faults cleared, each relay serves all requests within the recovery time. This includes requests that some relay
 * wrongly suspected of crashing replicas.
 */
async function findUnserved(clients: SoakClients, relays: readonly SoakRelay[]): Promise<readonly string[]> {
	const endsAt = performance.now() + recoveryTime;
	for (;;) {
		const quarantined = new Set(wrongQuarantines(relays.flatMap(({lines}) => lines)).map(({fingerprint}) => fingerprint));
		const suspected = clients.attempts.filter(({kind, sent}) => quarantined.has(fingerprintOfRequest(kind, sent)) && quarantined.delete(fingerprintOfRequest(kind, sent)));
		const requests = [...finalRequests.map((kind, index) => ({kind, sent: `final ${index}`})), ...suspected];
		const views = await Promise.all(relays.flatMap(relay => requests.map(async ({kind, sent}) => clients.send(kind, sent, {relay}))));
		const unserved = views.filter(({status, isWhole}) => status !== 200 || !isWhole);
		if (unserved.length === 0) {
			return [];
		}

		if (performance.now() > endsAt) {
			return unserved.map(({relay, kind, sent, status, body}) => `${relay.name} did not serve ${kind} "${sent}" within the recovery time: ${status} ${body.slice(0, 120)}`);
		}

		await pause(500);
	}
}
