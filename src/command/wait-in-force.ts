/**
 * Waits until a version of the table is in force on every live entry box, according to the summaries of the data centres.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type {BoxId} from '../base/identifiers.js';
import type {ObjectVersion} from '../external/object-store.js';
import {decodeSummary, summaryPrefix, type DataCentreSummary} from '../status/data-centre-summary.js';
import {CommandFailure} from './command-failure.js';
import {exitCode} from './exit-code.js';
import {readBoxes, unavailable, type Operator} from './operator.js';

/** Interval between two reads of the summaries, in milliseconds. */
const pollInterval = 1000;

/**
 * @param operator - Connection to the platform.
 * @returns The summaries of all data centres, without those that cannot be decoded.
 */
export function readSummaries({store}: Operator): Effect.Effect<readonly DataCentreSummary[], CommandFailure> {
	return store.list(summaryPrefix).pipe(
		Effect.flatMap(keys => Effect.all(keys.map(key => store.read(key)))),
		Effect.map(objects => objects.flatMap(({value}) => {
			const decoded = decodeSummary(value);
			return Result.isSuccess(decoded) ? [decoded.success] : [];
		})),
		Effect.mapError(failure => unavailable(failure)),
	);
}

/** @returns The live entry boxes that do not yet report this version or a later one. */
function outdatedBoxes(operator: Operator, version: ObjectVersion): Effect.Effect<readonly BoxId[], CommandFailure> {
	return Effect.gen(function * () {
		const {boxes} = yield * readBoxes(operator);
		const summaries = yield * readSummaries(operator);
		const upToDate = new Set(summaries.flatMap(summary => summary.boxes).filter(box => box.tableVersion >= version).map(({box}) => box));
		return boxes.filter(({role, state, id}) => role === 'entry' && state === 'live' && !upToDate.has(id)).map(({id}) => id);
	});
}

/**
 * @param operator - Connection to the platform.
 * @param version - The accepted version.
 * @param seconds - Maximum time to wait, in seconds.
 * @returns Ends when the version is in force on every live entry box; fails with the boxes that do not report it in time.
 */
export function waitInForce(operator: Operator, version: ObjectVersion, seconds: number): Effect.Effect<void, CommandFailure> {
	return Effect.gen(function * () {
		const endsAt = performance.now() + (seconds * 1000);
		let outdated = yield * outdatedBoxes(operator, version);
		while (outdated.length > 0 && performance.now() < endsAt) {
			yield * Effect.sleep(pollInterval);
			outdated = yield * outdatedBoxes(operator, version);
		}

		if (outdated.length > 0) {
			return yield * Effect.fail(new CommandFailure({
				exitCode: exitCode.notInForce,
				lines: [`Version ${version} was accepted, but these boxes do not tell that it is in force: ${outdated.join(', ')}`],
			}));
		}
	});
}
