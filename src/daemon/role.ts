/**
 * Supervision of roles: a role that fails is restarted after a delay; the other roles keep running.
 */
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {EventLog} from '../base/event-log.js';

/**
 * Delay before a failed role is restarted, in milliseconds. It doubles with each consecutive failure, so that a role that always fails
 * does not flood the log.
 */
const restartDelay = 1000;
/** Upper limit of the delay, in milliseconds. */
const maxRestartDelay = 30_000;
/** Time in milliseconds that a role has to run before its next failure counts as the first again. */
const failureResetAfter = 60_000;

/** A long-running task of the daemon. */
export type Role = {
	readonly name: string;
	readonly run: Effect.Effect<unknown>;
};

/**
 * Runs roles until the scope closes, each under its own supervisor.
 *
 * @param roles - The roles to run.
 * @param log - Receives an event for each failure.
 * @param onFailure - Called with the name of a role each time it fails.
 * @returns Ends when all roles have been started.
 */
export function superviseRoles(roles: readonly Role[], log: EventLog, onFailure?: (role: string) => void): Effect.Effect<void, never, Scope.Scope> {
	return Effect.all(roles.map(role => Effect.forkScoped(supervise(role, log, onFailure))), {discard: true});
}

function supervise({name, run}: Role, log: EventLog, onFailure?: (role: string) => void): Effect.Effect<never> {
	let failures = 0;
	const runOnce = Effect.suspend(() => {
		const startedAt = performance.now();
		return run.pipe(Effect.asVoid, Effect.catchDefect(defect => Effect.sync(() => {
			failures = performance.now() - startedAt > failureResetAfter ? 1 : failures + 1;
			onFailure?.(name);
			log.write('roleFailed', {role: name, failures, detail: Cause.pretty(Cause.die(defect))});
		})));
	});
	const delay = Effect.suspend(() => Effect.sleep(Math.min(maxRestartDelay, restartDelay * (2 ** Math.max(0, failures - 1)))));
	return Effect.forever(runOnce.pipe(Effect.andThen(delay)));
}
