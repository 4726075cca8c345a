/**
 * Demonstrates Waydrift in one command: an installation of four entry boxes in two data centres under a mixed load, in
 * which one upstream is reclaimed and one entry box is stopped. Prints a table and a line of JSON, then runs the demo of
 * the relays. Exits with 1 if a request was lost, run twice or misdelivered, if a request refused as not run was run, if
 * no request was answered, if the stopped box did not exit with 0, or if the demo of the relays fails.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {randomUUID} from 'node:crypto';
import {
	Caller, type Result, type Timing,
} from '../harness/caller.js';
import {
	control, Installation, readMetric, type Member,
} from '../harness/installation.js';
import {percentile} from '../harness/percentile.js';
import {runRelayDemo} from './relay-demo.js';
import {DirectCaller} from './direct-caller.js';
import {
	sampleKey, sampleKinds, sampleTable, type SampleKind,
} from './sample-table.js';

/** Milliseconds of load. */
const loadTime = 16_000;
/** Milliseconds from the start of the load to the reclaim notice of an engine. */
const reclaimAt = 5000;
/** Milliseconds from the notice until the engine is reclaimed. */
const reclaimNotice = 3000;
/** Milliseconds from the start of the load until an entry box gets SIGTERM. */
const stopAt = 9000;
const dataCentres = ['ahmedabad', 'surat'] as const;
const enginesPerDataCentre = 2;
/** Requests per second that are sent to an engine directly. */
const directRate = 2;
/** The second engine of each data centre splits its events into several writes, and breaks off within some of them. */
const fragmentedWriting = {seed: 1, mostPieces: 4, broken: 0.002} as const;
/** Start of the system prompt that all chat requests share. */
const sharedPrefix = 'You are the assistant of the service. Answer shortly and with the figures you were given. '.repeat(20);

type Outcome = {readonly kind: SampleKind; readonly key: string; readonly result: Result};

async function build(): Promise<Installation> {
	const installation = await Installation.create();
	await installation.applyTable(sampleTable());
	const upstreams = dataCentres.flatMap(dataCentre => [
		...Array.from({length: enginesPerDataCentre}, async (_, index) =>
			installation.addEngine(`engine-${dataCentre}-${index + 1}`, {
				dataCentre, pool: 'engines', price: 10, traits: index === 0 ? {} : {writing: fragmentedWriting},
			})),
		installation.addService(`orders-${dataCentre}`, {dataCentre, pool: 'orders', price: 1}),
	]);
	await Promise.all(upstreams);
	await Promise.all(dataCentres.flatMap(dataCentre => [1, 2].map(async index =>
		installation.addEntry(`entry-${dataCentre}-${index}`, {dataCentre}))));
	await installation.untilReady();
	return installation;
}

/** Stands in for a load balancer: polls the readiness of the entry boxes and keeps the ports of those that are ready. */
class Balancer {
	ports: readonly number[] = [];
	private isOpen = true;

	constructor(private readonly installation: Installation) {}

	async pollReadiness(): Promise<void> {
		while (this.isOpen) {
			const ready = await Promise.all(this.installation.entries.map(async member => await isReady(member) ? [member.box.port] : []));
			this.ports = ready.flat();
			await delay(100);
		}
	}

	close(): void {
		this.isOpen = false;
	}
}

async function isReady({operatorsPort}: Member): Promise<boolean> {
	try {
		const answer = await fetch(`http://127.0.0.1:${operatorsPort}/readyz`);
		return answer.ok;
	} catch {
		return false;
	}
}

async function send(kind: SampleKind, caller: Caller): Promise<Outcome> {
	const key = randomUUID();
	const result = kind.type === 'plain'
		? await caller.call({
			service: kind.service, path: `/${kind.kind}`, key, body: JSON.stringify({order: key}),
		})
		: await caller.chat({
			model: `${kind.service}:${kind.kind}`,
			messages: [{role: 'system', content: sharedPrefix + kind.kind}, {role: 'user', content: `Request ${key}`}],
			maximumTokens: kind.tokens,
			isStreamed: kind.isStreamed,
			key,
		});
	return {kind, key, result};
}

/** Sends requests of one kind at its mean rate, without waiting for responses. */
async function load(kind: SampleKind, ports: () => readonly number[], outcomes: Array<Promise<Outcome>>): Promise<void> {
	const caller = Caller.create(sampleKey(kind.account), ports);
	const endsAt = performance.now() + loadTime;
	while (performance.now() < endsAt) {
		outcomes.push(send(kind, caller));
		await delay(1000 / kind.rate * (0.5 + Math.random()));
	}
}

async function probeDirectly(engine: Member, timings: Array<Promise<Timing>>): Promise<void> {
	const caller = DirectCaller.create(engine.box.port);
	const endsAt = performance.now() + loadTime;
	while (performance.now() < endsAt) {
		timings.push(caller.chat(sharedPrefix, 60));
		await delay(1000 / directRate);
	}
}

async function injectFaults(installation: Installation): Promise<void> {
	await delay(reclaimAt);
	await installation.reclaim(`engine-${dataCentres[0]}-1`, reclaimNotice);
	await delay(stopAt - reclaimAt);
	installation.members.get(`entry-${dataCentres[1]}-1`)!.child.signal('SIGTERM');
}

