/**
 * Exit codes of the command line; docs/OPERATING.md lists them.
 */

/** What the process tells its caller. */
export const exitCode = {
	done: 0,
	/** A fault of the program or of what it reaches. */
	failed: 1,
	/** The command line, a file or the table is wrong; nothing was changed. */
	invalid: 2,
	/** Somebody else changed the table meanwhile; nothing was changed. */
	conflict: 3,
	/** The platform does not answer. */
	unavailable: 4,
	/** Done, but not in force everywhere within the time given. */
	notInForce: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof exitCode[keyof typeof exitCode];
