/**
 * Records exceptions that no scope handles, which would end a process. Development only.
 */
import process from 'node:process';
import type {TestContext} from 'node:test';

/**
 * @param context - A test.
 * @returns The exceptions that reach the event loop until the test ends.
 */
export function watchExceptions(context: TestContext): readonly unknown[] {
	const uncaught: unknown[] = [];
	const record = (error: unknown) => {
		uncaught.push(error);
	};

	process.on('uncaughtExceptionMonitor', record);
	context.after(() => {
		process.off('uncaughtExceptionMonitor', record);
	});
	return uncaught;
}
