/**
 * Measures the slopes in docs/CAPACITY.md: how much each additional peer, upstream, row, stream or claim costs
 * an entry box and the platform.
 */
import process from 'node:process';
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import type {Table} from '../../src/table/table.js';
import {Child} from '../harness/child.js';
import {
	control, Installation, readMetric, until, type Member,
} from '../harness/installation.js';
import {percentile} from '../harness/percentile.js';
import {callerAt, testTable} from '../harness/small-installation.js';
import {fitLine, type Line, type Point} from './fit.js';
import {writePlot, type Panel} from './plot.js';
import {processorTime, residentMemory} from './process-cost.js';
import {openIdle} from './stream-client.js';

/** Milliseconds over which the use of an idle installation is measured. */
const measureTime = 8000;
/** Milliseconds until a new installation is idle: its code is compiled, its connections are open, its garbage is collected. */
const settleTime = 5000;
// Sizes to measure at: numbers of entry boxes, upstreams, table rows, open streams and claiming callers.
const peerSizes = [4, 8, 16, 32] as const;
const upstreamSizes = [8, 32, 128] as const;
const rowSizes = [10, 100, 400] as const;
const streamSizes = [100, 300, 600] as const;
const claimSizes = [4, 16, 64] as const;
/** Claims that each caller makes, one after another. */
const claimsPerCaller = 40;
const plotFile = 'docs/capacity.svg';

/** Resource use without requests: per entry box, except for the platform calls. */
type IdleUsage = {
	/** Milliseconds of processor time per second, so 10 is one percent of a core. */
	readonly processor: number;
	/** Resident memory in megabytes. */
	readonly memory: number;
	/** Kilobytes per second sent over the network. */
	readonly network: number;
	/** Reads per second from the platform, of all boxes together. */
	readonly reads: number;
	/** Writes per second to the platform, of all boxes together. */
	readonly writes: number;
};

/** Size of an installation to measure. */
type InstallationSize = {readonly entries: number; readonly upstreams: number; readonly rows: number};

/** A fitted line with its measurements. */
type Slope = {readonly name: string; readonly unit: string; readonly points: readonly Point[]; readonly line: Line};

/** @returns Bytes received over the loopback interface since the machine started; all boxes of the installation use it. */
const loopbackBytes = (): number => {
	const line = readFileSync('/proc/net/dev', 'utf8').split('\n').find(text => text.trim().startsWith('lo:'))!;
	return Number(line.trim().split(/\s+/v)[1]);
};

async function platformCalls(installation: Installation) {
	return await control(installation.platformPort, 'calls', {}) as {readonly reads: number; readonly writes: number};
}

/**
 * @param rows - Rows to add to those of the test table.
 * @returns The extended table.
 */
function tableOf(rows: number): Table {
	const table = testTable();
	const row = table.rows[0]!;
	return {
		...table,
		rows: [...table.rows, ...Array.from({length: rows}, (_, index) => ({...row, kind: `kind-${index}`}))],
	} as unknown as Table;
}

async function start({entries, upstreams, rows}: InstallationSize, sourcePort: number): Promise<Installation> {
	const installation = await Installation.create();
	await installation.applyTable(tableOf(rows));
	for (let index = 0; index < upstreams; index++) {
		await control(installation.platformPort, 'boxes', {
			id: `source-${index}`, role: 'model-engine', dataCentre: 'dc-1', host: '127.0.0.1', port: sourcePort, pool: 'engines', machineClass: 'm', reclaimable: true, price: 1, state: 'live',
		});
	}

	// Four at a time: dozens of processes that compile at the same time would still be busy when the idle use is measured.
	for (let index = 0; index < entries; index += 4) {
		await Promise.all(Array.from({length: Math.min(4, entries - index)}, async (_, turn) => installation.addEntry(`entry-${index + turn}`, {dataCentre: 'dc-1'})));
	}

	await installation.untilReady();
	return installation;
}

