/**
 * Clients of streams that may be resumed got an event without an id: one byte of an event of a replica that had ended, and
 * behind it the whole event of the next replica. A piece of one character that came while nothing was held back was taken for a
 * whole event, since the blank line "was found" at position -1, and the length less two was -1 too. Where a replica ended one byte
 * into the third of six events the client read "iid: 3", and the line of the request told "events":7,"resumedBehind":"2","misfits":1
 * with nothing held back. Where each event came with its first byte by itself 22 of 22 streams were wrong: no id was seen at all, the
 * next run began anew, and numbers went back.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	after, before, test,
} from 'node:test';
import {RelayInstallation, type ClientView} from '../../../development/relay/relay-installation.js';
import type {ReplicaStandin} from '../../../development/relay/replica-standin.js';
import {eventOf, type StreamConduct} from '../../../development/relay/stream-writer.js';

const events = 6;
const brokenEvent = 3;
const eventBytes = Buffer.byteLength(eventOf('i-1', brokenEvent));
const everyCut = Array.from({length: eventBytes}, (_, bytes) => bytes);
/** Repeats are not what is tested: none is refused for their number. */
const bounds = {retrySlack: 100_000};
/** Streams at once, so that each replica takes all of them. */
const atOnce = 8;

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

/** @returns What a client gets of a stream that is written so. */
const streamOnce = async (stream: Partial<StreamConduct>, headers: Readonly<Record<string, string>> = {}): Promise<ClientView> => installation.call({
	path: '/stream/x', method: 'POST', body: JSON.stringify(stream), headers,
});

/** @returns The events of a body, each with its blank line, and behind them what has none. */
const eventsIn = (body: string): readonly string[] => body.split(/(?<=\n\n)/v).filter(event => event !== '');

const isOneEvent = (event: string, number: number): boolean => replicas.some(({id}) => event === eventOf(id, number));

/** @returns What is wrong with what a client got; `undefined` where it is each event once, whole and in order. */
const faultOf = ({status, body, isWhole}: ClientView, first = 1): string | undefined => {
	const got = eventsIn(body);
	const isRight = isWhole && got.length === events - first + 1 && got.every((event, index) => isOneEvent(event, first + index));
	return isRight ? undefined : `${status} ${isWhole ? 'whole' : 'cut'} ${JSON.stringify(body)}`;
};

/** @returns Whether a client got events from the first on, each whole and in order, however many, or the news that there are none. */
const isBeginning = ({status, body}: ClientView): boolean => {
	const got = eventsIn(body);
	return status === 502 ? !body.includes('id:') : got.every((event, index) => isOneEvent(event, index + 1));
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

	const found = await Promise.all(Array.from({length: atOnce}, worker));
	return found.flat();
};

const pieces = ['whole', 'first-apart', 'bytes', 'together'] as const;
const endings = ['reset', 'close'] as const;

test('a stream whose replica ends inside an event goes on with whole events only, wherever it ends and in whatever pieces bytes come', async () => {
	const chunked = pieces.flatMap(piece => endings.flatMap(ending => everyCut.map(bytes => ({pieces: piece, ending, breaksAt: {event: brokenEvent, bytes}}))));
	const unframed = pieces.flatMap(piece => everyCut.map(bytes => ({
		pieces: piece, framing: 'none' as const, ending: 'reset' as const, breaksAt: {event: brokenEvent, bytes},
	})));
	assert.deepEqual(await faultsOf([...chunked, ...unframed]), []);
});

test('a stream without a length whose connection ends inside an event is not whole', async () => {
	// Where no byte of an event has come nobody can tell.
	const streams = pieces.flatMap(piece => everyCut.slice(1).map(bytes => ({
		pieces: piece, framing: 'none' as const, ending: 'close' as const, breaksAt: {event: brokenEvent, bytes},
	})));
	assert.deepEqual(await faultsOf(streams), []);
});

test('an event that does not follow the last one reaches no client', async () => {
	const breaksAt = {event: brokenEvent, bytes: 5};
	const misfits: ReadonlyArray<Partial<StreamConduct>> = [
		{breaksAt, goesOn: 'anew'}, {breaksAt, goesOn: 'too-far'}, {breaksAt, nameless: brokenEvent}, {leftOut: 2}, {nameless: 1}, {nameless: 4},
	];
	for (const misfit of misfits) {
		const view = await streamOnce(misfit);
		assert.ok(isBeginning(view), `${JSON.stringify(misfit)}: ${JSON.stringify(view.body)}`);
		assert.equal(view.status === 200 && view.isWhole, false, `${JSON.stringify(misfit)}: looks whole`);
	}

	const anew = await streamOnce({goesOn: 'anew'}, {'Last-Event-Id': '2'});
	assert.deepEqual([anew.status, anew.body.includes('id:')], [502, false], 'a stream that the client takes up again');
});

test('a stream that a client takes up again goes on behind the event that it names', async () => {
	assert.equal(faultOf(await streamOnce({}, {'Last-Event-Id': '2'}), 3), undefined);
});

test('a stream goes on elsewhere where a replica brings an event that does not come next', async () => {
	const scripts = replicas.map(({scriptOf}) => scriptOf);
	// Whichever replica is asked first.
	let runs = 0;
	const everySecond = (): Partial<StreamConduct> => {
		runs++;
		return {nameless: runs % 2 === 1 ? brokenEvent : undefined};
	};

	for (const replica of replicas) {
		replica.scriptOf = everySecond;
	}

	const views: ClientView[] = [];
	for (let stream = 0; stream < atOnce; stream++) {
		views.push(await streamOnce({}));
	}

	for (const [index, replica] of replicas.entries()) {
		replica.scriptOf = scripts[index];
	}

	assert.deepEqual(views.map(view => faultOf(view)).filter(fault => fault !== undefined), []);
	const garbled = installation.relays[0]!.log.lines.filter(({failures, events: count}) => String(failures).includes('unnumbered') && count === events);
	assert.equal(garbled.length, atOnce, 'each stream had a run that did not fit');
});

test('events that were passed on reach the client, also where its stream is cut in the same moment', async () => {
	// The next event comes in one piece with the first and does not fit; the route allows no other try.
	const views = await Promise.all(everyCut.map(async () => installation.call({
		path: '/whole/x', method: 'POST', body: JSON.stringify({pieces: 'together', nameless: 2}),
	})));
	assert.deepEqual(views.filter(({status, body, isWhole}) => status !== 200 || isWhole || !isOneEvent(body, 1)), []);
});
