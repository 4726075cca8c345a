import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ExchangeFleet, type FleetShape} from '../../../development/harness/exchange-fleet.js';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {sumOf} from '../../base/sum.js';

/** Bytes per second of the slowest link on which the incident SHORT was seen: 7 Mbit/s. */
const slowestLink = 875_000;
/** Maximum part of such a link that gossip may fill in either direction; the rest is for client requests. */
const maxLinkPart = 0.5;

/** Rounds after which a box has sent all its counters again. */
const rounds = 8;

const trafficOf = (shape: FleetShape, prepare: (fleet: ExchangeFleet) => void = () => undefined) => {
	const clock = new ManualClock(1000);
	const fleet = ExchangeFleet.create(shape, clock);
	prepare(fleet);
	const traffic = Array.from({length: rounds}, () => {
		clock.now += fleet.interval;
		return fleet.round();
	});
	const perSecond = (bytes: number) => bytes * 1000 / (rounds * fleet.interval);
	return {received: perSecond(sumOf(traffic.map(({received}) => received))), sent: perSecond(sumOf(traffic.map(({sent}) => sent)))};
};

for (const shape of [
	{
		boxes: 86, replicas: 84, clientAccounts: 16, inProgress: 3,
	},
	{
		boxes: 340, replicas: 84, clientAccounts: 16, inProgress: 3,
	},
]) {
	test(`the gossip of an aggregator of ${shape.boxes} boxes leaves room for requests on a slow link`, () => {
		const {received, sent} = trafficOf(shape);
		assert.ok(received < slowestLink * maxLinkPart, `${received} bytes per second received`);
		assert.ok(sent < slowestLink * maxLinkPart, `${sent} bytes per second sent`);
	});
}

test('gossip about crashed replicas leaves room on a slow link, even when each replica has crashed under requests of each box', () => {
	const {received, sent} = trafficOf({
		boxes: 86, replicas: 84, clientAccounts: 16, inProgress: 3,
	}, fleet => {
		fleet.crashReplicas();
	});
	assert.ok(received < slowestLink * maxLinkPart, `${received} bytes per second received`);
	assert.ok(sent < slowestLink * maxLinkPart, `${sent} bytes per second sent`);
});

test('gossip about request limits leaves room on a slow link, even when each replica has announced one to each box', () => {
	const {received, sent} = trafficOf({
		boxes: 86, replicas: 84, clientAccounts: 16, inProgress: 3,
	}, fleet => {
		fleet.announceLimits();
	});
	assert.ok(received < slowestLink * maxLinkPart, `${received} bytes per second received`);
	assert.ok(sent < slowestLink * maxLinkPart, `${sent} bytes per second sent`);
});
