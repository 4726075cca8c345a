/**
 * What an answer must be, byte for byte: what replicas that ran the request have made, and nothing else.
 */
import {makerOf, stampOf, wholeAnswerOf} from '../relay/replica-standin.js';
import {eventOf} from '../relay/stream-writer.js';
import type {SoakAttempt} from './soak-clients.js';

/** An answer with status 200, and who ran its request. */
export type JudgedAnswer = {
	readonly attempt: Pick<SoakAttempt, 'id' | 'kind' | 'after' | 'headers' | 'body' | 'isWhole'>;
	/** Ids of the replicas that ran the request, one for each run. */
	readonly runners: readonly string[];
	/** Events of a whole stream. */
	readonly streamEvents: number;
};

const betweenEvents = /(?<=\n\n)/v;
const shown = 160;

/**
 * @param answer - An answer.
 * @returns What is wrong with it; `undefined` where it is right.
 */
export function faultOfAnswer(answer: JudgedAnswer): string | undefined {
	const {attempt: {id, kind, headers, body}} = answer;
	const fault = headers['attempt-id'] === id
		? (kind === 'stream' ? faultOfStream(answer) : faultOfWhole(answer))
		: `bears the id ${String(headers['attempt-id'])}`;
	return fault === undefined ? undefined : `${fault}: ${JSON.stringify(body.slice(0, shown))}`;
}

/** A whole answer is exactly one replica's, under its signature. */
function faultOfWhole({attempt: {id, body, isWhole, headers}, runners}: JudgedAnswer): string | undefined {
	const maker = runners.find(runner => stampOf(runner) === headers['server-stamp']);
	if (maker === undefined) {
		return `bears the signature ${String(headers['server-stamp'])}, and ran at ${runners.join(' ')}`;
	}

	const expected = wholeAnswerOf(makerOf(maker, id));
	return (isWhole ? body === expected : expected.startsWith(body)) ? undefined : `is not what ${maker} made`;
}

/** A stream is events of runs in turn, one count over all of them, under the signature of the replica that made the first. */
function faultOfStream({attempt: {id, after, body, isWhole, headers}, runners, streamEvents}: JudgedAnswer): string | undefined {
	const events = body === '' ? [] : body.split(betweenEvents);
	const makers = events.map((event, index) => runners.find(runner => event === eventOf(makerOf(runner, id), after + index + 1)));
	const strange = makers.indexOf(undefined);
	if (strange !== -1) {
		return `event ${after + strange + 1} is none that a replica made for it (${isWhole ? 'whole' : 'cut'}): ${JSON.stringify(events[strange])}`;
	}

	const changes = makers.filter((maker, index) => index > 0 && maker !== makers[index - 1]).length;
	if (changes >= Math.max(1, runners.length)) {
		return `changed its maker ${changes} times in ${runners.length} runs`;
	}

	const signers = makers.length > 0 ? makers.slice(0, 1) : runners;
	if (!signers.some(signer => stampOf(signer!) === headers['server-stamp'])) {
		return `bears the signature ${String(headers['server-stamp'])}, and was begun by ${signers.join(' ')}`;
	}

	return isWhole && after + events.length !== streamEvents ? `ends as whole behind event ${after + events.length} of ${streamEvents}` : undefined;
}
