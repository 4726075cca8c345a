/**
 * Signals that the process receives.
 */
import process from 'node:process';

/**
 * Listens for a signal until the process exits. A listener that was removed before would leave a signal that arrives during the exit to its default
 * action, which ends the process as if it had been killed.
 *
 * @param name - Name of the signal.
 * @param listener - Called each time the process gets the signal.
 */
export const onSignal = (name: NodeJS.Signals, listener: () => void): void => {
	process.on(name, listener);
};
