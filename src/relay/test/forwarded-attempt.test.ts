/**
 * Guards against an answer of another box that ends early and counts as whole, or as a promise that the request was not run.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer, request, type IncomingMessage, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import * as Effect from 'effect/Effect';
import {PlatformRelayFormat} from '../../../platform/relay-format.js';
import {ampleResources} from '../../../development/harness/ample-resources.js';
import {ScriptedServer, type AnswerScript} from '../../../development/harness/scripted-server.js';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {SystemClock} from '../../base/clock.js';
import {Refusal, type Verdict} from '../../base/verdict.js';
import {ReplicaConnections} from '../../replicas/replica-connections.js';
import {ServiceDemands} from '../../replicas/service-demand.js';
import type {Route} from '../../routes/route-table.js';
import {StopSchedule} from '../../stopping/stop-schedule.js';
import {ClientAnswer} from '../client-answer.js';
import {ForwardedAttempt} from '../forwarded-attempt.js';
import {ForwardingBoxes, type ForwardingBox} from '../forwarding-boxes.js';
import {RelayMetrics} from '../relay-metrics.js';
import type {AttemptParts} from '../replica-attempt.js';
import {StreamForwarder} from '../stream-forwarder.js';

const timeout = 60_000;
const deadline = 10_000;
/** Requests that are sent at a time. */
const batchSize = 6;
const seed = 5;
const endings = ['close', 'reset', 'late-reset'] as const;
const idOf = (index: number): string => `attempt-${String(index).padStart(4, '0')}`;
const events = [1, 2].map(number => `id: ${number}\ndata: event ${number}\n\n`);

const headOf = (status: string, headers: readonly string[]): string => [`HTTP/1.1 ${status}`, ...headers, '', ''].join('\r\n');
const withLength = (status: string, headers: readonly string[], body: string): string => headOf(status, [...headers, `Content-Length: ${body.length}`]) + body;
const chunkOf = (data: string): string => `${data.length.toString(16)}\r\n${data}\r\n`;
const refusalOf = (status: string, reason: string, verdict: Verdict): string => withLength(status, [
	`Waydrift-Reason: ${reason}`, `Waydrift-Verdict: ${verdict}`, 'Waydrift-Arrivals: 0', 'Content-Type: application/problem+json',
], '{"reason":"refused"}');

/** What another box writes, and how the attempt ends if its head is complete; `undefined` if only the whole answer counts. */
const answers: ReadonlyArray<{readonly kind: 'stream' | 'repeatable'; readonly write: (id: string) => string; readonly verdict?: Verdict}> = [
	{kind: 'repeatable', write: id => withLength('200 OK', [`Attempt-Id: ${id}`, 'Server-Stamp: s'], 'whole body')},
	{kind: 'stream', write: id => headOf('200 OK', [`Attempt-Id: ${id}`, 'Waydrift-Software: 1', 'Transfer-Encoding: chunked']) + [...events, ''].map(event => chunkOf(event)).join('')},
	{kind: 'repeatable', write: () => refusalOf('503 Service Unavailable', 'not-ready', 'not-run'), verdict: 'not-run'},
	{kind: 'stream', write: () => refusalOf('502 Bad Gateway', 'upstream-cut', 'may-have-run'), verdict: 'may-have-run'},
];

/** How an attempt ended: whole, or with the verdict of its failure; and what the client of its box received. */
type Outcome = {
	readonly end: Verdict | 'whole';
	readonly status: number;
	readonly isWhole: boolean;
};

/** A box whose requests are all forwarded through another box, which answers as scripted. */
class ForwardingInstallation {
	static async start(context: TestContext): Promise<ForwardingInstallation> {
		const box = await ScriptedServer.create();
		const installation = new ForwardingInstallation(box);
		context.after(() => {
			installation.server.close();
			installation.server.closeAllConnections();
			box.close();
		});
		box.script = sent => installation.scripts.get(/^attempt-id: (?<id>\S+)/imv.exec(sent)!.groups!.id!)!;
		installation.server.listen(0, '127.0.0.1');
		await once(installation.server, 'listening');
		return installation;
	}

	private readonly scripts = new Map<string, AnswerScript>();
	private readonly ends = new Map<string, Verdict | 'whole'>();
	private readonly clock = SystemClock.create();
	private readonly format = PlatformRelayFormat.create();
	private readonly forwarding = ForwardingBoxes.create({clock: this.clock, candidates: () => []});
	private readonly server = createServer((incoming, response) => {
		this.ends.set(this.format.readRequest(incoming).id!, 'may-have-run');
		void Effect.runPromise(this.forward(incoming, response));
	});

	private readonly box: ForwardingBox;

