/**
 * Reports and checks what came of drawn histories in which all relays were killed. Development only.
 */
import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import type {TestContext} from 'node:test';
import {gzipSync} from 'node:zlib';
import {
	maxRefusalTime, minContinued, type RestartOutcome, type TakeUp,
} from './restart-history.js';
import type {RelayLine} from './relay-host.js';

/** Settled streams at the first attempt to take them up. */
const settledOf = ({takeUps}: RestartOutcome): readonly TakeUp[] => takeUps.filter(({isSettled, tries, result}) => isSettled && tries === 0 && (result === 'continued' || result === 'refused'));

const refusedOf = ({takeUps}: RestartOutcome): readonly TakeUp[] => takeUps.filter(({result}) => result === 'refused');

const countOf = (takeUps: readonly TakeUp[], result: TakeUp['result']): number => takeUps.filter(takeUp => takeUp.result === result).length;
const countContinued = (takeUps: readonly TakeUp[]): number => countOf(takeUps, 'continued');

const round = (values: readonly number[]): string => values.map(value => Math.round(value)).join(' ');

const linesOfEvent = (lines: readonly RelayLine[], ...names: readonly string[]): readonly RelayLine[] => lines.filter(({eventName}) => names.includes(String(eventName)));

/** @returns Log lines of the box about an attempt. */
const linesOfAttempt = ({lines: starts}: RestartOutcome, {attempt, relay}: TakeUp): readonly RelayLine[] => starts
	.filter(start => start.relay === relay)
	.flatMap(({lines}) => lines.filter(({request}) => request === attempt));

/**
 * A box in the process of all boxes and clients also waits for their work, which is not counted.
 *
 * @returns Milliseconds after which the box refused an attempt.
 */
function refusalTime(outcome: RestartOutcome, takeUp: TakeUp): number {
	const [line] = linesOfEvent(linesOfAttempt(outcome, takeUp), 'requestRefused');
	return Math.max(0, Number(line?.took ?? Number.POSITIVE_INFINITY) - takeUp.stall);
}

/** Folder in which the outcome of each history is kept; none if it is not set. */
const folder = process.env.RESTART_LOGS;

/**
 * Prints the figures of a history, and keeps it if RESTART_LOGS names a folder.
 *
 * @param context - The test.
 * @param outcome - What came of the history.
 */
export function reportOutcome(context: TestContext, outcome: RestartOutcome): void {
	const {plan, streams, joined, takeUps, firstBegins} = outcome;
	const settled = settledOf(outcome);
	const refused = refusedOf(outcome);
	const times = refused.map(takeUp => refusalTime(outcome, takeUp));
	context.diagnostic([
		`seed ${plan.seed}${plan.hasStoreFaults ? ' with faults of the store' : ''}: ${plan.rounds.length} losses, ${streams} streams`,
		`${joined.length} joined`,
		`${countContinued(settled)} of ${settled.length} settled went on, ${countContinued(takeUps)} of ${takeUps.length} attempts`,
		`${refused.length} refused, ${times.filter(time => time > maxRefusalTime).length} after more than ${maxRefusalTime} ms`,
		`the slowest after ${round([Math.max(0, ...times)])} ms, ${round([Math.max(0, ...refused.map(({duration}) => duration))])} ms for its client`,
		`${countOf(takeUps, 'cut')} cut by the end of their replicas, ${countOf(takeUps, 'unread')} closed unread`,
		`first stream ${round(firstBegins)} ms after the first box was ready`,
	].join('; '));
	if (folder !== undefined) {
		writeFileSync(path.join(folder, `seed-${plan.seed}.json.gz`), gzipSync(JSON.stringify(outcome)));
	}
}

/**
 * Fails if a stream was joined, if a stream was refused in another way than as not run, or if the log does not explain what was decided.
 *
 * @param outcome - What came of a history.
 * @param command - Command that plays it again.
 */
export function assertNotJoined(outcome: RestartOutcome, command: string): void {
	const {joined, torn} = outcome;
	const replay = `replay: ${command}`;
	assert.equal(joined.length, 0, `${replay}\n${joined.map(({name, versions, lines}) => [`${name}: ${versions.join(' ')}`, ...lines.map(line => JSON.stringify(line))].join('\n')).join('\n')}`);
	assert.deepEqual(torn, [], replay);
	for (const refused of refusedOf(outcome)) {
		const lines = linesOfAttempt(outcome, refused);
		const shown = [replay, ...[refused, ...lines].map(line => JSON.stringify(line))].join('\n');
		assert.equal(refused.status, 503, shown);
		assert.match(refused.body, /"verdict":"not-run"/v, shown);
	}

	for (const {relay, start, becameReady, lines} of outcome.lines) {
		const shown = `${replay}\n${relay}, start ${start}`;
		assert.ok(!becameReady || linesOfEvent(lines, 'versionHistoryRestored', 'versionHistoryMissing').length > 0, shown);
		assertExplained(linesOfEvent(lines, 'requestAnswered', 'requestRefused', 'clientLeft'), shown);
	}
}

/**
 * Fails if a stream was not refused at once. For boxes in the process of the test, whose delays are measured.
 *
 * @param outcome - What came of a history.
 * @param command - Command that plays it again.
 */
export function assertRefusedAtOnce(outcome: RestartOutcome, command: string): void {
	for (const refused of refusedOf(outcome)) {
		assert.ok(refusalTime(outcome, refused) <= maxRefusalTime, [`replay: ${command}`, ...[refused, ...linesOfAttempt(outcome, refused)].map(line => JSON.stringify(line))].join('\n'));
	}
}

/** Fails if the lines of streams do not tell by what their version was known. A stream that ran through another box is explained by the line of that box. */
function assertExplained(lines: readonly RelayLine[], shown: string): void {
	const decided = lines.filter(({status, reason, via}) => via === undefined && (status === 200 || reason === 'stream-version-gone' || reason === 'stream-origin-unknown'));
	for (const line of decided) {
		const isTakenUp = line.resumesAttempt !== undefined || line.versionSource !== undefined;
		const [field, type] = isTakenUp ? ['versionSource', 'string'] : ['versionRecorded', 'boolean'];
		assert.equal(typeof line[field], type, `${field}, ${shown}\n${JSON.stringify(line)}`);
		assert.equal(typeof line.historyComplete, 'boolean', `${shown}\n${JSON.stringify(line)}`);
	}
}

/**
 * Prints how many streams went on, and fails if these were too few while the store did not fail.
 *
 * @param context - The test.
 * @param outcomes - What came of all histories.
 */
export function assertSettledContinued(context: TestContext, outcomes: readonly RestartOutcome[]): void {
	const part = (hasStoreFaults: boolean) => outcomes.filter(({plan}) => plan.hasStoreFaults === hasStoreFaults).flatMap(outcome => settledOf(outcome));
	const sound = part(false);
	const faulty = part(true);
	const summary = `${countContinued(sound)} of ${sound.length} settled went on without faults of the store, ${countContinued(faulty)} of ${faulty.length} with faults`;
	context.diagnostic(summary);
	assert.ok(sound.length > 0 || outcomes.every(({plan}) => plan.hasStoreFaults), summary);
	assert.ok(countContinued(sound) >= sound.length * minContinued, summary);
}
