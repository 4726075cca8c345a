/**
 * Guards against corrupt events in resumable streams. A client got one byte of an event of a crashed replica, followed by the whole event of the next
 * replica. A chunk of one character that arrived while no bytes were buffered counted as a whole event, since the search for the blank line returned -1
 * and the length minus two was -1 too. When a replica crashed one byte into the third of six events, the client read "iid: 3", and the log line of the
 * request had "events":7,"resumedBehind":"2","misfits":1 with no bytes held back. When each event arrived with its first byte in a separate chunk, 22 of
 * 22 streams were wrong: no id was recognised, the next run began from the start, and event numbers went back.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	after, before, test,
} from 'node:test';
import {RelayInstallation, type ClientView} from '../../../development/relay/relay-installation.js';
import type {ReplicaStandin} from '../../../development/relay/replica-standin.js';
import {eventOf, type StreamConduct} from '../../../development/relay/stream-writer.js';

/** Number of events in a stream. */
const events = 6;
/** Number of the event in which the stream breaks, counted from 1. */
const brokenEvent = 3;
const eventBytes = Buffer.byteLength(eventOf('i-1', brokenEvent));
const everyOffset = Array.from({length: eventBytes}, (_, bytes) => bytes);
/** High enough that no retry is denied: the retry budget is not tested here. */
const bounds = {retrySlack: 100_000};
/** Number of concurrent streams, within the slots of each replica. */
const concurrency = 8;

let installation: RelayInstallation;
let replicas: readonly ReplicaStandin[];

before(async () => {
	installation = await RelayInstallation.start({relays: 1, replicas: ['i-1', 'i-2'], bounds});
	replicas = [...installation.replicas.values()];
	for (const replica of replicas) {
		replica.behave({events, gap: 0, delay: 0});
		replica.scriptOf = body => JSON.parse(body) as Partial<StreamConduct>;
	}
});

after(async () => installation.close());

/** @returns What a client receives of a stream that replicas write as described. */
const streamOnce = async (stream: Partial<StreamConduct>, headers: Readonly<Record<string, string>> = {}): Promise<ClientView> => installation.call({
	path: '/stream/x', method: 'POST', body: JSON.stringify(stream), headers,
});

/** @returns The events of a body, each with its blank line, and after them any incomplete event. */
const eventsIn = (body: string): readonly string[] => body.split(/(?<=\n\n)/v).filter(event => event !== '');

const isOneEvent = (event: string, number: number): boolean => replicas.some(({id}) => event === eventOf(id, number));

/** @returns What is wrong with a received stream; `undefined` if it has each event once, whole and in order. */
const faultOf = ({status, body, isWhole}: ClientView, first = 1): string | undefined => {
	const received = eventsIn(body);
	const isRight = isWhole && received.length === events - first + 1 && received.every((event, index) => isOneEvent(event, first + index));
	return isRight ? undefined : `${status} ${isWhole ? 'whole' : 'cut'} ${JSON.stringify(body)}`;
};

/** @returns Whether a client got any number of events from the first on, each whole and in order, or status 502 and no event. */
const isIntactBeginning = ({status, body}: ClientView): boolean => {
	const received = eventsIn(body);
	return status === 502 ? !body.includes('id:') : received.every((event, index) => isOneEvent(event, index + 1));
};

const faultsOf = async (streams: ReadonlyArray<Partial<StreamConduct>>): Promise<readonly string[]> => {
	const left = [...streams];
	const worker = async (): Promise<readonly string[]> => {
		const stream = left.shift();
		if (!stream) {
			return [];
		}

		const fault = faultOf(await streamOnce(stream));
		return [...(fault === undefined ? [] : [`${JSON.stringify(stream)}: ${fault}`]), ...await worker()];
	};

	const found = await Promise.all(Array.from({length: concurrency}, worker));
	return found.flat();
};

