/**
 * Signals to the process.
 */
import process from 'node:process';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';

/**
 * @param name - Which signal.
 * @returns Ends when the process gets it.
 */
export const signalled = (name: NodeJS.Signals): Effect.Effect<void> => Effect.callback<void>(resume => {
	const listener = () => {
		resume(Effect.void);
	};

	process.once(name, listener);
	return Effect.sync(() => {
		process.off(name, listener);
	});
});

/**
 * Listens for a signal until the scope closes. The listener stays between signals: without one Node ends the process.
 *
 * @param name - Which signal.
 * @param listener - Called each time the process gets it.
 * @returns Ends when it listens.
 */
export const onSignal = (name: NodeJS.Signals, listener: () => void): Effect.Effect<void, never, Scope.Scope> => Effect.acquireRelease(
	Effect.sync(() => {
		process.on(name, listener);
	}),
	() => Effect.sync(() => {
		process.off(name, listener);
	}),
);
