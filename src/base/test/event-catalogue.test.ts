import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {events} from '../event-catalogue.js';
import {refusalReasons} from '../refusal-reason.js';

const read = (name: string) => readFileSync(fileURLToPath(new URL(`../../../../docs/${name}`, import.meta.url)), 'utf8');

test('docs/EVENTS.md lists exactly the events of the code', () => {
	const page = read('EVENTS.md').split('\n').filter(line => /^\| \d/v.test(line));
	const code = Object.entries(events).map(([name, {number, level, text}]) => `| ${number} | ${name} | ${level} | ${text} |`);
	assert.deepEqual(page, code);
});

test('every number belongs to one event', () => {
	const numbers = Object.values(events).map(({number}) => number);
	assert.equal(new Set(numbers).size, numbers.length);
});

test('docs/CALLERS.md lists every reason for a refusal with its status and verdict', () => {
	const page = read('CALLERS.md').split('\n').filter(line => /^\| `[a-z\-]+` \| \d/v.test(line));
	const code = Object.entries(refusalReasons).map(([reason, {status, verdict, title}]) => `| \`${reason}\` | ${status} | ${verdict} | ${title} |`);
	assert.deepEqual(page, code);
});
