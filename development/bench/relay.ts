/**
 * Compares the cost of an entry box with that of a minimal proxy in the same run, and prints the ratios.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import type {BoxId, DataCentre, PoolName} from '../../src/base/identifiers.js';
import {Child} from '../harness/child.js';
import {control, Installation, until} from '../harness/installation.js';
import {percentile} from '../harness/percentile.js';
import {testTable} from '../harness/small-installation.js';
import {processorTime, residentMemory} from './process-cost.js';
import {closedLoop, openIdle, streamOnce} from './stream-client.js';

/** Upstreams that all have the address of the token source, so that the limit on concurrent requests does not slow the load. */
const upstreams = 32;
/** Number of concurrent requests of the load. */
const concurrency = 32;
/** Requests before those that are measured, so that the JIT compiler has optimised the code. */
const warmUpRequests = 8000;
/** Number of measured requests with one token each. */
const shortRequests = 5000;
/** Number of measured requests with several tokens each. */
const longRequests = 300;
/** Tokens in the response to a long request. */
const longTokens = 100;
/** Number of idle streams whose memory is measured. */
const idleStreams = 1000;
/** Idle streams that are opened concurrently. */
const idleStreamsPerBatch = 20;
/** Number of requests whose time to the first token is measured. */
const latencySamples = 1500;
const rounds = 2;

/** A process under test: an entry box or the baseline. */
type Relay = {readonly name: string; readonly port: number; readonly pid: number};

/** Measurements of a relay. */
type Figures = {
	/** Microseconds of processor time for a request without tokens. */
	readonly perRequest: number;
	/** Microseconds of processor time for a streamed token. */
	readonly perToken: number;
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
	/** Median in milliseconds of the time to the first token, at half of the relay's own maximum rate. */
	readonly firstTokenP50: number;
	/** 95th percentile in milliseconds of the same time. */
	readonly firstTokenP95: number;
	/** Bytes of resident memory per open idle stream. */
	readonly perIdleStream: number;
};

/** @returns Milliseconds of processor time and of wall-clock time for a number of requests. */
async function measureLoad(relay: Relay, count: number, tokens: number): Promise<{readonly processor: number; readonly wall: number}> {
	const before = processorTime(relay.pid);
	const wall = await closedLoop(concurrency, count, async () => streamOnce(relay.port, tokens));
	return {processor: processorTime(relay.pid) - before, wall};
}

/**
 * Sends requests at a fixed rate, without waiting for responses.
 *
 * @param port - Port of the relay.
 * @param rate - Requests per second.
 * @returns Milliseconds to the first token of each request.
 */
async function measureFirstTokens(port: number, rate: number): Promise<readonly number[]> {
	const pending: Array<Promise<number>> = [];
	const startedAt = performance.now();
	while (pending.length < latencySamples) {
		const due = Math.min(latencySamples, Math.floor((performance.now() - startedAt) / 1000 * rate));
		while (pending.length < due) {
			pending.push(streamOnce(port, 1));
		}

		await delay(1);
	}

	return Promise.all(pending);
}

/** @returns Bytes of resident memory per open idle stream. */
async function measureIdleMemory(relay: Relay): Promise<number> {
	const before = residentMemory(relay.pid);
	const streams = [];
	while (streams.length < idleStreams) {
		streams.push(...await Promise.all(Array.from({length: idleStreamsPerBatch}, async () => openIdle(relay.port))));
		// The limit on concurrent requests rises step by step, so the streams are opened gradually.
		await delay(60);
	}

	await delay(500);
	const after = residentMemory(relay.pid);
	for (const stream of streams) {
		stream.destroy();
	}

	await delay(1000);
	return (after - before) / idleStreams;
}

async function measure(relay: Relay, rate: number | undefined): Promise<Figures> {
	// Idle streams come first: a process whose heap has already grown would hold them without using more memory.
	const perIdleStream = await measureIdleMemory(relay);
	await measureLoad(relay, warmUpRequests, 1);
	const short = await measureLoad(relay, shortRequests, 1);
	const long = await measureLoad(relay, longRequests, longTokens);
	const perLongRequest = long.processor / longRequests;
	const perShortRequest = short.processor / shortRequests;
	const perToken = (perLongRequest - perShortRequest) / (longTokens - 1);
	const requestsPerSecond = shortRequests / short.wall * 1000;
	const first = await measureFirstTokens(relay.port, rate ?? requestsPerSecond / 2);
	return {
		perRequest: (perShortRequest - perToken) * 1000,
		perToken: perToken * 1000,
		requestsPerSecond,
		tokensPerSecond: longRequests * longTokens / long.wall * 1000,
		firstTokenP50: percentile(first, 0.5),
		firstTokenP95: percentile(first, 0.95),
		perIdleStream,
	};
}

