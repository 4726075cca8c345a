import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {after, test} from 'node:test';
import {RecordingLog} from '../../../development/relay/relay-installation.js';
import {relaySettingsText} from '../../../development/relay/relay-settings-text.js';
import {SettingsFile} from '../settings-file.js';

const folder = mkdtempSync(path.join(tmpdir(), 'settings-file-'));
const file = path.join(folder, 'settings.yaml');

after(() => {
	rmSync(folder, {recursive: true});
});

const settingsText = (released: readonly string[]): string => `${relaySettingsText({
	name: 'relay-1', ports: {
		front: 7000, ready: 7001, control: 7002, metrics: 7003,
	}, storePort: 7004, grace: 5,
})}\nquarantine:\n  released:\n${released.map(fingerprint => `    - ${fingerprint}\n`).join('')}`;

test('a file that is polled while it is being written is not applied until it is complete', () => {
	const before = settingsText(['AbC-_1234567', 'AbC-_7654321']);
	const next = settingsText(['AbC-_1234567', 'AbC-_7654321', 'AbC-_0000000']);
	writeFileSync(file, before);
	const log = new RecordingLog();
	const settings = SettingsFile.create(file, log);
	settings.poll();
	const inForce = settings.current?.released;
	assert.deepEqual(inForce, ['AbC-_1234567', 'AbC-_7654321'], 'the first settings are applied at once');
	for (let length = 0; length < next.length; length++) {
		writeFileSync(file, next.slice(0, length));
		settings.poll();
		assert.deepEqual(settings.current?.released, inForce, `${length} of ${next.length} bytes`);
	}

	writeFileSync(file, next);
	settings.poll();
	settings.poll();
	assert.equal(settings.current?.released.length, 3);
	assert.deepEqual(log.lines.map(({eventName}) => eventName), ['settingsApplied', 'settingsApplied']);
});

test('a reload applies a changed file at once; an invalid or missing file leaves the settings in force unchanged', () => {
	writeFileSync(file, settingsText(['AbC-_1234567']));
	const log = new RecordingLog();
	const settings = SettingsFile.create(file, log);
	settings.reload();
	writeFileSync(file, settingsText(['AbC-_7654321']));
	settings.reload();
	assert.deepEqual(settings.current?.released, ['AbC-_7654321']);
	writeFileSync(file, 'node: [');
	settings.poll();
	settings.poll();
	settings.poll();
	assert.deepEqual(settings.current.released, ['AbC-_7654321']);
	rmSync(file);
	settings.poll();
	assert.deepEqual(settings.current.released, ['AbC-_7654321']);
	assert.equal(log.lines.filter(({eventName}) => eventName === 'settingsInvalid').length, 2);
});
