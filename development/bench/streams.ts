/**
 * Measures the processor time of a relay per stream event, from the bytes received from the replica to those written to the
 * client: `npm run bench -- streams`.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, request, type IncomingMessage, type Server,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import * as Effect from 'effect/Effect';
import {PlatformRelayFormat} from '../../platform/relay-format.js';
import {ClientAnswer} from '../../src/relay/client-answer.js';
import {RelayMetrics} from '../../src/relay/relay-metrics.js';
import {StreamForwarder} from '../../src/relay/stream-forwarder.js';
import {emptyStatement} from '../../src/replicas/replica-statement.js';

const eventsPerStream = 64;
const streamsAtOnce = 50;
const warmUpRounds = 10;
const rounds = 40;
/** Bytes of data in an event, as many as a few words of a response. */
const dataBytes = 48;
const head = {
	id: undefined, isNotRun: false, isMisdirected: false, isPlain: true, idleLifetime: undefined, statement: emptyStatement,
};

const textOf = (event: number): string => `id: ${event}\ndata: ${'w'.repeat(dataBytes)}\n\n`;

/** Ways to split the bytes of an event into chunks, by name. */
const shapes: Readonly<Record<string, (bytes: Uint8Array) => readonly Uint8Array[]>> = {
	'an event a piece': bytes => [bytes],
	'an event in two pieces': bytes => [bytes.subarray(0, 5), bytes.subarray(5)],
	'an event byte by byte': bytes => Array.from(bytes, (_, index) => bytes.subarray(index, index + 1)),
};

/** Response to the client that discards its bytes, so that only the relay's own work is measured. */
class NobodyReads {
	headersSent = false;
	writableNeedDrain = false;

	writeHead(): void {
		this.headersSent = true;
	}

	write(): boolean {
		return true;
	}

	end(): void {
		// No connection to end.
	}
}

/** @returns A response with headers only; the benchmark emits its data events. */
async function openMessage(server: Server): Promise<IncomingMessage> {
	const outgoing = request({host: '127.0.0.1', port: (server.address() as AddressInfo).port, agent: false});
	outgoing.end();
	const [message] = await once(outgoing, 'response') as [IncomingMessage];
	message.on('error', () => undefined);
	return message;
}

/** @returns Microseconds of processor time to forward the chunks in all streams. */
async function passStreams(server: Server, pieces: readonly Uint8Array[]): Promise<number> {
	const metrics = RelayMetrics.create();
	const messages = await Promise.all(Array.from({length: streamsAtOnce}, async () => openMessage(server)));
	const passages = messages.map(message => {
		const passage = StreamForwarder.create({
			client: ClientAnswer.create(new NobodyReads() as never, () => false), format: PlatformRelayFormat.create(), metrics, lastEventId: undefined,
		});
		const answer = {
			message, status: 200, isWhole: () => true, head, abandon: () => undefined,
		};
		return {passage, passing: Effect.runPromise(passage.forward(answer, {onFirstEvent: () => undefined, onBytes: () => undefined}))};
	});
	const texts = pieces.map(piece => Buffer.from(piece).toString('latin1'));
	const before = process.cpuUsage();
	for (const message of messages) {
		for (const text of texts) {
			message.emit('data', text);
		}
	}

	const {user, system} = process.cpuUsage(before);
	for (const message of messages) {
		message.emit('end');
		message.destroy();
	}

	await Promise.all(passages.map(async ({passing}) => passing));
	if (passages.some(({passage}) => passage.fields.events !== eventsPerStream)) {
		throw new Error('a stream did not forward each event exactly once');
	}

	return user + system;
}

/** Prints a row for each way to split the events. */
export async function benchStreams(): Promise<void> {
	const server = createServer((_, response) => {
		response.writeHead(200).flushHeaders();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	process.stdout.write('| Pieces | Processor time an event |\n| --- | --- |\n');
	for (const [name, shape] of Object.entries(shapes)) {
		const pieces = Array.from({length: eventsPerStream}, (_, index) => shape(Buffer.from(textOf(index + 1)))).flat();
		let spent = 0;
		for (let round = 0; round < warmUpRounds + rounds; round++) {
			const took = await passStreams(server, pieces);
			spent += round < warmUpRounds ? 0 : took;
		}

		process.stdout.write(`| ${name} | ${(spent / rounds / streamsAtOnce / eventsPerStream).toFixed(2)} µs |\n`);
	}

	server.closeAllConnections();
	server.close();
}
