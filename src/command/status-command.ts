/**
 * `waydrift status` and `waydrift boxes`: the state of the table, the entry boxes and the pools.
 */
import * as Effect from 'effect/Effect';
import type {Box} from '../external/box-list.js';
import type {DataCentreSummary} from '../status/data-centre-summary.js';
import type {CommandFailure} from './command-failure.js';
import {readSummaries} from './wait-in-force.js';
import {readBoxes, readTable, type Operator} from './operator.js';
import {
	print, printValue, renderTable, type OutputFormat,
} from './output.js';

/** Interval between two prints of `status --watch`, in milliseconds. */
const watchInterval = 2000;

type BoxStatus = {
	readonly box: string;
	readonly dataCentre: string;
	readonly state: string;
	readonly tableVersion: number | undefined;
	readonly inProgress: number | undefined;
};

type PoolStatus = {
	readonly pool: string;
	readonly live: number;
	readonly leaving: number;
	/** Price units per hour. */
	readonly price: number;
};

type Status = {
	readonly tableVersion: number;
	readonly edit: string;
	readonly entryBoxes: readonly BoxStatus[];
	readonly pools: readonly PoolStatus[];
};

function entryStatus(boxes: readonly Box[], summaries: readonly DataCentreSummary[]): readonly BoxStatus[] {
	const reported = new Map(summaries.flatMap(summary => summary.boxes).map(box => [box.box, box]));
	return boxes.filter(({role}) => role === 'entry').map(({id, dataCentre, state}) => ({
		box: id,
		dataCentre,
		state: reported.get(id)?.isStopping ? 'stopping' : state,
		tableVersion: reported.get(id)?.tableVersion,
		inProgress: reported.get(id)?.inProgress,
	}));
}

function poolStatus(boxes: readonly Box[], summaries: readonly DataCentreSummary[]): readonly PoolStatus[] {
	const leaving = new Set(summaries.flatMap(summary => summary.leaving));
	const isLeaving = ({id, state}: Box) => state === 'leaving' || leaving.has(id);
	const pools = [...new Set(boxes.flatMap(({pool}) => pool === undefined ? [] : [pool]))];
	return pools.map(pool => {
		const members = boxes.filter(box => box.pool === pool);
		let price = 0;
		for (const member of members) {
			price += member.price;
		}

		const leavingCount = members.filter(member => isLeaving(member)).length;
		return {
			pool, live: members.length - leavingCount, leaving: leavingCount, price,
		};
	});
}

function readStatus(operator: Operator): Effect.Effect<Status, CommandFailure> {
	return Effect.gen(function * () {
		const {version, edit} = yield * readTable(operator);
		const {boxes} = yield * readBoxes(operator);
		const summaries = yield * readSummaries(operator);
		return {
			tableVersion: version,
			edit: edit.id,
			entryBoxes: entryStatus(boxes, summaries),
			pools: poolStatus(boxes, summaries),
		};
	});
}

function describe({tableVersion, edit, entryBoxes, pools}: Status): string {
	const numberOrUnknown = (value: number | undefined) => value === undefined ? '?' : String(value);
	return [
		`Table: version ${tableVersion}, edit ${edit.slice(0, 8)}`,
		'',
		renderTable({
			head: ['ENTRY BOX', 'DATA CENTRE', 'STATE', 'TABLE', 'REQUESTS'],
			rows: entryBoxes.map(box => [box.box, box.dataCentre, box.state, numberOrUnknown(box.tableVersion), numberOrUnknown(box.inProgress)]),
		}),
		'',
		renderTable({
			head: ['POOL', 'LIVE', 'LEAVING', 'PRICE/H'],
			rows: pools.map(({pool, live, leaving, price}) => [pool, String(live), String(leaving), price.toFixed(2)]),
		}),
	].join('\n');
}

/**
 * `status`.
 *
 * @param operator - Connection to the platform.
 * @param isWatching - Whether to print repeatedly.
 * @param format - Output format.
 */
export function printStatus(operator: Operator, isWatching: boolean, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	const once = readStatus(operator).pipe(Effect.map(status => {
		print(format === 'json' ? JSON.stringify(status) : `${describe(status)}\n`);
	}));
	return isWatching ? Effect.forever(once.pipe(Effect.andThen(Effect.sleep(watchInterval)))) : once;
}

/**
 * `boxes`.
 *
 * @param operator - Connection to the platform.
 * @param format - Output format.
 */
export function printBoxes(operator: Operator, format: OutputFormat): Effect.Effect<void, CommandFailure> {
	return readBoxes(operator).pipe(Effect.map(({boxes}) => {
		printValue(format, boxes, () => ({
			head: ['BOX', 'ROLE', 'POOL', 'DATA CENTRE', 'CLASS', 'RECLAIMABLE', 'PRICE/H', 'STATE'],
			rows: boxes.map(box => [
				box.id, box.role, box.pool ?? '', box.dataCentre, box.machineClass, box.reclaimable ? 'yes' : 'no', box.price.toFixed(2), box.state,
			]),
		}));
	}));
}
