/**
 * The terms on which parts of a ceiling are granted. docs/DESIGN.md, "Ceilings without a coordinator",
 * shows why the parts in use never sum up to more than the ceiling.
 */

/** Milliseconds a grant may be spent, from when it was asked for. */
export const grantLifetime = 3000;
/** Milliseconds by which a box falls back later than its owner thinks it does. */
export const fallbackMargin = 500;
/** Milliseconds after the last grant from which a box takes its fair part. */
export const fallbackDelay = (2 * grantLifetime) + fallbackMargin;

/** What a box asks the owner of a row for. */
export type CeilingDemand = {
	/** Name of the row. */
	readonly row: string;
	/** Units a second that were asked of this box lately. */
	readonly rate: number;
};

/** What the owner grants. */
export type CeilingGrant = {
	readonly row: string;
	/** Units a second. */
	readonly rate: number;
};