const pieces = ['whole', 'first-apart', 'bytes', 'together'] as const;
const endings = ['reset', 'close'] as const;

test('a stream whose replica crashes inside an event continues with whole events only, at whichever byte it crashes and however bytes are chunked', async () => {
	const chunked = pieces.flatMap(piece => endings.flatMap(ending => everyOffset.map(bytes => ({pieces: piece, ending, breaksAt: {event: brokenEvent, bytes}}))));
	const unframed = pieces.flatMap(piece => everyOffset.map(bytes => ({
		pieces: piece, framing: 'none' as const, ending: 'reset' as const, breaksAt: {event: brokenEvent, bytes},
	})));
	assert.deepEqual(await faultsOf([...chunked, ...unframed]), []);
});

test('a stream without a length whose connection ends inside an event counts as cut', async () => {
	// Without any byte of the event the cut cannot be detected.
	const streams = pieces.flatMap(piece => everyOffset.slice(1).map(bytes => ({
		pieces: piece, framing: 'none' as const, ending: 'close' as const, breaksAt: {event: brokenEvent, bytes},
	})));
	assert.deepEqual(await faultsOf(streams), []);
});

test('an event that does not follow the last one reaches no client', async () => {
	const breaksAt = {event: brokenEvent, bytes: 5};
	const misfits: ReadonlyArray<Partial<StreamConduct>> = [
		{breaksAt, resumesAt: 'anew'}, {breaksAt, resumesAt: 'too-far'}, {breaksAt, eventWithoutId: brokenEvent}, {omittedEvent: 2}, {eventWithoutId: 1}, {eventWithoutId: 4},
	];
	for (const misfit of misfits) {
		const view = await streamOnce(misfit);
		assert.ok(isIntactBeginning(view), `${JSON.stringify(misfit)}: ${JSON.stringify(view.body)}`);
		assert.equal(view.status === 200 && view.isWhole, false, `${JSON.stringify(misfit)}: looks whole`);
	}

	const resumed = await streamOnce({resumesAt: 'anew'}, {'Last-Event-Id': '2'});
	assert.deepEqual([resumed.status, resumed.body.includes('id:')], [502, false], 'a stream that the client resumes');
});

test('a stream that a client resumes continues after the event that the client names', async () => {
	assert.equal(faultOf(await streamOnce({}, {'Last-Event-Id': '2'}), 3), undefined);
});

test('a stream continues at another replica when a replica sends an event out of sequence', async () => {
	const scripts = replicas.map(({scriptOf}) => scriptOf);
	// Every second run sends an event without an id, whichever replica is asked first.
	let runs = 0;
	const everySecond = (): Partial<StreamConduct> => {
		runs++;
		return {eventWithoutId: runs % 2 === 1 ? brokenEvent : undefined};
	};

	for (const replica of replicas) {
		replica.scriptOf = everySecond;
	}

	const views: ClientView[] = [];
	for (let stream = 0; stream < concurrency; stream++) {
		views.push(await streamOnce({}));
	}

	for (const [index, replica] of replicas.entries()) {
		replica.scriptOf = scripts[index];
	}

	assert.deepEqual(views.map(view => faultOf(view)).filter(fault => fault !== undefined), []);
	const garbled = installation.relays[0]!.log.lines.filter(({failures, events: count}) => String(failures).includes('unnumbered') && count === events);
	assert.equal(garbled.length, concurrency, 'each stream had a run with an event out of sequence');
});

test('events that were passed on reach the client even if its stream is cut at the same moment', async () => {
	// The second event arrives in one chunk with the first and is out of sequence; the route allows no second attempt.
	const views = await Promise.all(everyOffset.map(async () => installation.call({
		path: '/whole/x', method: 'POST', body: JSON.stringify({pieces: 'together', eventWithoutId: 2}),
	})));
	assert.deepEqual(views.filter(({status, body, isWhole}) => status !== 200 || isWhole || !isOneEvent(body, 1)), []);
});
