/**
 * The terms on which parts of a ceiling are granted. docs/DESIGN.md, "Ceilings without a coordinator",
 * shows why the parts in use never sum up to more than the ceiling.
 */

/** Milliseconds for which a grant is valid, from when it was requested. */
export const grantLifetime = 3000;
/** Milliseconds by which the fallback of a box may lag behind the estimate of the owner. */
export const fallbackMargin = 500;
/** Milliseconds after the request of the last grant from which a box uses its fair part. */
export const fallbackDelay = (2 * grantLifetime) + fallbackMargin;

/** A demand that a box sends to the owner of a row. */
export type CeilingDemand = {
	/** Name of the row. */
	readonly row: string;
	/** Recent demand at this box, in units a second. */
	readonly rate: number;
};

/** A rate that the owner grants to a box. */
export type CeilingGrant = {
	readonly row: string;
	/** Units a second. */
	readonly rate: number;
};