/** @returns The number of executions of each request key, over all plain services. */
async function readExecutions(installation: Installation): Promise<ReadonlyMap<string, number>> {
	const services = [...installation.members.values()].filter(({box}) => box.role === 'plain-service');
	const counts = await Promise.all(services.map(async ({box}) => control(box.port, 'executions', {}) as Promise<Readonly<Record<string, number>>>));
	const executions = new Map<string, number>();
	for (const [key, count] of counts.flatMap(count => Object.entries(count))) {
		executions.set(key, (executions.get(key) ?? 0) + count);
	}

	return executions;
}

/** @returns The result and the number of executions of each call that must not run twice. */
function executionsOfNonRepeatable(outcomes: readonly Outcome[], executions: ReadonlyMap<string, number>) {
	return outcomes
		.filter(({kind}) => kind.type === 'plain' && !kind.repeatable)
		.map(({key, result: {judgement}}) => ({judgement, count: executions.get(key) ?? 0}));
}

async function sumMetric(installation: Installation, name: string): Promise<number> {
	const values = await Promise.all(installation.entries.map(async ({operatorsPort}) => readMetric(operatorsPort, name)));
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

function summarise(timings: readonly Timing[]) {
	const first = timings.map(({firstToken}) => firstToken).filter(value => !Number.isNaN(value));
	const between = timings.flatMap(timing => timing.tokenIntervals);
	const round = (value: number) => Math.round(value * 10) / 10;
	return {
		firstTokenP50: round(percentile(first, 0.5)),
		firstTokenP95: round(percentile(first, 0.95)),
		betweenP50: round(percentile(between, 0.5)),
		betweenP95: round(percentile(between, 0.95)),
	};
}

function countRefusals(outcomes: readonly Outcome[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {result: {judgement}} of outcomes) {
		if (judgement.kind === 'refused') {
			counts[judgement.reason] = (counts[judgement.reason] ?? 0) + 1;
		}
	}

	return counts;
}

async function run(installation: Installation): Promise<number> {
	const startedAt = performance.now();
	const balancer = new Balancer(installation);
	const polling = balancer.pollReadiness();
	const pending: Array<Promise<Outcome>> = [];
	const direct: Array<Promise<Timing>> = [];
	const undisturbedEngine = installation.members.get(`engine-${dataCentres[1]}-1`)!;
	await delay(300);
	await Promise.all([
		...sampleKinds.map(async kind => load(kind, () => balancer.ports, pending)),
		probeDirectly(undisturbedEngine, direct),
		injectFaults(installation),
	]);
	const outcomes = await Promise.all(pending);
	const directTimings = await Promise.all(direct);
	const stopped = installation.members.get(`entry-${dataCentres[1]}-1`)!.child;
	const stoppedExitCode = await stopped.exited;
	balancer.close();
	await polling;

	const nonRepeatable = executionsOfNonRepeatable(outcomes, await readExecutions(installation));
	const count = (kind: Result['judgement']['kind']) => outcomes.filter(({result}) => result.judgement.kind === kind).length;
	const streamed = outcomes.filter(({kind}) => kind.isStreamed).map(({result}) => result.timing);
	const hours = (performance.now() - startedAt) / 3_600_000;
	let price = 0;
	for (const {box} of installation.members.values()) {
		price += box.role === 'entry' ? 0 : box.price;
	}

	const report = {
		requests: outcomes.length,
		answered: count('answered'),
		refused: countRefusals(outcomes),
		lost: count('lost'),
		duplicated: nonRepeatable.filter(({count}) => count > 1).length,
		toldNotRunButRan: nonRepeatable.filter(({judgement, count}) => judgement.kind === 'refused' && judgement.verdict === 'not-run' && count > 0).length,
		misdelivered: count('misdelivered'),
		recomputedTokens: await sumMetric(installation, 'waydrift_recomputed_tokens_total{cause="leaving"}')
			+ await sumMetric(installation, 'waydrift_recomputed_tokens_total{cause="failure"}'),
		streamsMoved: await sumMetric(installation, 'waydrift_streams_moved_total{cause="leaving"}'),
		streamsCut: await sumMetric(installation, 'waydrift_streams_moved_total{cause="failure"}'),
		cost: Math.round(price * hours * 10_000) / 10_000,
		stoppedBoxExit: stoppedExitCode ?? -1,
		throughWaydrift: summarise(streamed),
		direct: summarise(directTimings),
	};
	printReport(report);
	for (const {kind, result: {judgement}} of outcomes.filter(({result}) => result.judgement.kind === 'lost' || result.judgement.kind === 'misdelivered')) {
		process.stderr.write(`${kind.kind}: ${JSON.stringify(judgement)}\n`);
	}

	process.stdout.write(`${JSON.stringify(report)}\n`);
	const faults = report.lost + report.duplicated + report.toldNotRunButRan + report.misdelivered;
	return faults === 0 && stoppedExitCode === 0 && report.answered > 0 ? 0 : 1;
}

function printReport(report: Readonly<Record<string, unknown>>): void {
	for (const [name, value] of Object.entries(report)) {
		const text = typeof value === 'object' && value !== null
			? Object.entries(value).map(([key, part]) => `${key} ${String(part)}`).join(', ') || 'none'
			: String(value);
		process.stdout.write(`${name.padEnd(18)}${text}\n`);
	}
}

process.stdout.write(`Starting the simulated upstreams and four entry boxes; the load takes ${loadTime / 1000} s.\n`);
const installation = await build();
try {
	process.exitCode = await run(installation);
} finally {
	await installation.close();
}

if (await runRelayDemo() !== 0) {
	process.exitCode = 1;
}
