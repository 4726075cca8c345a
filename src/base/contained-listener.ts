/**
 * Makes an exception in an event listener end the effect that registered the listener. Otherwise it would end the process, with all other
 * requests.
 */
import * as Effect from 'effect/Effect';

/**
 * @param resume - Completes the effect that the listener belongs to.
 * @param listener - Handles an event.
 * @returns A listener that never throws.
 */
export const containedListener = <Parameters extends readonly unknown[]>(
	resume: (effect: Effect.Effect<never>) => void,
	listener: (...parameters: Parameters) => void,
) => (...parameters: Parameters): void => {
	try {
		listener(...parameters);
	} catch (error) {
		resume(Effect.die(error));
	}
};
