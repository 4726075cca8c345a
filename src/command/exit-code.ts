/**
 * Exit codes of the command line; docs/OPERATING.md lists them.
 */

/** The exit codes of the process. */
export const exitCode = {
	done: 0,
	/** A fault of the program or of a service that it uses. */
	failed: 1,
	/** The command line, a file or the table is wrong; nothing was changed. */
	invalid: 2,
	/** Another operator changed the table meanwhile; this command changed nothing. */
	conflict: 3,
	/** The platform does not answer. */
	unavailable: 4,
	/** The change was accepted, but was not in force on every box within the given time. */
	notInForce: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof exitCode[keyof typeof exitCode];
