/**
 * `waydrift rollout`: the state of the rollouts on the users' platform, and the evidence that it is based on.
 */
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import type {PlatformLink} from '../node/platform-link.js';
import {allRoutes} from '../rollout/fleet-evidence.js';
import type {StoredRollout} from '../rollout/rollout-order.js';
import {progressOf, type RolloutProgress} from '../rollout/rollout-progress.js';
import {readAddress} from '../settings/relay-settings.js';
import {CommandFailure} from './command-failure.js';
import {createPlatformLink} from './create-platform-link.js';
import {exitCode} from './exit-code.js';
import {printValue, type OutputFormat} from './output.js';

/** Options of the command. */
export type RolloutOptions = {
	/** Address of the platform's metadata store. */
	readonly store: string;
	/** Name of the service; all by default. */
	readonly service: string | undefined;
	readonly format: OutputFormat;
};

/** A rollout as it is printed. */
type RolloutSummary = {
	readonly service: string;
	readonly target: string;
	readonly state: string;
	readonly phase: string;
	readonly share: number;
	readonly requestsOnTrial: number;
	readonly reason: string;
	readonly evidence: ReadonlyArray<{readonly route: string; readonly good: number; readonly bad: number; readonly suspicion: number}>;
};

/**
 * @param options - Options of the command.
 * @returns Prints the rollouts.
 */
export function printRollouts({store, service, format}: RolloutOptions): Effect.Effect<void, CommandFailure> {
	return readRollouts(createPlatformLink({store: readAddress(store), duties: undefined})).pipe(Effect.map(rollouts => {
		const summaries = rollouts.filter(({order}) => service === undefined || order.service === service).map(rollout => summaryOf(rollout));
		printValue(format, summaries, () => ({
			head: ['SERVICE', 'TARGET', 'STATE', 'PHASE', 'SHARE', 'ROUTE', 'GOOD', 'BAD', 'SUSPICION', 'WHY'],
			rows: summaries.flatMap(summary => rowsOf(summary)),
		}));
	}));
}

function readRollouts({store, names}: PlatformLink): Effect.Effect<readonly StoredRollout[], CommandFailure> {
	return store.list(names.rolloutKind).pipe(
		Effect.map(({objects}) => objects.flatMap(object => {
			const decoded = names.decodeRollout(object);
			return Result.isSuccess(decoded) ? [decoded.success] : [];
		})),
		Effect.mapError(({detail}) => new CommandFailure({exitCode: exitCode.unavailable, lines: [`The store does not answer: ${detail}.`]})),
	);
}

function summaryOf(rollout: StoredRollout): RolloutSummary {
	const {order: {service, target}, status} = rollout;
	const progress: RolloutProgress | undefined = progressOf(rollout);
	return {
		service,
		target,
		state: progress ? status?.state ?? 'active' : 'ordered',
		phase: progress?.phase ?? 'ordered',
		share: progress?.share ?? 0,
		requestsOnTrial: progress?.spent ?? 0,
		reason: progress?.reason ?? 'no box has taken a step yet',
		evidence: (progress?.tallies ?? []).map(([route, good, bad, suspicion]) => ({
			route: route === allRoutes ? 'all routes' : route, good, bad, suspicion,
		})),
	};
}

function rowsOf({service, target, state, phase, share, reason, evidence}: RolloutSummary): ReadonlyArray<readonly string[]> {
	const head = [service, target, state, phase, String(share)];
	return evidence.length === 0
		? [[...head, '', '', '', '', reason]]
		: evidence.map(({route, good, bad, suspicion}, index) => [...(index === 0 ? head : head.map(() => '')), route, String(good), String(bad), String(suspicion), index === 0 ? reason : '']);
}
