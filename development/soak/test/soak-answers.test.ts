import assert from 'node:assert/strict';
import {test} from 'node:test';
import {stampOf, plainResponseOf} from '../../relay/replica-standin.js';
import {eventOf} from '../../relay/stream-writer.js';
import {describeAnswerFault} from '../soak-answers.js';
import type {SoakAttempt, SoakRequestKind} from '../soak-clients.js';

/** Number of events in a stream. */
const streamEvents = 3;

type Seen = {
	readonly kind?: SoakRequestKind;
	readonly body: string;
	readonly isWhole?: boolean;
	readonly after?: number;
	readonly signer?: string;
	readonly id?: string;
	readonly runners?: readonly string[];
};

const nowhere = undefined as unknown as SoakAttempt['relay'];

const judge = ({kind = 'stream', body, isWhole = true, after = 0, signer = 'i-1', id = 'r', runners = ['i-1', 'i-2']}: Seen): string | undefined => {
	const headers = {'attempt-id': id, 'server-stamp': stampOf(signer)};
	const attempt: SoakAttempt = {
		kind, body, isWhole, after, resumes: undefined, id: 'r', sent: '', status: 200, headers, relay: nowhere, key: '', sentAt: 0, endedAt: 0,
	};
	return describeAnswerFault({attempt, runners, streamEvents});
};

const made = (replica: string, ...numbers: readonly number[]): string => numbers.map(number => eventOf(`${replica} for r`, number)).join('');

test('events made by replicas that ran the request, numbered consecutively, are accepted', () => {
	const right: readonly Seen[] = [
		{body: made('i-1', 1, 2, 3)},
		{body: made('i-1', 1) + made('i-2', 2, 3)},
		{body: made('i-1', 1) + made('i-2', 2), isWhole: false},
		{body: '', isWhole: false},
		{body: made('i-1', 2, 3), after: 1},
		{body: '', after: 3},
		{kind: 'calls', body: plainResponseOf('i-2 for r'), signer: 'i-2'},
		{kind: 'once', body: plainResponseOf('i-1 for r').slice(0, 5), isWhole: false},
	];
	assert.deepEqual(right.map(seen => judge(seen)), right.map(() => undefined));
});

test('joined, cut, repeated, missing, foreign and wrongly signed output is detected', () => {
	const wrong: readonly Seen[] = [
		// Events: with a stray byte of another event, cut inside, without an id, repeated, left out, restarted, of another request, and of a
		// replica that did not run the request.
		{body: made('i-1', 1) + 'i' + made('i-2', 2, 3)},
		{body: made('i-1', 1) + made('i-1', 2).slice(0, 9), isWhole: false},
		{body: made('i-1', 1) + made('i-1', 2).slice('id: 2\n'.length) + made('i-1', 3)},
		{body: made('i-1', 1, 2) + made('i-2', 2, 3)},
		{body: made('i-1', 1, 3)},
		{body: made('i-1', 2) + made('i-2', 1, 2, 3)},
		{body: eventOf('i-1 for another', 1), isWhole: false},
		{body: made('i-3', 1, 2, 3)},
		// Too few events, but ended as complete, also after an event that the client already has; too many events.
		{body: made('i-1', 1, 2)},
		{body: ''},
		{body: made('i-1', 2), after: 1},
		{body: made('i-1', 1, 2, 3, 4)},
		// Alternating events of two runs; wrong signatures; a wrong attempt id.
		{body: made('i-1', 1) + made('i-2', 2) + made('i-1', 3)},
		{body: made('i-2', 1, 2, 3)},
		{body: '', isWhole: false, signer: 'i-3'},
		{body: made('i-1', 1, 2, 3), id: 'another'},
		// Non-streamed answers: wrong signature, extra byte, truncated, of another request, unknown content.
		{kind: 'calls', body: plainResponseOf('i-2 for r')},
		{kind: 'calls', body: plainResponseOf('i-1 for r') + ' '},
		{kind: 'calls', body: plainResponseOf('i-1 for r').slice(0, 5)},
		{kind: 'once', body: plainResponseOf('i-1 for another')},
		{kind: 'once', body: 'x', isWhole: false},
	];
	assert.deepEqual(wrong.filter(seen => judge(seen) === undefined), []);
});