async function startEntry(sourcePort: number): Promise<{readonly installation: Installation; readonly relay: Relay}> {
	const installation = await Installation.create();
	await installation.applyTable(testTable());
	await Promise.all(Array.from({length: upstreams}, async (_, index) => control(installation.platformPort, 'boxes', {
		id: `source-${index}` as BoxId,
		role: 'model-engine',
		dataCentre: 'dc-1' as DataCentre,
		host: '127.0.0.1',
		port: sourcePort,
		pool: 'engines' as PoolName,
		machineClass: 'm',
		reclaimable: true,
		price: 1,
		state: 'live',
	})));
	const entry = await installation.addEntry('entry-1', {dataCentre: 'dc-1'});
	await installation.untilReady();
	await until(async () => await streamOnce(entry.box.port, 1) > 0);
	return {installation, relay: {name: 'waydrift', port: entry.box.port, pid: entry.child.pid}};
}

const median = (values: readonly number[]) => percentile(values, 0.5);

function combine(all: readonly Figures[]): Figures {
	const medianOf = (pick: (figures: Figures) => number) => median(all.map(figures => pick(figures)));
	return {
		perRequest: medianOf(figures => figures.perRequest),
		perToken: medianOf(figures => figures.perToken),
		requestsPerSecond: medianOf(figures => figures.requestsPerSecond),
		tokensPerSecond: medianOf(figures => figures.tokensPerSecond),
		firstTokenP50: medianOf(figures => figures.firstTokenP50),
		firstTokenP95: medianOf(figures => figures.firstTokenP95),
		perIdleStream: medianOf(figures => figures.perIdleStream),
	};
}

function print(bare: Figures, waydrift: Figures): void {
	const line = (name: string, pick: (figures: Figures) => number, unit: string, goal: string) => {
		const [baseline, measured] = [pick(bare), pick(waydrift)];
		process.stdout.write(`${name.padEnd(34)}${baseline.toFixed(2).padStart(10)}${measured.toFixed(2).padStart(10)} ${unit.padEnd(6)} ratio ${(measured / baseline).toFixed(2)}  ${goal}\n`);
	};

	process.stdout.write(`${''.padEnd(34)}${'bare'.padStart(10)}${'waydrift'.padStart(10)}\n`);
	line('processor time a request', figures => figures.perRequest, 'us', 'goal 1.6');
	line('processor time a streamed token', figures => figures.perToken, 'us', 'goal 1.2');
	line('requests a second', figures => figures.requestsPerSecond, '', '');
	line('tokens a second', figures => figures.tokensPerSecond, '', '');
	line('first token, p50 at half load', figures => figures.firstTokenP50, 'ms', `added ${(waydrift.firstTokenP50 - bare.firstTokenP50).toFixed(2)} ms`);
	line('first token, p95 at half load', figures => figures.firstTokenP95, 'ms', `added ${(waydrift.firstTokenP95 - bare.firstTokenP95).toFixed(2)} ms, goal 1.0`);
	line('memory an open idle stream', figures => figures.perIdleStream / 1024, 'KB', 'goal 40 KB');
}

/** Runs the comparison and prints it, with JSON in the last line. Each round starts new processes. */
export async function benchRelay(): Promise<void> {
	const source = Child.start('development/bench/token-source.js', []);
	const {port} = await source.line(line => 'port' in line);
	const bare: Figures[] = [];
	const waydrift: Figures[] = [];
	for (let round = 0; round < rounds; round++) {
		const child = Child.start('development/bench/bare-relay.js', [String(port)]);
		const started = await child.line(line => 'port' in line);
		bare.push(await measure({name: 'bare', port: started.port as number, pid: child.pid}, undefined));
		await child.kill();
		const {installation, relay} = await startEntry(port as number);
		// Without a given rate, the latency of each relay is measured at half of its own maximum rate.
		waydrift.push(await measure(relay, undefined));
		await installation.close();
	}

	await source.kill();
	const [bareMedians, waydriftMedians] = [combine(bare), combine(waydrift)];
	print(bareMedians, waydriftMedians);
	process.stdout.write(`${JSON.stringify({bare: bareMedians, waydrift: waydriftMedians})}\n`);
}
