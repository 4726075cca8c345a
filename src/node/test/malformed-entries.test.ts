/*
 * Guards against two faults. A malformed replica entry kept a starting relay from ever becoming ready, and a running one from learning of any later
 * replica, because the decoder threw inside the follower. And a replica that had announced that it leaves and was started again under the same id was
 * never used again.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {RawJson} from '../../../development/standins/raw-json.js';
import {replicaKind} from '../../../platform/formats.js';
import {RelayInstallation, until, type RelayMember} from '../../../development/relay/relay-installation.js';

let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({relays: 1, replicas: ['i-1']});
});

after(async () => installation.close());

const validEntry = {
	service: 'plain', addr: '127.0.0.1:1', zone: 'zone-1', slots: 8, state: 'ready', seq: 1,
};

/** Maximum length of a line of the log. */
const maxLineLength = 4000;
/** Depth that recursive functions do not survive. */
const depth = 20_000;
const nestedIn = (levels: number) => RawJson.create(`${'['.repeat(levels)}${']'.repeat(levels)}`);
const nested = nestedIn(depth);
const nestedObjects = RawJson.create(`${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`);

const malformedEntries: Readonly<Record<string, unknown>> = {
	'no field': {},
	'a string': 'ready',
	null: null,
	'an array': [validEntry],
	'a number as address': {...validEntry, addr: 7},
	'an address without a port': {...validEntry, addr: '127.0.0.1'},
	'a port out of range': {...validEntry, addr: '127.0.0.1:99999'},
	'a string as slots': {...validEntry, slots: 'many'},
	'zero slots': {...validEntry, slots: 0},
	'an unknown state': {...validEntry, state: 'thinking'},
	'a start time that is no integer': {...validEntry, born: 'today'},
	'a service that is no string': {...validEntry, service: {name: 'plain'}},
	'nested arrays': nested,
	'nested objects': nestedObjects,
	'nested arrays as address': {...validEntry, addr: nested},
	'nested objects as service': {...validEntry, service: nestedObjects},
	'nested arrays as slots': {...validEntry, slots: nested},
	'nested objects as start time': {...validEntry, born: nestedObjects},
	'arrays nested 2,000 deep as zone': {...validEntry, zone: nestedIn(2000)},
	'arrays nested 1,000,000 deep in a list': [nestedIn(1_000_000)],
	'a number that is too large as slots': {...validEntry, slots: RawJson.create('1e400')},
	'a negative number that is too large as start time': {...validEntry, born: RawJson.create('-1e400')},
	'an inexact number as slots': {...validEntry, slots: RawJson.create('9007199254740993')},
	'a string of several megabytes': 'x'.repeat(4_000_000),
	'a service name of several megabytes': {...validEntry, service: 'x'.repeat(4_000_000)},
	'a version of several megabytes': {...validEntry, version: 'x'.repeat(4_000_000)},
	'fields that are named like those of all objects': RawJson.create('{"__proto__": {"service": "plain"}, "constructor": 1, "toString": 7}'),
};

const hasLogged = ({log}: RelayMember, name: string, replica: string): boolean => log.lines.some(line => line.eventName === name && line.replica === replica);

async function servedBy(relay: RelayMember): Promise<ReadonlySet<string>> {
	const views = await Promise.all(Array.from({length: 20}, async () => installation.call({path: '/calls/x'}, relay)));
	assert.deepEqual(views.map(({status}) => status), views.map(() => 200));
	return new Set(views.map(({body}) => body));
}

async function assertOthersAreUsed(index: number, spec: unknown): Promise<void> {
	const [running] = installation.relays;
	const name = `odd-${index}`;
	installation.store.put(replicaKind, name, spec);
	await until(() => hasLogged(running!, 'replicaUnreadable', name));
	await installation.addReplica(`late-${index}`);
	await until(() => hasLogged(running!, 'replicaListed', `late-${index}`));
	const starting = await installation.startRelay(`starting-${index}`);
	await until(() => starting.node.isReady);
	for (const relay of [running!, starting]) {
		const served = await servedBy(relay);
		assert.ok(served.has(`answer of late-${index}`));
		assert.equal(hasLogged(relay, 'replicaListed', name), false);
	}

	const lines = running!.log.lines.filter(({eventName, replica}) => eventName === 'replicaUnreadable' && replica === name);
	assert.equal(lines.length, 1, 'logged once per change');
	await starting.kill();
	installation.unlist(name);
	installation.unlist(`late-${index}`);
}

for (const [index, [what, spec]] of Object.entries(malformedEntries).entries()) {
	test(`an entry with ${what} is skipped and the other entries are used, by a running relay and by a starting one`, async () => {
		await assertOthersAreUsed(index, spec);
	});
}

test('2,000 malformed entries are skipped, and the other entries are used within the same time', async () => {
	const [running] = installation.relays;
	const names = Array.from({length: 2000}, (_, index) => `one-of-many-${index}`);
	for (const [index, name] of names.entries()) {
		installation.store.put(replicaKind, name, Object.values(malformedEntries)[index % 12]);
	}

	await installation.addReplica('late');
	await until(() => hasLogged(running!, 'replicaListed', 'late'));
	const starting = await installation.startRelay('starting');
	await until(() => starting.node.isReady);
	for (const relay of [running!, starting]) {
		assert.ok((await servedBy(relay)).has('answer of late'));
		assert.equal(relay.log.lines.filter(({eventName, replica}) => eventName === 'replicaUnreadable' && String(replica).startsWith('one-of-many-')).length, names.length);
	}

	await starting.kill();
	for (const name of [...names, 'late']) {
		installation.unlist(name);
	}
});