/** Measures the use of resources of an installation that gets no requests. */
async function measureIdle(installation: Installation): Promise<IdleUsage> {
	await delay(settleTime);
	const members = installation.entries;
	const used = () => members.map(({child}) => processorTime(child.pid));
	const [before, bytes, calls] = [used(), loopbackBytes(), await platformCalls(installation)];
	await delay(measureTime);
	const [after, bytesAfter, callsAfter] = [used(), loopbackBytes(), await platformCalls(installation)];
	const seconds = measureTime / 1000;
	return {
		processor: percentile(after.map((time, index) => (time - before[index]!) / seconds), 0.5),
		memory: percentile(members.map(({child}) => residentMemory(child.pid) / 1_048_576), 0.5),
		network: (bytesAfter - bytes) / members.length / seconds / 1024,
		reads: (callsAfter.reads - calls.reads) / seconds,
		writes: (callsAfter.writes - calls.writes) / seconds,
	};
}

async function measureIdleAt(size: InstallationSize, sourcePort: number): Promise<IdleUsage> {
	const installation = await start(size, sourcePort);
	const usage = await measureIdle(installation);
	await installation.close();
	return usage;
}

function slope(name: string, unit: string, sizes: readonly number[], values: readonly number[]): Slope {
	const points = sizes.map((x, index) => ({x, y: values[index]!}));
	return {
		name, unit, points, line: fitLine(points),
	};
}

/** Measures an idle installation at each size, and fits a line to each resource. */
async function sweep(label: string, sizes: readonly number[], installationSizeOf: (size: number) => InstallationSize, sourcePort: number): Promise<readonly Slope[]> {
	const usages: IdleUsage[] = [];
	for (const size of sizes) {
		process.stderr.write(`${label} ${size}\n`);
		usages.push(await measureIdleAt(installationSizeOf(size), sourcePort));
	}

	return [
		slope(`processor time a ${label}`, 'ms/s', sizes, usages.map(({processor}) => processor)),
		slope(`memory a ${label}`, 'MB', sizes, usages.map(({memory}) => memory)),
		slope(`network a ${label}`, 'KB/s', sizes, usages.map(({network}) => network)),
		slope(`platform reads a ${label}`, '1/s', sizes, usages.map(({reads}) => reads)),
		slope(`platform writes a ${label}`, '1/s', sizes, usages.map(({writes}) => writes)),
	];
}

/** Measures the memory of an entry box by its number of open idle streams. */
async function sweepStreams(sourcePort: number): Promise<readonly Slope[]> {
	const installation = await start({entries: 1, upstreams: 32, rows: 0}, sourcePort);
	const [{box, child}] = installation.entries as readonly [Member];
	await delay(settleTime);
	const values: number[] = [];
	let open = 0;
	for (const size of streamSizes) {
		for (; open < size; open += 10) {
			await Promise.all(Array.from({length: 10}, async () => openIdle(box.port)));
			await delay(50);
		}

		await delay(1000);
		values.push(residentMemory(child.pid) / 1_048_576);
	}

	await installation.close();
	return [slope('memory an open stream', 'MB', streamSizes, values)];
}

/** Measures claims and platform writes per second, and latency, by the number of callers that claim concurrently at four boxes. */
async function sweepClaims(): Promise<readonly Slope[]> {
	const installation = await Installation.create();
	await installation.applyTable(testTable());
	await Promise.all([1, 2, 3, 4].map(async index => installation.addEntry(`entry-${index}`, {dataCentre: 'dc-1'})));
	await Promise.all([1, 2].map(async index => installation.addService(`service-${index}`, {dataCentre: 'dc-1', pool: 'orders'})));
	await installation.untilReady();
	const writes: number[] = [];
	const rates: number[] = [];
	const latencies: number[] = [];
	for (const size of claimSizes) {
		process.stderr.write(`claims ${size}\n`);
		const before = await platformCalls(installation);
		const startedAt = performance.now();
		const times = await claimConcurrently(installation, size);
		const seconds = (performance.now() - startedAt) / 1000;
		const {writes: after} = await platformCalls(installation);
		writes.push((after - before.writes) / seconds);
		rates.push(times.length / seconds);
		latencies.push(percentile(times, 0.5));
		await delay(1500);
	}

	await installation.close();
	return [
		slope('claims a second, a caller', '1/s', claimSizes, rates),
		slope('platform writes a second, a claiming caller', '1/s', claimSizes, writes),
		slope('milliseconds of a claimed call, a caller', 'ms', claimSizes, latencies),
	];
}

