import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {Installation} from '../../../development/harness/installation.js';
import {version} from '../version.js';

const program = fileURLToPath(new URL('../main.js', import.meta.url));
const folder = mkdtempSync(path.join(tmpdir(), 'waydrift-command-'));
let installation: Installation;

before(async () => {
	installation = await Installation.create();
});

after(async () => installation.close());

type RunResult = {readonly code: number; readonly output: string; readonly errors: string};

async function run(...args: readonly string[]): Promise<RunResult> {
	return new Promise(resolve => {
		execFile(process.execPath, [program, ...args], {
			env: {...process.env, WAYDRIFT_PLATFORM: `127.0.0.1:${installation.platformPort}`},
		}, (error, output, errors) => {
			resolve({code: error ? Number(error.code) : 0, output, errors});
		});
	});
}

function write(name: string, text: string): string {
	const file = path.join(folder, name);
	writeFileSync(file, text);
	return file;
}

test('--version prints the version in package.json', async () => {
	const manifest = JSON.parse(readFileSync(fileURLToPath(new URL('../../../../package.json', import.meta.url)), 'utf8')) as {readonly version: string};
	assert.equal(manifest.version, version);
	const {output} = await run('--version');
	assert.equal(output.trim(), version);
});

test('check reports all faults of three invalid files, each with its line, path, value and expectation', async () => {
	const settings = write('settings.yaml', [
		'box: Not A Name',
		'dataCentre: dc-1',
		'callers: {host: here, port: 70000}',
		'peers: {host: 127.0.0.1, port: 1}',
		'operators: {host: 127.0.0.1, port: 2}',
	].join('\n'));
	const table = write('table.yaml', [
		'services: []',
		'accounts:',
		'  - name: a',
		'    keyHashes: [plain]',
		'rows:',
		'  - {account: b, kind: k, service: s, share: 0, ceiling: 1, priority: 10, repeatable: maybe}',
	].join('\n'));
	const broken = write('broken.yaml', 'rows: [\n');
	const {code, errors} = await run('check', settings, table, broken);
	assert.equal(code, 2);
	const expected = [
		`${settings}:1: box: "Not A Name": expected a lower-case name`,
		`${settings}:3: callers.host: "here": expected an IP number`,
		`${settings}:3: callers.port: 70000: expected a TCP port`,
		`${settings}:1: platform: missing: expected a value`,
		`${table}:4: accounts.0.keyHashes.0: "plain": expected "sha256:"`,
		`${table}:6: rows.0.priority: 10: expected a priority from 1`,
		`${table}:6: rows.0.repeatable: "maybe": expected boolean`,
		`${broken}:2:`,
	];
	assert.deepEqual(expected.filter(part => !errors.includes(part)), []);
});

test('a table is created, exported, edited and applied; a conflicting change fails and changes nothing', async () => {
	assert.equal((await run('service', 'create', 'assistant', '--type', 'model', '--pool', 'engines')).code, 0);
	const created = await run('account', 'create', 'dams', '-o', 'json');
	assert.match(created.output, /"key":"wd_/v);
	assert.equal((await run('table', 'edit', 'dams/assistant/write', 'share=1', 'ceiling=500', 'priority=2', 'repeatable=true')).code, 0);
	const exported = await run('table', 'get', '-o', 'csv');
	const csv = write('rows.csv', exported.output.replace('500', '700'));
	const yaml = write('table-mine.yaml', (await run('table', 'get')).output.replace('priority: 2', 'priority: 3'));
	assert.match((await run('table', 'diff', csv)).output, /ceiling: 500 -> 700/v);
	assert.equal((await run('table', 'apply', csv, '--comment', 'more for dams')).code, 0);
	const race = await run('table', 'apply', yaml);
	assert.equal(race.code, 3);
	assert.match(race.errors, /ceiling: 500 -> 700.*priority: 2 -> 3.*Both changed: row dams\/assistant\/write/sv);
	const history = await run('table', 'history', '-o', 'json');
	const [newest] = JSON.parse(history.output) as ReadonlyArray<{readonly comment: string}>;
	assert.equal(newest!.comment, 'more for dams');
});

test('invalid files, a file without a version and an unknown command exit with 2, and an unavailable platform with 4', async () => {
	const faulty = write('faulty.yaml', '# waydrift table, version 1\nservices: []\naccounts: []\nrows: [{}]\n');
	assert.equal((await run('table', 'apply', faulty)).code, 2);
	const unversioned = write('unversioned.yaml', 'services: []\naccounts: []\nrows: []\n');
	const {code, errors} = await run('table', 'apply', unversioned);
	assert.equal(code, 2);
	assert.match(errors, /--base/v);
	assert.equal((await run('table', 'get', '--platform', '127.0.0.1:1')).code, 4);
	assert.equal((await run('nonsense')).code, 2);
});

test('--wait succeeds at once if there are no live entry boxes', async () => {
	const {code, output} = await run('table', 'edit', 'dams/assistant/write', 'ceiling=800', '--wait', '1');
	assert.equal(code, 0);
	assert.match(output, /In force on every live box/v);
});
