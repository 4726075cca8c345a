/**
 * What the replicas of the tests answer, so that a client can tell a whole answer from a part of one.
 */

/** Events of a whole stream, numbered from 1. */
export const eventsOf = 25;

/** The body of a plain answer. */
export const plainBody = (replica, attempt) => `begin of the answer of ${replica} to ${attempt}\n${'0123456789'.repeat(80)}\nend of the answer of ${replica} to ${attempt}\n`;

/** The first half of a body, which ends within a line. */
export const halfOf = body => body.slice(0, Math.floor(body.length / 2));

/** One event of a stream. */
export const eventOf = (attempt, number) => `id: ${number}\ndata: event ${number} of ${eventsOf} for ${attempt}\n\n`;

/** The whole stream. */
export const wholeStream = attempt => Array.from({length: eventsOf}, (_, index) => eventOf(attempt, index + 1)).join('');
