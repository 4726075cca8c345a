/**
 * Invariant: an accepted configuration is never reverted. Runs the real table editor and views with concurrent edits of two operators.
 */
import assert from 'node:assert/strict';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import fc from 'fast-check';
import {SilentEventLog} from '../../src/base/event-log.js';
import {emptyTable, type Table} from '../../src/table/table.js';
import {TableEditor} from '../../src/table/table-editor.js';
import {TableView} from '../../src/table/table-view.js';
import {TableWatch} from '../../src/table/table-watch.js';
import {decodeVersionedTable, tableKey} from '../../src/table/versioned-table.js';
import {FakeObjectStore, FakeObjects, type CallOutcome} from './fake-object-store.js';
import {step, type Suite} from './suite.js';
import type {VirtualTime} from './virtual-time.js';

const operatorCount = 2;
const boxCount = 3;

type Outcome = {readonly name: string; readonly kind: string; readonly version: number};

class TableWorld {
	readonly objects: FakeObjects;
	readonly operators: readonly FakeObjectStore[];
	readonly boxes: ReadonlyArray<{readonly store: FakeObjectStore; readonly view: TableView}>;
	readonly outcomes: Outcome[] = [];
	/** Table versions that came into force, in order, for each box. */
	readonly appliedVersions: ReadonlyArray<readonly number[]>;
	pending = 0;
	private edits = 0;
	private readonly accepted: Array<{readonly version: number; readonly value: string}> = [];

	constructor(readonly time: VirtualTime) {
		this.objects = new FakeObjects(() => time.now);
		this.recordAccepted();
		this.operators = Array.from({length: operatorCount}, () => FakeObjectStore.create(this.objects));
		const seen: number[][] = [];
		this.appliedVersions = seen;
		this.boxes = Array.from({length: boxCount}, (_, index) => {
			const log = SilentEventLog.create();
			const store = FakeObjectStore.create(this.objects);
			const view = TableView.create(log);
			seen.push([]);
			view.onDidApply(({version}) => seen[index]!.push(version));
			Effect.runFork(TableWatch.create(store, view, log).run());
			return {store, view};
		});
	}

	edit(operator: number): void {
		this.edits++;
		const name = `edit-${this.edits}`;
		const editor = TableEditor.create(this.operators[operator]!);
		this.pending++;
		const change = Effect.gen(function * () {
			const current = yield * editor.read();
			const table: Table = {
				...emptyTable, services: [{
					name, type: 'model', pool: 'pool', deadline: 1, latencyWeight: 1,
				}],
			} as unknown as Table;
			return yield * editor.apply({
				base: current.version, table, author: 'fuzz', comment: name,
			});
		});
		Effect.runFork(change.pipe(
			Effect.map(({version}) => ({name, kind: 'accepted', version})),
			Effect.catch(error => Effect.succeed({name, kind: error._tag, version: 0})),
			Effect.map(outcome => {
				this.pending--;
				this.outcomes.push(outcome);
			}),
		));
	}

	/** Applies an outdated table to a box, as a peer or a stale read may deliver it. */
	replay(box: number, turn: number): void {
		const old = this.accepted[turn % Math.max(1, this.accepted.length)];
		const decoded = old && decodeVersionedTable(old.version, old.value);
		if (decoded && Result.isSuccess(decoded)) {
			this.boxes[box]!.view.apply(decoded.success);
		}
	}

	private recordAccepted(): void {
		const write = this.objects.write.bind(this.objects);
		this.objects.write = (key, value, expected) => {
			const version = write(key, value, expected);
			if (key === tableKey && version !== undefined) {
				this.accepted.push({version, value});
			}

			return version;
		};
	}
}

/** Mostly normal outcomes, since an edit consists of three calls and the fault of interest is that of the last one. */
const callFates = fc.array(fc.constantFrom<CallOutcome>('normal', 'normal', 'normal', 'normal', 'lost-answer', 'lost-answer', 'lost-call', 'late', 'slow'), {minLength: 1, maxLength: 6});

const steps = fc.oneof(
	{
		weight: 5, arbitrary: fc.integer({min: 0, max: operatorCount - 1}).map(operator => step<TableWorld>(`operator ${operator} edits`, world => {
			world.edit(operator);
		})),
	},
	{
		weight: 3, arbitrary: fc.tuple(fc.integer({min: 0, max: operatorCount - 1}), callFates).map(([operator, fates]) =>
			step<TableWorld>(`next store calls of operator ${operator}: ${fates.join(', ')}`, world => {
				world.operators[operator]!.callOutcomes.push(...fates);
			})),
	},
	{
		weight: 2, arbitrary: fc.tuple(fc.integer({min: 0, max: boxCount - 1}), fc.boolean()).map(([box, isOut]) =>
			step<TableWorld>(`store unavailable for box ${box}: ${String(isOut)}`, world => {
				world.boxes[box]!.store.isUnavailable = isOut;
			})),
	},
	{
		weight: 1, arbitrary: fc.tuple(fc.integer({min: 0, max: boxCount - 1}), fc.nat(20)).map(([box, turn]) => step<TableWorld>(`an outdated table reaches box ${box}`, world => {
			world.replay(box, turn);
		})),
	},
	{
		weight: 3, arbitrary: fc.constantFrom(20, 300, 3000).map(milliseconds => step<TableWorld>(`wait ${milliseconds}`, async world => {
			await world.time.advance(milliseconds);
		})),
	},
);

/** Two operators that edit the table, and three boxes that follow it. */
export const tableSuite: Suite<TableWorld> = {
	name: 'table',
	steps,
	create: time => new TableWorld(time),
	async check(world, time) {
		for (const store of [...world.operators, ...world.boxes.map(box => box.store)]) {
			store.isUnavailable = false;
			store.callOutcomes = [];
		}

		await time.advance(90_000);
		assert.equal(world.pending, 0, 'edits without an answer');
		const reading = Effect.runPromise(TableEditor.create(FakeObjectStore.create(world.objects)).history(100));
		await time.advance(5000);
		const history = await reading;
		checkOutcomes(world, history);
		checkBoxes(world);
	},
	faults: world => world.objects.faults,
};

function checkOutcomes(world: TableWorld, history: ReadonlyArray<{readonly edit: {readonly comment: string}; readonly version: number}>): void {
	for (const {name, kind, version} of world.outcomes) {
		const accepted = history.find(({edit}) => edit.comment === name);
		if (kind === 'accepted') {
			assert.equal(accepted?.version, version, `${name} was reported as accepted as version ${version}, but is not in the history under it`);
		} else if (kind === 'TableConflict') {
			assert.equal(accepted, undefined, `${name} was reported as a conflict, but was accepted as version ${accepted?.version}`);
		}
	}
}

function checkBoxes(world: TableWorld): void {
	const current = world.objects.read(tableKey).version;
	for (const [index, versions] of world.appliedVersions.entries()) {
		assert.deepEqual([...versions].sort((left, right) => left - right), versions, `box ${index} returned to an older version: ${versions.join(', ')}`);
		assert.equal(world.boxes[index]!.view.version, current, `box ${index} does not have the current version`);
	}
}