/** @returns Milliseconds of each claimed call that was answered. */
async function claimConcurrently(installation: Installation, callers: number): Promise<readonly number[]> {
	const {entries} = installation;
	const times = await Promise.all(Array.from({length: callers}, async (_, index) => {
		const caller = callerAt([entries[index % entries.length]!]);
		const latencies: number[] = [];
		for (let turn = 0; turn < claimsPerCaller; turn++) {
			const {judgement, timing} = await caller.call({
				service: 'orders', path: '/release', key: randomUUID(), body: 'x',
			});
			if (judgement.kind === 'answered') {
				latencies.push(timing.firstToken);
			}
		}

		return latencies;
	}));
	return times.flat();
}

/** @returns Milliseconds from sending a table until it is in force on every box, for ten changes. */
async function measureInForce(entries: number): Promise<readonly number[]> {
	const installation = await start({entries, upstreams: 0, rows: 20}, 1);
	const times: number[] = [];
	for (let turn = 0; turn < 10; turn++) {
		const startedAt = performance.now();
		const version = await installation.applyTable(tableOf(20));
		await until(async () => {
			const versions = await Promise.all(installation.entries.map(async ({operatorsPort}) => readMetric(operatorsPort, 'waydrift_table_version')));
			return versions.every(inForce => inForce >= version);
		});
		times.push(performance.now() - startedAt);
	}

	await installation.close();
	return times;
}

function print(slopes: readonly Slope[]): void {
	process.stdout.write('| What | Slope | At zero | Residual | Measured |\n| --- | --- | --- | --- | --- |\n');
	for (const {name, unit, points, line} of slopes) {
		const measured = points.map(({x, y}) => `${x}: ${y.toFixed(2)}`).join(', ');
		process.stdout.write(`| ${name} | ${line.slope.toFixed(4)} ${unit} | ${line.intercept.toFixed(2)} | ${line.residual.toFixed(2)} | ${measured} |\n`);
	}
}

/** Measures and prints all slopes, or those named on the command line; plots them only if all were measured. */
export async function benchCapacity(): Promise<void> {
	const source = Child.start('development/bench/token-source.js', []);
	const {port} = await source.line(line => 'port' in line);
	const sourcePort = port as number;
	const sweeps: Readonly<Record<string, () => Promise<readonly Slope[]>>> = {
		peer: async () => sweep('peer', peerSizes, size => ({entries: size, upstreams: 0, rows: 10}), sourcePort),
		upstream: async () => sweep('upstream', upstreamSizes, size => ({entries: 2, upstreams: size, rows: 10}), sourcePort),
		row: async () => sweep('row', rowSizes, size => ({entries: 4, upstreams: 0, rows: size}), sourcePort),
		stream: async () => sweepStreams(sourcePort),
		claim: sweepClaims,
	};
	const chosen = process.argv.slice(3);
	const slopes: Slope[] = [];
	for (const [name, run] of Object.entries(sweeps).filter(([name]) => chosen.length === 0 || chosen.includes(name))) {
		process.stderr.write(`${name}\n`);
		slopes.push(...await run());
	}

	await source.kill();
	print(slopes);
	if (chosen.length > 0) {
		return;
	}

	for (const entries of [8, 24]) {
		const times = await measureInForce(entries);
		process.stdout.write(`\nAccepted to in force on ${entries} boxes: p50 ${percentile(times, 0.5).toFixed(0)} ms, maximum ${Math.max(...times).toFixed(0)} ms, of ${times.length} changes.\n`);
	}

	await writePlot(plotFile, slopes.map(({name, unit, points, line}): Panel => ({title: `${name} (${unit})`, points, line})));
}
