import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {test} from 'node:test';
import {BunyanEventLog} from '../event-log.js';

test('an event is one line of JSON with its number, its name and its fields', () => {
	const lines: string[] = [];
	const stream = new Writable({
		write(chunk, _encoding, done) {
			lines.push(String(chunk));
			done();
		},
	});
	BunyanEventLog.create('entry-1', stream).write('tableApplied', {version: 3});
	const {event, eventName, version, box} = JSON.parse(lines.join('')) as Readonly<Record<string, unknown>>;
	assert.deepEqual({
		event, eventName, version, box,
	}, {
		event: 2001, eventName: 'tableApplied', version: 3, box: 'entry-1',
	});
});
