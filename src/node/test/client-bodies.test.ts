/*
 * A request is passed on with exactly the body that its client sent, or not at all: a body that is truncated or has ambiguous framing reaches no replica.
 */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {RelayInstallation, testHost, testKey} from '../../../development/relay/relay-installation.js';
import type {ReplicaStandin} from '../../../development/relay/replica-standin.js';

/** Maximum milliseconds to wait until the relay closes the connection. */
const closeTimeout = 600;
/** Milliseconds between two parts of a request. */
const partInterval = 20;
let installation: RelayInstallation;

before(async () => {
	installation = await RelayInstallation.start({relays: 1, replicas: ['i-1']});
});

after(async () => installation.close());

const seen = (): ReplicaStandin['seen'] => installation.replicas.get('i-1')!.seen;

const headerSection = (lines: readonly string[]): string => [
	'POST /calls/x HTTP/1.1', `Host: ${testHost}`, `Authorization: Bearer ${testKey}`, 'Attempt-Id: raw', ...lines, '', '',
].join('\r\n');

type Ending = 'open' | 'fin' | 'reset';

/**
 * Sends the parts of a request one after the other, then ends the connection or leaves it open.
 *
 * @returns The bytes that the relay sent back.
 */
async function send(parts: readonly string[], ending: Ending): Promise<string> {
	const socket = connect(installation.relays[0]!.port, '127.0.0.1');
	let answer = '';
	const closed = new Promise<void>(resolve => {
		socket.on('error', () => undefined).on('data', data => {
			answer += data.toString('latin1');
		}).once('close', () => {
			resolve();
		});
	});
	for (const part of parts) {
		socket.write(part, 'latin1');
		await pause(partInterval);
	}

	if (ending === 'fin') {
		socket.end();
	} else if (ending === 'reset') {
		socket.resetAndDestroy();
	}

	await Promise.race([closed, pause(closeTimeout)]);
	socket.destroy();
	return answer;
}

const statusOf = (answer: string): number => Number(answer.slice('HTTP/1.1 '.length, 'HTTP/1.1 200'.length));

const truncatedRequests: Readonly<Record<string, readonly [parts: readonly string[], ending: Ending]>> = {
	'no byte of a body with a length': [[headerSection(['Content-Length: 10'])], 'fin'],
	'half of a body with a length': [[headerSection(['Content-Length: 10']), 'first'], 'fin'],
	'half of a body with a length, reset': [[headerSection(['Content-Length: 10']), 'first'], 'reset'],
	'half of a body with a length, and nothing more': [[headerSection(['Content-Length: 10']), 'first'], 'open'],
	'no chunk': [[headerSection(['Transfer-Encoding: chunked'])], 'fin'],
	'one whole chunk and no last chunk': [[headerSection(['Transfer-Encoding: chunked']), '5\r\nfirst\r\n'], 'fin'],
	'one whole chunk and no last chunk, reset': [[headerSection(['Transfer-Encoding: chunked']), '5\r\nfirst\r\n'], 'reset'],
	'half a chunk': [[headerSection(['Transfer-Encoding: chunked']), 'a\r\nfirst'], 'fin'],
	'a last chunk without its blank line': [[headerSection(['Transfer-Encoding: chunked']), '5\r\nfirst\r\n0\r\n'], 'fin'],
	'half of the header section': [[headerSection(['Content-Length: 5']).slice(0, -4)], 'fin'],
};

for (const [name, [parts, ending]] of Object.entries(truncatedRequests)) {
	test(`a truncated body reaches no replica: ${name}`, async () => {
		seen().length = 0;
		const answer = await send(parts, ending);
		assert.deepEqual(seen().map(({body}) => body), []);
		assert.ok(answer === '' || statusOf(answer) >= 400, answer);
	});
}

const ambiguousHeaders: Readonly<Record<string, readonly string[]>> = {
	'an empty length': ['Content-Length: '],
	'a length in exponent notation': ['Content-Length: 1e0'],
	'a length with a sign': ['Content-Length: +5'],
	'a negative length': ['Content-Length: -5'],
	'a length in hexadecimal': ['Content-Length: 0x5'],
	'a length with a decimal point': ['Content-Length: 5.0'],
	'a length above the largest safe integer': ['Content-Length: 99999999999999999999999'],
	'two lengths': ['Content-Length: 5', 'Content-Length: 3'],
	'two lengths in one line': ['Content-Length: 5, 3'],
	'the same length twice in one line': ['Content-Length: 5, 5'],
	'a length and chunks': ['Content-Length: 5', 'Transfer-Encoding: chunked'],
	'chunks and a length': ['Transfer-Encoding: chunked', 'Content-Length: 5'],
	'an encoding that does not delimit the body': ['Transfer-Encoding: gzip'],
	'chunks that are not the last encoding': ['Transfer-Encoding: chunked, identity'],
};

for (const [name, lines] of Object.entries(ambiguousHeaders)) {
	test(`a body with ambiguous or invalid framing reaches no replica: ${name}`, async () => {
		seen().length = 0;
		const answer = await send([headerSection(lines), 'first'], 'fin');
		assert.deepEqual(seen().map(({body}) => body), []);
		assert.equal(statusOf(answer), 400, answer);
	});
}

const completeRequests: Readonly<Record<string, readonly string[]>> = {
	'a length': [headerSection(['Content-Length: 5']), 'first'],
	'a length, byte by byte': [headerSection(['Content-Length: 5']), ...'first'],
	chunks: [headerSection(['Transfer-Encoding: chunked']), '2\r\nfi\r\n3\r\nrst\r\n0\r\n\r\n'],
	'chunks, byte by byte': [headerSection(['Transfer-Encoding: chunked']), ...'2\r\nfi\r\n3\r\nrst\r\n0\r\n\r\n'],
	'chunks with a trailer': [headerSection(['Transfer-Encoding: chunked']), '5\r\nfirst\r\n0\r\nX-Sum: 1\r\n\r\n'],
};

for (const [name, parts] of Object.entries(completeRequests)) {
	test(`a complete body reaches a replica once and unchanged: ${name}`, async () => {
		seen().length = 0;
		const answer = await send(parts, 'open');
		assert.equal(statusOf(answer), 200, answer);
		assert.deepEqual(seen().map(({body, headers}) => [body, headers['content-length'], headers['transfer-encoding']]), [['first', '5', undefined]]);
	});
}

// Node answered 400 in place of the replica, and closed the connection.
test('a request that runs keeps its answer when bytes that are no request follow it', async () => {
	seen().length = 0;
	installation.replicas.get('i-1')!.behave({delay: 200});
	const answer = await send([`${headerSection(['Content-Length: 5'])}firstno request\r\n\r\n`], 'open');
	installation.replicas.get('i-1')!.behave({});
	assert.equal(seen().length, 1);
	assert.match(answer, /^HTTP\/1\.1 200 .*answer of i-1HTTP\/1\.1 400 /sv);
});

// The replica ran it, and its client got nothing: the connection closes after the refusal.
test('a request that arrives with the rest of a refused one is not passed on', async () => {
	seen().length = 0;
	const refused = headerSection(['Transfer-Encoding: chunked']).replace('/calls/', '/none/');
	const answer = await send([refused, `0\r\n\r\n${headerSection(['Content-Length: 5'])}first`], 'open');
	assert.equal(statusOf(answer), 404, answer);
	assert.equal(answer.match(/HTTP\/1\.1/gv)?.length, 1, answer);
	assert.equal(seen().length, 0);
});
