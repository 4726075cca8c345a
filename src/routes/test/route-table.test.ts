import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {
	RouteTable, pickTarget, type Route, type RouteTableContent,
} from '../route-table.js';
import {RouteTableView} from '../route-table-view.js';

const route = (name: string, pathPrefix: string, changes: Partial<Route> = {}): Route => ({
	name,
	host: 'A.example',
	pathPrefix,
	kind: 'once',
	timeout: 1000,
	goal: 100,
	priority: 3,
	maximumAttempts: 1,
	isPublic: false,
	isSticky: false,
	isResumable: false,
	targets: [{service: 's', weight: 1}],
	...changes,
});

const content = (version: number, changes: Partial<RouteTableContent> = {}): RouteTableContent => ({
	version, routes: [], services: [], clientAccounts: [], limits: {body: 1, headerTimeout: 1, idleTimeout: 1}, ...changes,
});

test('the route with the longest prefix of the host matches, regardless of the order and of the case and port of the host', () => {
	const table = RouteTable.create(content(1, {routes: [route('short', '/a/'), route('long', '/a/b/'), route('other', '/a/b/c/', {host: 'b.example'})]}));
	assert.equal(table.route('a.example:8080', '/a/b/c/d?x=/a/')?.name, 'long');
	assert.equal(table.route('a.EXAMPLE', '/a/bc/')?.name, 'short');
	assert.equal(table.route('a.example', '/ab/'), undefined);
	assert.equal(table.route('c.example', '/a/'), undefined);
});

test('a target is picked by weight', () => {
	const split = route('r', '/', {targets: [{service: 's', weight: 9}, {service: 't', weight: 1}]});
	assert.deepEqual([0, 0.5, 0.89, 0.91, 0.999].map(draw => pickTarget(split, draw)), ['s', 's', 's', 't', 't']);
});

test('the priority of the client account overrides that of the route', () => {
	const table = RouteTable.create(content(1));
	const clientAccount = {
		name: 't', keys: [], priority: 0, unit: 'tokens', plainTokens: 1, rate: 0, burst: 0,
	} as const;
	assert.equal(table.priority(route('r', '/'), clientAccount), 0);
	assert.equal(table.priority(route('r', '/'), undefined), 3);
});

test('only a higher version becomes active, and a proof counts only for the active version', () => {
	const clock = new ManualClock(1000);
	const view = RouteTableView.create(clock, SilentEventLog.create());
	const applied: number[] = [];
	view.onDidApply(({version}) => {
		applied.push(version);
	});
	for (const version of [4, 4, 2, 9, 7]) {
		view.apply(content(version), 'store');
	}

	assert.deepEqual(applied, [4, 9]);
	view.prove(4, 900);
	assert.equal(view.proofAge, Number.POSITIVE_INFINITY, 'a proof of an older version proves nothing');
	view.prove(9, 900);
	view.prove(9, 800);
	assert.equal(view.proofAge, 100, 'an earlier proof does not replace a later one');
});
