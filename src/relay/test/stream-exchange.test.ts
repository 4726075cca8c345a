/**
 * Property test of one client's stream over several runs, with real connections on both sides. Replicas write in pieces of random size,
 * disconnect at any byte, and resume at the wrong event; clients read slowly. In every case a client must receive complete events of
 * single runs, numbered consecutively, and a complete answer only if the last run was complete.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer as createHttpServer, request, type ServerResponse,
} from 'node:http';
import {
	createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import fc from 'fast-check';
import {PlatformRelayFormat} from '../../../platform/relay-format.js';
import {SystemClock} from '../../base/clock.js';
import {ReplicaConnections} from '../../replicas/replica-connections.js';
import type {AttemptFailure} from '../attempt-failure.js';
import {ClientAnswer} from '../client-answer.js';
import {RelayMetrics} from '../relay-metrics.js';
import {openAnswer} from '../replica-exchange.js';
import {StreamForwarder} from '../stream-forwarder.js';

const seed = 33;
const numberRuns = 150;
/** Maximum number of events in a stream. */
const maxEvents = 7;
/** Bytes of data per event; an event of this size is below the maximum of an event. */
const largeData = 60_000;
/** Comments after each large event; together they are enough to fill the buffers between replica and client. */
const commentsAfterLarge = 6;

/** How a replica behaves in one run. */
type Run = {
	readonly framing: 'chunked' | 'length' | 'none';
	/** Where it resumes: at the event after the requested one, at the first event, or one event too far. */
	readonly resumption: 'behind' | 'anew' | 'too-far';
	/** An event that is sent wrongly: omitted, without an id, or twice. */
	readonly fault: {readonly event: number; readonly how: 'left-out' | 'nameless' | 'twice'} | undefined;
	readonly hasComments: boolean;
	/** Share of all bytes after which the connection ends; `undefined` if all are sent. */
	readonly breaksAt: number | undefined;
	/** Share of the body after which the answer ends with valid framing; `undefined` if all of it is sent. */
	readonly stopsAt: number | undefined;
	readonly ending: 'reset' | 'close';
	readonly hasSurplus: boolean;
	/** Sizes of the written pieces in bytes, used in turn. */
	readonly pieces: readonly number[];
	readonly isBytewiseAtBreak: boolean;
};

/** Behaviour of one client, and the runs that serve it. */
type Plan = {
	readonly events: number;
	readonly dataBytes: number;
	readonly lastEventId: string | undefined;
	readonly isSlow: boolean;
	/** Milliseconds after which the client leaves. */
	readonly leavesAfter: number | undefined;
	readonly runs: readonly Run[];
};

const share = fc.integer({min: 0, max: 1000}).map(part => part / 1000);
const often = <T>(usual: T, ...others: readonly T[]): fc.Arbitrary<T> => fc.oneof({weight: 6, arbitrary: fc.constant(usual)}, {weight: 2, arbitrary: fc.constantFrom(...others)});
const seldom = <T>(value: fc.Arbitrary<T>): fc.Arbitrary<T | undefined> => fc.oneof({weight: 6, arbitrary: fc.constant(undefined)}, {weight: 1, arbitrary: value});
const runs: fc.Arbitrary<Run> = fc.record({
	framing: often<Run['framing']>('chunked', 'none'),
	resumption: often<Run['resumption']>('behind', 'anew', 'too-far'),
	fault: seldom(fc.record({event: fc.integer({min: 1, max: maxEvents}), how: fc.constantFrom('left-out' as const, 'nameless' as const, 'twice' as const)})),
	hasComments: fc.boolean(),
	breaksAt: fc.oneof(fc.constant(undefined), share),
	stopsAt: seldom(share),
	ending: fc.constantFrom('reset' as const, 'close' as const),
	hasSurplus: often(false, true),
	pieces: fc.array(fc.oneof(fc.constant(1), fc.integer({min: 2, max: 60}), fc.integer({min: 60, max: 200_000})), {minLength: 1, maxLength: 6}),
	isBytewiseAtBreak: fc.boolean(),
});
const plans: fc.Arbitrary<Plan> = fc.record({
	events: fc.integer({min: 1, max: maxEvents}),
	dataBytes: often(20, largeData),
	lastEventId: often<string | undefined>(undefined, '1', '0'),
	isSlow: fc.boolean(),
	leavesAfter: seldom(fc.integer({min: 0, max: 30})),
	runs: fc.array(runs, {minLength: 1, maxLength: 5}),
});

