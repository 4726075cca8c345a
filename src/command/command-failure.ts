/**
 * The error of a command that failed.
 */
import * as Data from 'effect/Data';
import type {ExitCode} from './exit-code.js';

/** Carries the exit code and the message for the operator. */
export class CommandFailure extends Data.TaggedError('CommandFailure')<{
	readonly exitCode: ExitCode;
	/** Lines of the message, printed to standard error. */
	readonly lines: readonly string[];
}> {}
