/**
 * Supervision: a role that fails is started again, alone, after a pause.
 */
import * as Cause from 'effect/Cause';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type {EventLog} from '../base/event-log.js';

/** Milliseconds before a role that failed starts again. */
const restartPause = 1000;

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
 * @returns Ends when all have been started.
 */
export function superviseRoles(roles: readonly Role[], log: EventLog): Effect.Effect<void, never, Scope.Scope> {
	return Effect.all(roles.map(role => Effect.forkScoped(Effect.forever(superviseOnce(role, log)))), {discard: true});
}

function superviseOnce({name, run}: Role, log: EventLog): Effect.Effect<void> {
	return run.pipe(
		Effect.asVoid,
		Effect.catchDefect(defect => Effect.sync(() => {
			log.write('roleFailed', {role: name, detail: Cause.pretty(Cause.die(defect))});
		})),
		Effect.andThen(Effect.sleep(restartPause)),
	);
}