const comment = ': still\n\n';
const largeComment = `: ${'x'.repeat(largeData)}\n\n`;
const eventOf = (run: number, event: number, dataBytes: number): string => `id: ${event}\ndata: ${run}-${event} ü${'x'.repeat(dataBytes + run)}\n\n`;

/** @returns The events that a run sends, one element each. */
const eventsOf = (plan: Plan, index: number, behind: number): readonly string[] => {
	const {resumption, fault, hasComments} = plan.runs[index]!;
	const first = resumption === 'anew' ? 1 : behind + 1 + (resumption === 'too-far' && behind > 0 ? 1 : 0);
	const numbers = Array.from({length: Math.max(0, plan.events - first + 1)}, (_, at) => first + at);
	return numbers.flatMap(event => {
		const text = eventOf(index, event, plan.dataBytes);
		const how = fault?.event === event ? fault.how : 'none';
		const made = {
			none: [text], 'left-out': [], nameless: [text.slice(text.indexOf('\n') + 1)], twice: [text, text],
		}[how];
		const filler = plan.dataBytes >= largeData ? Array.from({length: commentsAfterLarge}, () => largeComment) : [];
		return [...(hasComments ? [comment] : []), ...made, ...filler];
	});
};

/** @returns The complete HTTP response: the head and the framed body. */
const frame = ({framing}: Run, body: Uint8Array, id: string): Uint8Array => {
	const common = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nContent-Type: text/event-stream\r\n`;
	if (framing !== 'chunked') {
		const lengthHeader = framing === 'length' ? `Content-Length: ${body.length}` : 'Connection: close';
		return Buffer.concat([Buffer.from(`${common}${lengthHeader}\r\n\r\n`), body]);
	}

	// Chunk boundaries do not coincide with event boundaries.
	const size = Math.max(1, Math.floor(body.length / 5));
	const chunks = Array.from({length: Math.ceil(body.length / size)}, (_, at) => body.subarray(at * size, (at + 1) * size));
	const framed = chunks.flatMap(chunk => [Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n')]);
	return Buffer.concat([Buffer.from(`${common}Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n`), ...framed, Buffer.from('0\r\n\r\n')]);
};

/** Number of bytes before a break that are written one at a time. */
const bytewiseCount = 6;

const writeRun = async (socket: Socket, run: Run, bytes: Uint8Array): Promise<void> => {
	const end = run.breaksAt === undefined ? bytes.length : Math.floor(run.breaksAt * bytes.length);
	let at = 0;
	for (let step = 0; at < end && !socket.destroyed; step++) {
		const usual = step > 40 ? end : run.pieces[step % run.pieces.length]!;
		const size = run.isBytewiseAtBreak && end - at <= bytewiseCount ? 1 : Math.max(1, Math.min(usual, end - at - (run.isBytewiseAtBreak ? bytewiseCount : 0)));
		socket.write(bytes.subarray(at, at + size));
		at += size;
		await pause(1);
	}

	if (run.breaksAt === undefined && run.framing !== 'none') {
		if (run.hasSurplus) {
			socket.write('HTTP/1.1 200 OK\r\nAttempt-Id: late\r\nContent-Length: 4\r\n\r\nlate');
		}

		return;
	}

	if (run.ending === 'reset' && run.breaksAt !== undefined) {
		await pause(3);
		socket.resetAndDestroy();
	} else {
		socket.end();
	}
};

/** What the replicas of one plan have sent. */
type Served = {readonly plan: Plan; served: number; readonly bodies: Array<{readonly events: readonly string[]; readonly stopped: number; readonly all: number}>};

const serve = (current: Served, socket: Socket): void => {
	let head = '';
	socket.setNoDelay(true);
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		head += chunk.toString('latin1');
		if (!head.includes('\r\n\r\n')) {
			return;
		}

		const {plan} = current;
		const index = current.served++;
		const run = plan.runs[index]!;
		const behind = Number(/^Last-Event-Id: (?<id>\d+)/imv.exec(head)?.groups?.id ?? 0);
		const id = /^Attempt-Id: (?<id>\S+)/imv.exec(head)?.groups?.id ?? '';
		head = '';
		const events = eventsOf(plan, index, behind);
		const body = Buffer.from(events.join(''));
		const stopped = run.stopsAt === undefined ? body.length : Math.floor(run.stopsAt * body.length);
		current.bodies.push({events, stopped, all: body.length});
		void writeRun(socket, run, frame(run, body.subarray(0, stopped), id));
	});
};

/** What a client received, and what the replicas sent. */
type Outcome = {
	readonly body: string;
	readonly isWhole: boolean;
	readonly status: number;
	/** Index of the run that was accepted as complete; `undefined` if none was. */
	readonly succeeded: number | undefined;
	readonly failures: readonly string[];
	readonly hasLeft: boolean;
	readonly bodies: Served['bodies'];
};

const play = async (plan: Plan): Promise<Outcome> => {
	const current: Served = {plan, served: 0, bodies: []};
	const replica = createServer(socket => {
		serve(current, socket);
	});
	replica.listen(0, '127.0.0.1');
	await once(replica, 'listening');
	const format = PlatformRelayFormat.create();
	const connections = ReplicaConnections.create({host: '127.0.0.1', port: (replica.address() as AddressInfo).port, clock: SystemClock.create()});
	const failures: string[] = [];
	let succeeded: number | undefined;
	let attempt = 0;
	const served: Array<Promise<unknown>> = [];
	const front = createHttpServer((incoming, response: ServerResponse) => {
		const client = ClientAnswer.create(response, () => false);
		const passage = StreamForwarder.create({
			client, format, metrics: RelayMetrics.create(), lastEventId: plan.lastEventId,
		});
		const serving = Effect.gen(function * () {
			for (const index of plan.runs.keys()) {
				attempt++;
				const id = `a-${attempt}`;
				const behind = passage.lastEventId ?? plan.lastEventId;
				const {socket} = yield * connections.acquire(false);
				const outgoing = {
					id, method: 'GET', path: '/', headers: ['Host', 'x', 'Attempt-Id', id, 'Connection', 'keep-alive', ...(behind === undefined ? [] : ['Last-Event-Id', behind])], body: undefined,
				};
				const failure = yield * openAnswer({connections, socket, format}, outgoing).pipe(
					Effect.flatMap(answer => passage.forward(answer, {onFirstEvent: () => undefined, onBytes: () => undefined})),
					Effect.onInterrupt(() => Effect.sync(() => {
						socket.destroy();
					})),
					Effect.as(undefined),
					Effect.catchTag('AttemptFailure', (error: AttemptFailure) => Effect.succeed(error)),
				);
				if (!failure) {
					succeeded = index;
					return;
				}

				failures.push(`${failure.reason}: ${failure.detail}`);
			}

			if (client.hasBegun) {
				client.cut('upstream-cut');
			} else {
				client.send(502, [], Buffer.from('none'), {isBodiless: false, onProgress: () => undefined});
			}
		});
		const controller = new AbortController();
		response.once('close', () => {
			controller.abort();
		});
		served.push(Effect.runPromise(serving, {signal: controller.signal}).catch(() => undefined));
	});
	front.listen(0, '127.0.0.1');
	await once(front, 'listening');
	const view = await read((front.address() as AddressInfo).port, plan);
	await Promise.all(served);
	connections.close();
	connections.destroyInUse();
	front.closeAllConnections();
	front.close();
	replica.close();
	return {
		...view, succeeded, failures, bodies: current.bodies,
	};
};

const read = async (port: number, {isSlow, leavesAfter}: Plan): Promise<Omit<Outcome, 'succeeded' | 'failures' | 'bodies'>> => new Promise(resolve => {
	const outgoing = request({host: '127.0.0.1', port, agent: false});
	let hasLeft = false;
	let timer: NodeJS.Timeout | undefined;
	if (leavesAfter !== undefined) {
		timer = setTimeout(() => {
			hasLeft = true;
			outgoing.destroy();
		}, leavesAfter);
	}

	outgoing.on('error', () => {
		clearTimeout(timer);
		resolve({
			body: '', isWhole: false, status: 0, hasLeft,
		});
	});
	outgoing.once('response', answer => {
		let body = '';
		answer.setEncoding('utf8');
		answer.on('error', () => undefined);
		answer.on('data', (chunk: string) => {
			body += chunk;
			if (isSlow) {
				answer.pause();
				setTimeout(() => {
					answer.resume();
				}, 2);
			}
		});
		answer.once('close', () => {
			clearTimeout(timer);
			resolve({
				body, isWhole: answer.complete, status: answer.statusCode ?? 0, hasLeft,
			});
		});
	});
	outgoing.end();
});

const eventPattern = /^id: (?<number>\d+)\ndata: (?<run>\d+)-/v;

/** @returns What is wrong with the events that a client received; `undefined` if they are correct. */
const misorderOf = ({lastEventId, dataBytes}: Plan, events: readonly string[]): string | undefined => {
	const read = events.map(event => {
		const {number, run} = eventPattern.exec(event)?.groups ?? {};
		return {event, number: Number(number), run: Number(run)};
	});
	const before = {number: lastEventId === undefined ? undefined : Number(lastEventId), run: 0};
	const wrong = read.find(({event, number, run}, index) => {
		const last = read[index - 1] ?? before;
		return event !== eventOf(run, number, dataBytes) || run < last.run || (last.number !== undefined && number !== last.number + 1);
	});
	return wrong && `an event that no run sent or that is not the next one: ${JSON.stringify(wrong.event.slice(0, 60))}`;
};

/** @returns Whether a reader has no evidence that the run's answer is incomplete. */
const isPlausiblyComplete = (run: Run, {events, stopped, all}: Served['bodies'][number]): boolean => {
	if (run.framing === 'none') {
		// Without framing, a reader cannot tell a cut between two events from the end of the answer.
		return true;
	}

	const ends = [0, ...events.map((_, at) => Buffer.byteLength(events.slice(0, at + 1).join('')))];
	return (run.breaksAt === undefined || run.breaksAt === 1) && (stopped === all || ends.includes(stopped));
};

/** @returns What is wrong with the outcome; `undefined` if it is correct. */
const faultOf = (plan: Plan, outcome: Outcome): string | undefined => {
	const {
		body, isWhole, status, succeeded, hasLeft, bodies,
	} = outcome;
	if (status !== 200) {
		return status === 502 && succeeded !== undefined ? 'refused although a run was complete' : undefined;
	}

	const got = body.split(/(?<=\n\n)/v).filter(event => event !== '');
	// A client whose connection was cut may have a part of the last event.
	const whole = got.filter(event => event.endsWith('\n\n'));
	if (isWhole && whole.length !== got.length) {
		return 'a complete answer with an incomplete event';
	}

	if (!hasLeft && isWhole !== (succeeded !== undefined)) {
		return `the answer is ${isWhole ? 'complete' : 'cut'}, and the complete run is ${succeeded ?? 'none'}`;
	}

	if (succeeded !== undefined && !isPlausiblyComplete(plan.runs[succeeded]!, bodies[succeeded]!)) {
		return `run ${succeeded} was accepted but incomplete`;
	}

	return misorderOf(plan, whole.filter(event => event !== comment && event !== largeComment));
};

test('a client receives complete events of single runs in order, and a complete answer only from a complete run, over real connections', {timeout: 300_000}, async () => {
	const tally = {
		whole: 0, refused: 0, cut: 0, left: 0, resumed: 0,
	};
	const property = fc.asyncProperty(plans, async plan => {
		const outcome = await play(plan);
		assert.equal(faultOf(plan, outcome), undefined, `${JSON.stringify(outcome.failures)} ${JSON.stringify(outcome.body.replaceAll(/x{20,}/gv, 'x..').slice(0, 800))}`);
		tally.whole += outcome.isWhole && outcome.status === 200 ? 1 : 0;
		tally.refused += outcome.status === 502 ? 1 : 0;
		tally.cut += outcome.status === 200 && !outcome.isWhole && !outcome.hasLeft ? 1 : 0;
		tally.left += outcome.hasLeft ? 1 : 0;
		tally.resumed += outcome.succeeded !== undefined && outcome.succeeded > 0 ? 1 : 0;
	});
	await fc.assert(property, {seed, numRuns: numberRuns});
	// The generated plans must cover each outcome.
	assert.ok(Object.values(tally).every(count => count > 0), JSON.stringify(tally));
});

test('a stream whose first replica sent a Content-Length is completed by another replica, even if its total length differs', async () => {
	const run: Run = {
		framing: 'chunked', resumption: 'behind', fault: undefined, hasComments: false, breaksAt: undefined, stopsAt: undefined,
		ending: 'close', hasSurplus: false, pieces: [200_000], isBytewiseAtBreak: false,
	};
	const plan: Plan = {
		events: 4, dataBytes: 20, lastEventId: undefined, isSlow: false, leavesAfter: undefined, runs: [{...run, framing: 'length', breaksAt: 0.7}, run],
	};
	for (const hasComments of [false, true]) {
		const outcome = await play({...plan, runs: [{...plan.runs[0]!, hasComments}, run]});
		assert.equal(faultOf(plan, outcome), undefined, JSON.stringify(outcome.body));
		assert.deepEqual([outcome.isWhole, outcome.succeeded], [true, 1], JSON.stringify(outcome.body));
	}
});
