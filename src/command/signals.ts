/**
 * Signals to the process.
 */
import process from 'node:process';
import * as Effect from 'effect/Effect';

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
