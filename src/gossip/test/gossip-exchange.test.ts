import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import {until} from '../../../development/relay/relay-installation.js';
import {SystemClock} from '../../base/clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {ExchangeTopology} from '../exchange-topology.js';
import {ExchangeTraffic} from '../exchange-traffic.js';
import {Gossip} from '../gossip.js';
import {PeerTable} from '../peer-table.js';

const freePort = async (): Promise<number> => new Promise(resolve => {
	const socket = createSocket('udp4');
	socket.bind(0, '127.0.0.1', () => {
		const {port} = socket.address();
		socket.close(() => {
			resolve(port);
		});
	});
});

const startBox = async (name: string) => {
	const clock = SystemClock.create();
	const peers = PeerTable.create(name, clock, SilentEventLog.create());
	const topology = ExchangeTopology.create({name}, peers);
	const self = {name, host: '127.0.0.1', port: await freePort()};
	const gossip = Gossip.create({
		self, incarnation: 'one', clock, peers, topology, traffic: ExchangeTraffic.create(clock, SilentEventLog.create()),
		news: () => ({
			version: 1, isStopping: false, storeAge: 0, departed: [],
		}),
		state: () => ({
			version: 1, isStopping: false, storeAge: 0, quota: [], work: [], departed: [], usage: [],
		}),
		digest: () => ({boxes: peers.boxes, quota: [], work: []}),
		take() {
			// Nothing is done with it here.
		},
		takeDigest() {
			// Nothing is done with it here.
		},
		prove() {
			// Nothing is done with it here.
		},
		seeds: () => [],
	});
	const fiber = Effect.runFork(gossip.run());
	return {
		peers, topology, self, end: async () => Effect.runPromise(Fiber.interrupt(fiber)),
	};
};

test('a box that knows few others of a large fleet is told how large it is, and then tells aggregators alone', async () => {
	const knowing = await startBox('knowing');
	const unaware = await startBox('unaware');
	const neighbour = await startBox('neighbour');
	neighbour.peers.learn([unaware.self]);
	// Who hears nobody asks; this one hears a neighbour.
	await until(() => unaware.peers.heard.length === 1);
	knowing.peers.learn(Array.from({length: 20}, (_, index) => ({name: `silent-${index}`, host: '127.0.0.1', port: 9})));
	unaware.peers.learn([knowing.self]);
	await until(() => unaware.topology.isLarge);
	assert.ok(unaware.peers.boxes >= 21);
	await Promise.all([knowing.end(), unaware.end(), neighbour.end()]);
});
