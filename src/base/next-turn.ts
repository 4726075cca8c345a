/**
 * Waits for the next turn of the event loop.
 */
import * as Effect from 'effect/Effect';

/** Completes after what has arrived on open connections was read. After a delay of the process, timers run before that. */
export const nextTurn = Effect.callback<void>(resume => {
	setImmediate(() => {
		resume(Effect.void);
	});
});
