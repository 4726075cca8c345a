import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {afterEach, test} from 'node:test';
import {FaultProxy} from '../../../development/harness/fault-proxy.js';
import {control, Installation, until} from '../../../development/harness/installation.js';
import {callerAt, testTable} from '../../../development/harness/small-installation.js';

let installation: Installation;
let proxies: FaultProxy[] = [];

afterEach(async () => {
	await installation.close();
	for (const proxy of proxies) {
		proxy.close();
	}

	proxies = [];
});

async function proxyTo(port: number): Promise<FaultProxy> {
	const proxy = await FaultProxy.create(port);
	proxies.push(proxy);
	return proxy;
}

/** Starts two engines and three entry boxes; each entry box reaches the platform, and is reached by its peers, through its own proxy. */
async function start(): Promise<{readonly platform: readonly FaultProxy[]; readonly peers: readonly FaultProxy[]}> {
	installation = await Installation.create();
	await installation.applyTable(testTable());
	const platform = await Promise.all([0, 1, 2].map(async () => proxyTo(installation.platformPort)));
	const peers: FaultProxy[] = [];
	await Promise.all([1, 2].map(async index => installation.addEngine(`engine-${index}`, {dataCentre: 'dc-1', pool: 'engines'})));
	for (const [index, proxy] of platform.entries()) {
		await installation.addEntry(`entry-${index + 1}`, {
			dataCentre: 'dc-1',
			platformPort: proxy.port,
			async proxyPeers(port) {
				const peer = await proxyTo(port);
				peers.push(peer);
				return peer.port;
			},
		});
	}

	await installation.untilReady();
	return {platform, peers};
}

const chat = (text: string) => ({
	model: 'assistant', key: randomUUID(), isStreamed: true, maximumTokens: 2, messages: [{role: 'user', content: text}],
});

async function startedRequests(engine: string): Promise<number> {
	const totals = await control(installation.members.get(engine)!.box.port, 'totals', {}) as {readonly started: number};
	return totals.started;
}

async function knowsLeaving(operatorsPort: number, box: string): Promise<boolean> {
	const answer = await fetch(`http://127.0.0.1:${operatorsPort}/status`);
	const {leaving} = await answer.json() as {readonly leaving: ReadonlyArray<{readonly box: string}>};
	return leaving.some(report => report.box === box);
}

/** Sends requests through every entry box and asserts that the engine got none of them. */
async function assertNoNewRequests(engine: string): Promise<void> {
	const before = await startedRequests(engine);
	const results = await Promise.all(installation.entries.flatMap(member =>
		Array.from({length: 8}, async (_, index) => callerAt([member]).chat(chat(`${member.box.id} ${index}`)))));
	assert.deepEqual(results.map(({judgement}) => judgement.kind), results.map(() => 'answered'));
	assert.equal(await startedRequests(engine), before);
}

test('an engine with a reclaim notice gets no new requests, although the box list is out of date by a minute', async () => {
	await start();
	await control(installation.platformPort, 'faults', {boxListLag: 60_000});
	await control(installation.platformPort, 'reclaim', {box: 'engine-1', notice: 60_000});
	await until(async () => {
		const known = await Promise.all(installation.entries.map(async ({operatorsPort}) => knowsLeaving(operatorsPort, 'engine-1')));
		return known.every(Boolean);
	});
	await assertNoNewRequests('engine-1');
});

test('a reclaim notice that only one box receives reaches the other boxes over the peer links', async () => {
	const {platform} = await start();
	for (const proxy of platform.slice(1)) {
		proxy.fault = {kind: 'freeze'};
	}

	await control(installation.platformPort, 'reclaim', {box: 'engine-1', notice: 60_000});
	await until(async () => {
		const known = await Promise.all(installation.entries.map(async ({operatorsPort}) => knowsLeaving(operatorsPort, 'engine-1')));
		return known.every(Boolean);
	});
	await assertNoNewRequests('engine-1');
});

test('with the peer links cut and the box list out of date, an upstream that announces its departure gets no new requests', async () => {
	const {peers} = await start();
	await control(installation.platformPort, 'faults', {boxListLag: 60_000});
	for (const proxy of peers) {
		proxy.fault = {kind: 'cut'};
	}

	await control(installation.members.get('engine-1')!.box.port, 'leave', {});
	await until(async () => {
		const known = await Promise.all(installation.entries.map(async ({operatorsPort}) => knowsLeaving(operatorsPort, 'engine-1')));
		return known.every(Boolean);
	});
	await assertNoNewRequests('engine-1');
});