	private constructor({port}: ScriptedServer) {
		const address = {host: '127.0.0.1', port};
		this.box = {
			...address, name: 'box-2', connections: ReplicaConnections.create({...address, clock: this.clock}), inProgress: 0, lastUse: 0, servedAt: 0, failedAt: 0,
		};
	}

	async send(id: string, kind: string, script: AnswerScript): Promise<Outcome> {
		this.scripts.set(id, script);
		const outgoing = request({
			port: (this.server.address() as AddressInfo).port, host: '127.0.0.1', path: `/${kind}`, headers: {'Attempt-Id': id}, agent: false,
		});
		outgoing.end();
		const [answer] = await once(outgoing, 'response') as [IncomingMessage];
		answer.on('error', () => undefined);
		answer.resume();
		await new Promise(resolve => {
			answer.once('close', resolve);
		});
		return {end: this.ends.get(id)!, status: answer.statusCode!, isWhole: answer.complete};
	}

	private forward(incoming: IncomingMessage, response: ServerResponse): Effect.Effect<void> {
		const {clock, format, forwarding} = this;
		const head = format.readRequest(incoming);
		const client = ClientAnswer.create(response, () => false);
		const streamForwarder = StreamForwarder.create({
			client, format, metrics: RelayMetrics.create(), lastEventId: undefined,
		});
		const services = {
			clock, format, forwarding, stop: StopSchedule.create(clock), demands: ServiceDemands.create(clock), resources: ampleResources(), guard: {allowsKeys: true}, box: 'box-1',
		};
		const parts: unknown = {
			services, client, streamForwarder, record: {executions: 0}, retry: {mayBeSent: true, recordSent: () => undefined}, version: {recordForwarded: () => undefined},
		};
		const route: unknown = {kind: incoming.url!.slice(1), goal: deadline};
		const now = clock.monotonic();
		const attempt = ForwardedAttempt.create(parts as AttemptParts, {
			request: {
				incoming, head, body: new Uint8Array(), clientAccount: undefined, version: 1, units: 1, urgency: 1, origin: undefined, requiredSoftware: undefined,
				service: 'plain', receivedAt: now, deadlineAt: now + deadline, route: route as Route,
			},
			box: this.box,
			mayRetryError: false,
		});
		return attempt.run().pipe(
			Effect.tap(() => Effect.sync(() => {
				this.ends.set(head.id!, 'whole');
			})),
			Effect.catch(({verdict}) => Effect.sync(() => {
				this.ends.set(head.id!, verdict);
				client.refuse(Refusal.create('upstream-cut', 'The attempt failed.', {verdict}));
			})),
		);
	}
}

/** A cut answer of another box, and the end that its attempt must have. */
type Trial = {
	readonly id: string;
	readonly kind: string;
	readonly script: AnswerScript;
	readonly end: Verdict;
};

test('an answer of another box that is cut at any byte is a failed attempt, and promises nothing before its head is complete', {timeout}, async context => {
	const installation = await ForwardingInstallation.start(context);
	const random = createRandom(seed);
	const cuts = answers.flatMap(answer => Array.from({length: answer.write(idOf(0)).length}, (_, bytes) => ({answer, bytes})));
	const trials = cuts.map(({answer: {kind, write, verdict}, bytes}, index): Trial => {
		const id = idOf(index);
		const sent = write(id).slice(0, bytes);
		const split = Math.floor(random() * bytes);
		const end = verdict !== undefined && sent.includes('\r\n\r\n') ? verdict : 'may-have-run';
		return {
			id, kind, end, script: {pieces: random() < 0.2 ? [sent.slice(0, split), sent.slice(split)] : [sent], ending: endings[Math.floor(random() * endings.length)]!},
		};
	});
	const outcomes: Outcome[] = [];
	for (let begin = 0; begin < trials.length; begin += batchSize) {
		outcomes.push(...await Promise.all(trials.slice(begin, begin + batchSize).map(async ({id, kind, script}) => installation.send(id, kind, script))));
	}

	const faults = trials.filter(({end}, index) => {
		const outcome = outcomes[index]!;
		return outcome.end !== end || (outcome.status === 200 && outcome.isWhole);
	});
	assert.deepEqual(faults.map(({script, end}) => `${JSON.stringify(script)}: expected ${end}`), [], `${faults.length} of ${trials.length}`);
});

test('a whole answer of another box is passed on as whole, and its refusal with its verdict', {timeout}, async context => {
	const installation = await ForwardingInstallation.start(context);
	const outcomes = await Promise.all(answers.map(async ({kind, write}, index) => installation.send(idOf(index), kind, {pieces: [write(idOf(index))], ending: 'open'})));
	assert.deepEqual(outcomes.map(({end}) => end), answers.map(({verdict}) => verdict ?? 'whole'));
	assert.deepEqual(outcomes.map(({isWhole}) => isWhole), answers.map(() => true));
});
