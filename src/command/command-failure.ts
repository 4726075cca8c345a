/**
 * A command that could not do what it was asked to.
 */
import * as Data from 'effect/Data';
import type {ExitCode} from './exit-code.js';

/** Carries what to tell the operator and the exit code. */
export class CommandFailure extends Data.TaggedError('CommandFailure')<{
	readonly exitCode: ExitCode;
	/** Lines for the operator. */
	readonly lines: readonly string[];
}> {}
