/**
 * Measures the time from a reclaim notice until the upstream gets its last new request, with eight entry boxes under load.
 */
import process from 'node:process';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {control, type Installation} from '../harness/installation.js';
import {callerAt, startInstallation} from '../harness/small-installation.js';
import {percentile} from '../harness/percentile.js';

const entries = 8;
const engines = 6;
const trials = 4;
/** Milliseconds before the notice in which requests are counted, to check that the engine has traffic. */
const timeBeforeNotice = 500;
/** Milliseconds after the notice in which new requests are looked for. */
const timeAfterNotice = 3000;
/** Milliseconds between two queries of the engine's request count. */
const pollInterval = 5;

/** @returns Requests that the engine with this control port has started. */
async function countStartedRequests(port: number): Promise<number> {
	const totals = await control(port, 'totals', {}) as {readonly started: number};
	return totals.started;
}

type Trial = {
	/** Requests that the engine got in the `timeBeforeNotice` milliseconds before the notice. */
	readonly requestsBefore: number;
	/** Milliseconds from the notice until the engine got its last new request. */
	readonly time: number;
};

async function measureNotice(installation: Installation, engine: string): Promise<Trial> {
	const {port} = installation.members.get(engine)!.box;
	const initialCount = await countStartedRequests(port);
	await delay(timeBeforeNotice);
	const requestsBefore = await countStartedRequests(port) - initialCount;
	const noticeAt = performance.now();
	await control(installation.platformPort, 'reclaim', {box: engine, notice: 600_000});
	let lastCount = initialCount + requestsBefore;
	let lastAt = noticeAt;
	while (performance.now() - noticeAt < timeAfterNotice) {
		const count = await countStartedRequests(port);
		if (count > lastCount) {
			lastCount = count;
			lastAt = performance.now();
		}

		await delay(pollInterval);
	}

	return {requestsBefore, time: lastAt - noticeAt};
}

/** Measures with an up-to-date box list, then with one that is a minute behind. */
export async function benchLeaving(): Promise<void> {
	for (const boxListLag of [0, 60_000]) {
		const installation = await startInstallation({
			entries, engines, services: 0, dataCentres: 2,
		});
		const load = {isOpen: true};
		const callers = installation.entries.map(async member => {
			const caller = callerAt([member]);
			while (load.isOpen) {
				await caller.chat({
					model: 'assistant', key: randomUUID(), isStreamed: true, maximumTokens: 3, messages: [{role: 'user', content: randomUUID()}],
				});
			}
		});
		await control(installation.platformPort, 'faults', {boxListLag});
		await delay(1000);
		const measured: Trial[] = [];
		for (let trial = 1; trial <= trials; trial++) {
			measured.push(await measureNotice(installation, `engine-${trial}`));
		}

		load.isOpen = false;
		await Promise.all(callers);
		await installation.close();
		const times = measured.map(({time}) => time);
		const traffic = Math.min(...measured.map(({requestsBefore}) => requestsBefore));
		const [median, worst] = [percentile(times, 0.5), Math.max(...times)].map(time => time.toFixed(0));
		process.stdout.write([
			`box list late by ${boxListLag} ms, ${entries} boxes:`,
			`from notice to the last new request p50 ${median} ms, maximum ${worst} ms, of ${times.length} notices;`,
			`at least ${traffic} requests in the ${timeBeforeNotice} ms before\n`,
		].join(' '));
	}
}