const oddNames = ['', '\u4E00\n', 'n'.repeat(100_000), '__proto__', 'constructor'];

async function assertNameHarmsNoOther(index: number): Promise<void> {
	const [running] = installation.relays;
	const name = oddNames[index]!;
	installation.store.put(replicaKind, name, {...validEntry, state: 'draining'});
	const late = `beside-${index}`;
	await installation.addReplica(late);
	await until(() => hasLogged(running!, 'replicaListed', late));
	const starting = await installation.startRelay(`starting-beside-${index}`);
	await until(() => starting.node.isReady);
	for (const relay of [running!, starting]) {
		assert.ok((await servedBy(relay)).has(`answer of ${late}`));
		assert.ok(relay.log.lines.every(line => JSON.stringify(line).length < maxLineLength));
	}

	await starting.kill();
	installation.unlist(name);
	installation.unlist(late);
	await until(() => hasLogged(running!, 'replicaGone', late));
}

for (const [index, name] of oddNames.entries()) {
	test(`an entry with the name ${JSON.stringify(name.slice(0, 20))} of ${name.length} characters does not keep the other entries from use`, async () => {
		await assertNameHarmsNoOther(index);
	});
}

test('a replica whose entry becomes malformed is removed until the entry is valid again', async () => {
	const [relay] = installation.relays;
	await installation.addReplica('i-2');
	await until(() => hasLogged(relay!, 'replicaListed', 'i-2'));
	installation.list('i-2', {addr: null});
	await until(() => hasLogged(relay!, 'replicaGone', 'i-2'));
	assert.deepEqual([...await servedBy(relay!)], ['answer of i-1']);
	installation.list('i-2', {seq: 3});
	const listings = () => relay!.log.lines.filter(({eventName, replica}) => eventName === 'replicaListed' && replica === 'i-2').length;
	await until(() => listings() === 2);
	assert.ok((await servedBy(relay!)).has('answer of i-2'));
});

test('a malformed configuration does not replace the one in force', async () => {
	const [relay] = installation.relays;
	const unreadable = () => relay!.log.lines.filter(({eventName}) => eventName === 'routesUnreadable').length;
	const broken: readonly unknown[] = [{routes: 7}, {routes: [{host: 1}]}, {tenants: [null]}, {services: [{name: 's', autoscale: {zone_prices: 3}}]}, {limits: 'none'}];
	for (const [index, changes] of broken.entries()) {
		installation.configure(changes as Readonly<Record<string, unknown>>);
		await until(() => unreadable() > index);
		await servedBy(relay!);
	}

	const version = installation.configure();
	await until(() => relay!.log.lines.some(({eventName, version: applied}) => eventName === 'routesApplied' && applied === version));
	await servedBy(relay!);
});

test('a leaving replica that starts again under the same id is used at once, without the state of its previous start', async () => {
	const [relay] = installation.relays;
	installation.list('i-2', {state: 'draining', seq: 9});
	await until(() => hasLogged(relay!, 'replicaLeaving', 'i-2'));
	assert.deepEqual([...await servedBy(relay!)], ['answer of i-1']);
	installation.list('i-2', {state: 'ready', seq: 1, born: Date.now() + 1000});
	await until(() => hasLogged(relay!, 'replicaStartedAgain', 'i-2'));
	assert.ok((await servedBy(relay!)).has('answer of i-2'));
	installation.list('i-2', {state: 'draining', seq: 8, born: 5});
	installation.list('i-1', {seq: 2, cold_left_ms: 3});
	installation.store.put(replicaKind, 'marker', {...validEntry, state: 'draining'});
	await until(() => hasLogged(relay!, 'replicaListed', 'marker'));
	assert.ok((await servedBy(relay!)).has('answer of i-2'), 'a late entry of an older start changes nothing');
});

test('a stream at a replica that has started again continues at another replica at once, although its connection stays open and silent', async () => {
	const [relay] = installation.relays;
	const silent = await installation.addReplica('i-3');
	await until(() => hasLogged(relay!, 'replicaListed', 'i-3'));
	for (const id of ['i-1', 'i-2']) {
		installation.list(id, {state: 'draining', seq: 20, born: Date.now() + 2000});
	}

	const isLeavingAnew = (id: string) => relay!.log.lines.some(({eventName, replica, isDraining}) => eventName === 'replicaStartedAgain' && replica === id && isDraining === true);
	await until(() => isLeavingAnew('i-1') && isLeavingAnew('i-2'));
	silent.behave({events: 4, fault: 'mute-stream'});
	const streaming = installation.call({path: '/stream/x', method: 'POST', body: 'p'}, relay);
	await until(() => silent.seen.length === 1);
	await installation.addReplica('i-4');
	await until(() => hasLogged(relay!, 'replicaListed', 'i-4'));
	installation.replicas.get('i-4')!.behave({events: 4});
	installation.list('i-3', {born: Date.now() + 5000, state: 'draining'});
	const {isWhole, body} = await streaming;
	assert.ok(isWhole);
	assert.deepEqual([...body.matchAll(/^id: (?<id>\d+)$/gmv)].map(match => match.groups!.id), ['1', '2', '3', '4']);
});
