/**
 * Supervision: a role that fails is started again, alone, after a pause.
 */
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {EventLog} from '../base/event-log.js';

/** Milliseconds before a role that failed starts again; doubles with each failure in a row, so that one that cannot run fills no log. */
const restartPause = 1000;
const longestRestartPause = 30_000;
/** Milliseconds after which a role that ran counts as started well. */
const settledAfter = 60_000;

/** A part of the daemon that runs for as long as it does. */
export type Role = {
	readonly name: string;
	readonly run: Effect.Effect<unknown>;
};

/**
 * Runs roles until the scope closes, each under its own supervisor.
 *
 * @param roles - What to run.
 * @param log - Where failures are told.
 * @param onFailure - Called with the name of each role that failed.
 * @returns Ends when all have been started.
 */
export function superviseRoles(roles: readonly Role[], log: EventLog, onFailure?: (role: string) => void): Effect.Effect<void, never, Scope.Scope> {
	return Effect.all(roles.map(role => Effect.forkScoped(supervise(role, log, onFailure))), {discard: true});
}

function supervise({name, run}: Role, log: EventLog, onFailure?: (role: string) => void): Effect.Effect<never> {
	let failures = 0;
	const once = Effect.suspend(() => {
		const startedAt = performance.now();
		return run.pipe(Effect.asVoid, Effect.catchDefect(defect => Effect.sync(() => {
			failures = performance.now() - startedAt > settledAfter ? 1 : failures + 1;
			onFailure?.(name);
			log.write('roleFailed', {role: name, failures, detail: Cause.pretty(Cause.die(defect))});
		})));
	});
	const pause = Effect.suspend(() => Effect.sleep(Math.min(longestRestartPause, restartPause * (2 ** Math.max(0, failures - 1)))));
	return Effect.forever(once.pipe(Effect.andThen(pause)));
}
