/**
 * The caller judged the text of an answer alone: events that were joined, changed or of two engines could pass, and a stream that HTTP told
 * as whole though its last event had not come was asked for again as if it had been cut.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {after, before, test} from 'node:test';
import {seedOf, tokenEvent} from '../../standins/tokens.js';
import {Caller, type Chat} from '../caller.js';
import {ScriptedServer} from '../scripted-server.js';

const chat: Chat = {
	model: 'assistant:chat', key: 'k', isStreamed: true, maximumTokens: 4, messages: [{role: 'user', content: 'Write.'}],
};
const frame = {
	id: 'chatcmpl-1', model: 'assistant', seed: seedOf(chat.messages), end: chat.maximumTokens,
};
const done = 'data: [DONE]\n\n';
const event = (index: number, changes: Partial<typeof frame> = {}): string => `id: ${index + 1}\n${tokenEvent({...frame, ...changes}, index)}`;
const events = [0, 1, 2, 3].map(index => event(index));

let server: ScriptedServer;

before(async () => {
	server = await ScriptedServer.create();
});

after(() => {
	server.close();
});

const chunkOf = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

/** @returns How a caller judges a stream that is told as whole. */
async function judge(...parts: readonly string[]): Promise<string> {
	server.script = {pieces: ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', ...parts.map(part => chunkOf(part)), '0\r\n\r\n'], ending: 'open'};
	const {judgement} = await Caller.create('key', () => [server.port]).chat(chat);
	return judgement.kind;
}

test('a stream of the events of one engine is answered', async () => {
	assert.equal(await judge(events.join('') + done), 'answered');
	assert.equal(await judge(...events, done), 'answered');
});

const wrong: Readonly<Record<string, readonly string[]>> = {
	'with an event joined to part of the one before': [events[0]!, `${events[1]!.slice(0, 1)}${events[1]!}`, events[2]!, events[3]!, done],
	'with an event behind part of its own data': [events[0]!, `${events[1]!.slice(0, -20)}${events[1]!}`, events[2]!, events[3]!, done],
	'with an event without an id': [events[0]!, tokenEvent(frame, 1), events[2]!, events[3]!, done],
	'with an event of another answer': [events[0]!, event(1, {id: 'chatcmpl-2'}), events[2]!, events[3]!, done],
	'with an event changed besides its text': [events[0]!, events[1]!.replace('"created":0', '"created":1'), events[2]!, events[3]!, done],
	'with an event twice': [events[0]!, events[0]!, events[1]!, events[2]!, events[3]!, done],
	'with an event left out': [events[0]!, events[2]!, events[3]!, done],
	'with an event behind its end': [...events, done, events[3]!],
	'with part of an event behind its end': [...events, `${done}id: 5`],
	'that is told as whole without its end': [...events],
	'that is told as whole inside an event': [events[0]!, events[1]!.slice(0, 30)],
	'that ends too early': [events[0]!, done],
};

for (const [name, parts] of Object.entries(wrong)) {
	test(`a stream ${name} is misdelivered`, async () => {
		assert.equal(await judge(...parts), 'misdelivered');
	});
}
