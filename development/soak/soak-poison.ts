/**
 * The requests of a soak test that crash replicas.
 */

/** Text in the bodies that makes replicas crash. */
export const poisonMark = 'poison of the soak';
/** Number of attempts to send such a request. */
const poisonAttempts = 20;
/** The part of their prompts that no other request has, if prompts have parts. */
export const poisonPart = 'crashing';

/**
 * @param hasParts - Whether the requests differ and share a part of their prompts; otherwise one request is sent again and again.
 * @returns The bodies in the order in which they are sent.
 */
export function poisonBodies(hasParts: boolean): readonly string[] {
	return Array.from({length: poisonAttempts}, (_, index) => hasParts ? `${poisonMark} ${index}` : poisonMark);
}
