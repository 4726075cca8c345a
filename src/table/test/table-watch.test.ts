import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {FakeObjectStore, FakeObjects} from '../../../development/fuzz/fake-object-store.js';
import {VirtualTime} from '../../../development/fuzz/virtual-time.js';
import {SilentEventLog} from '../../base/event-log.js';
import {emptyTable} from '../table.js';
import {TableView} from '../table-view.js';
import {TableWatch} from '../table-watch.js';
import {encodeVersionedTable, tableKey} from '../versioned-table.js';

const edit = {
	id: 'first', author: 'test', comment: '', at: 0, base: 0, previous: '',
};

test('an unchanged table costs one call for each watch interval, not a busy loop of calls', async () => {
	const time = VirtualTime.start();
	try {
		const objects = new FakeObjects(() => time.now);
		const store = FakeObjectStore.create(objects);
		let calls = 0;
		const read = objects.read.bind(objects);
		objects.read = key => {
			calls++;
			return read(key);
		};

		objects.write(tableKey, encodeVersionedTable(edit, emptyTable), 0);
		const log = SilentEventLog.create();
		const view = TableView.create(log);
		Effect.runFork(TableWatch.create(store, view, log).run());
		await time.advance(120_000);
		assert.equal(view.version, 1);
		assert.ok(calls <= 6, `${calls} calls in two minutes`);
	} finally {
		time.stop();
	}
});

test('a table that cannot be decoded leaves the previous one in force and does not block later versions', async () => {
	const time = VirtualTime.start();
	try {
		const objects = new FakeObjects(() => time.now);
		const log = SilentEventLog.create();
		const view = TableView.create(log);
		objects.write(tableKey, encodeVersionedTable(edit, emptyTable), 0);
		Effect.runFork(TableWatch.create(FakeObjectStore.create(objects), view, log).run());
		await time.advance(100);
		objects.write(tableKey, '{"edit":', 1);
		await time.advance(60_000);
		assert.equal(view.version, 1);
		objects.write(tableKey, encodeVersionedTable({...edit, id: 'second', base: 2}, emptyTable), 2);
		await time.advance(60_000);
		assert.equal(view.version, 3);
	} finally {
		time.stop();
	}
});
