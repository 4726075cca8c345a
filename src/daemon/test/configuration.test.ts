import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
	control, readMetric, until, type Installation, type Member,
} from '../../../development/harness/installation.js';
import {startInstallation, testTable} from '../../../development/harness/small-installation.js';

let installation: Installation;

before(async () => {
	installation = await startInstallation({
		entries: 3, engines: 0, services: 0, dataCentres: 1,
	});
});

after(async () => installation.close());

const versionAt = async ({operatorsPort}: Member) => readMetric(operatorsPort, 'waydrift_table_version');

async function untilInForce(version: number, members: readonly Member[]): Promise<void> {
	await until(async () => {
		const versions = await Promise.all(members.map(async member => versionAt(member)));
		return versions.every(inForce => inForce === version);
	});
}

test('an accepted table comes into force on every box', async () => {
	const version = await installation.applyTable(testTable());
	await untilInForce(version, installation.entries);
});

test('a box that was suspended during a change of the table gets the new version, and the others keep it', async () => {
	const [frozen, ...others] = installation.entries;
	frozen!.child.signal('SIGSTOP');
	const version = await installation.applyTable(testTable());
	await untilInForce(version, others);
	frozen!.child.signal('SIGCONT');
	await untilInForce(version, installation.entries);
});

test('a box that cannot read the table from the store gets it from its peers', async () => {
	const version = await installation.applyTable(testTable());
	await untilInForce(version, installation.entries);
	// The Object API has an outage; the box list is still available.
	await control(installation.platformPort, 'faults', {objectOutage: true});
	const late = await installation.addEntry('entry-late', {dataCentre: 'dc-1'});
	await untilInForce(version, [late]);
	await control(installation.platformPort, 'faults', {objectOutage: false});
	assert.equal(await versionAt(late), version);
});
