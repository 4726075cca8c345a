/**
 * Checks that an answer consists, byte for byte, of output of the replicas that ran the request.
 */
import {producerOf, stampOf, plainResponseOf} from '../relay/replica-standin.js';
import {eventOf} from '../relay/stream-writer.js';
import type {SoakAttempt} from './soak-clients.js';

/** An answer with status 200, and the replicas that ran its request. */
export type JudgedAnswer = {
	readonly attempt: Pick<SoakAttempt, 'id' | 'kind' | 'after' | 'headers' | 'body' | 'isWhole'>;
	/** Ids of the replicas that ran the request, one for each run. */
	readonly runners: readonly string[];
	/** Number of events in a complete stream. */
	readonly streamEvents: number;
};

/**
 * @param body - Body of a stream.
 * @returns Ids of the replicas that produced its events.
 */
export const makersOf = (body: string): readonly string[] => [...body.matchAll(/(?<replica>i-\d+) for /gv)].map(({groups}) => groups!.replica!);

const betweenEvents = /(?<=\n\n)/v;
/** Characters of the body that a description shows. */
const shownCharacters = 160;

/**
 * Checks one answer.
 *
 * @param answer - The answer, and the replicas that ran its request.
 * @returns A description of the first fault found; `undefined` if the answer is correct.
 */
export function describeAnswerFault(answer: JudgedAnswer): string | undefined {
	const {attempt: {id, kind, headers, body}} = answer;
	const fault = headers['attempt-id'] === id
		? (kind === 'stream' ? faultOfStream(answer) : faultOfWhole(answer))
		: `has the attempt id ${String(headers['attempt-id'])}`;
	return fault === undefined ? undefined : `${fault}: ${JSON.stringify(body.slice(0, shownCharacters))}`;
}

/** A non-streamed answer must come from exactly one replica and carry the signature of that replica. */
function faultOfWhole({attempt: {id, body, isWhole, headers}, runners}: JudgedAnswer): string | undefined {
	const maker = runners.find(runner => stampOf(runner) === headers['server-stamp']);
	if (maker === undefined) {
		return `has the signature ${String(headers['server-stamp'])}, but ran at ${runners.join(' ')}`;
	}

	const expected = plainResponseOf(producerOf(maker, id));
	return (isWhole ? body === expected : expected.startsWith(body)) ? undefined : `differs from the output of ${maker}`;
}

/**
 * A stream must consist of events of successive runs, numbered consecutively over all runs, and carry the signature of the replica that
 * produced the first event.
 */
function faultOfStream({attempt: {id, after, body, isWhole, headers}, runners, streamEvents}: JudgedAnswer): string | undefined {
	const events = body === '' ? [] : body.split(betweenEvents);
	const makers = events.map((event, index) => runners.find(runner => event === eventOf(producerOf(runner, id), after + index + 1)));
	const firstForeign = makers.indexOf(undefined);
	if (firstForeign !== -1) {
		return `event ${after + firstForeign + 1} was not produced by any replica that ran the request (${isWhole ? 'whole' : 'cut'}): ${JSON.stringify(events[firstForeign])}`;
	}

	const changes = makers.filter((maker, index) => index > 0 && maker !== makers[index - 1]).length;
	if (changes >= Math.max(1, runners.length)) {
		return `switches between replicas ${changes} times in ${runners.length} runs`;
	}

	const signers = makers.length > 0 ? makers.slice(0, 1) : runners;
	if (!signers.some(signer => stampOf(signer!) === headers['server-stamp'])) {
		return `has the signature ${String(headers['server-stamp'])}, but was started by ${signers.join(' ')}`;
	}

	return isWhole && after + events.length !== streamEvents ? `ends as complete after event ${after + events.length} of ${streamEvents}` : undefined;
}
