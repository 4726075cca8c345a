import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
	RelayInstallation, routeTo, until, type RelayMember,
} from '../../../development/relay/relay-installation.js';

let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({relays: 3, replicas: ['i-1'], bounds: {revoke: 1500}});
});

after(async () => installation.close());

const versionsReach = async (version: number, relays: readonly RelayMember[] = installation.relays): Promise<void> =>
	until(() => relays.every(({log}) => log.lines.some(line => line.eventName === 'routesApplied' && line.version === version)));

test('a new configuration is applied on every relay, and an older version is never applied again', async () => {
	const version = installation.configure({routes: [routeTo('/calls/'), routeTo('/new/')]});
	await versionsReach(version);
	const views = await Promise.all(installation.relays.map(async relay => installation.call({path: '/new/x'}, relay)));
	assert.deepEqual(views.map(({status}) => status), [200, 200, 200]);
	installation.store.put('config', 'main', {version: version - 1, routes: [], tenants: []});
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	assert.equal((await installation.call({path: '/new/x'})).status, 200);
});

test('a configuration change that the watch history no longer has arrives with the next list', async () => {
	const quiet = installation.store.faults;
	installation.store.faults = {...quiet, isBusy: true};
	const version = installation.configure({routes: [routeTo('/calls/'), routeTo('/gap/')]});
	installation.store.forgetHistory();
	installation.store.clearFaults();
	await versionsReach(version);
	assert.equal((await installation.call({path: '/gap/x'})).status, 200);
});

test('requests with keys are refused without being run while no proof of freshness arrives, and are served again afterwards', async () => {
	installation.store.faults = {isSilent: true, isBusy: false, losesAnswers: false};
	await until(() => installation.relays.every(({node}) => !node.isReady));
	const view = await installation.call({path: '/calls/x'});
	assert.equal(view.status, 503);
	assert.ok(Number(view.headers['retry-after']) > 0);
	installation.store.clearFaults();
	await until(() => installation.relays.every(({node}) => node.isReady));
	assert.equal((await installation.call({path: '/calls/x'})).status, 200);
});

test('a relay that starts during a store outage answers 503 and does not exit, and serves requests after the outage', async () => {
	installation.store.faults = {isSilent: false, isBusy: true, losesAnswers: false};
	const late = await installation.startRelay('relay-late');
	assert.equal(late.node.isReady, false);
	assert.equal((await installation.call({path: '/calls/x'}, late)).status, 503);
	installation.store.clearFaults();
	await until(() => late.node.isReady);
	assert.equal((await installation.call({path: '/calls/x'}, late)).status, 200);
	await late.kill();
});
