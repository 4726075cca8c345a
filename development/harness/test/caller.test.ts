/**
 * Guards against a test client that checks only the text of a streamed response. Joined or modified events and events of two engines then go
 * unnoticed, and a stream that is complete in HTTP but lacks its final event is retried as if its connection had broken.
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

/** @returns How a client classifies a stream that arrives as a complete HTTP response. */
async function judge(...parts: readonly string[]): Promise<string> {
	server.script = {pieces: ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', ...parts.map(part => chunkOf(part)), '0\r\n\r\n'], ending: 'open'};
	const {judgement} = await Caller.create('key', () => [server.port]).chat(chat);
	return judgement.kind;
}

test('a stream with all events of one engine counts as answered', async () => {
	assert.equal(await judge(events.join('') + done), 'answered');
	assert.equal(await judge(...events, done), 'answered');
});

const faultyStreams: Readonly<Record<string, readonly string[]>> = {
	'with an event appended to a part of the previous one': [events[0]!, `${events[1]!.slice(0, 1)}${events[1]!}`, events[2]!, events[3]!, done],
	'with an event appended to a truncated copy of itself': [events[0]!, `${events[1]!.slice(0, -20)}${events[1]!}`, events[2]!, events[3]!, done],
	'with an event without an id': [events[0]!, tokenEvent(frame, 1), events[2]!, events[3]!, done],
	'with an event of another response': [events[0]!, event(1, {id: 'chatcmpl-2'}), events[2]!, events[3]!, done],
	'with an event modified outside its text': [events[0]!, events[1]!.replace('"created":0', '"created":1'), events[2]!, events[3]!, done],
	'with a duplicate event': [events[0]!, events[0]!, events[1]!, events[2]!, events[3]!, done],
	'with a missing event': [events[0]!, events[2]!, events[3]!, done],
	'with an event after the final event': [...events, done, events[3]!],
	'with a partial event after the final event': [...events, `${done}id: 5`],
	'that is complete in HTTP without the final event': [...events],
	'that is complete in HTTP with a partial event': [events[0]!, events[1]!.slice(0, 30)],
	'that ends before the last token': [events[0]!, done],
};

for (const [name, parts] of Object.entries(faultyStreams)) {
	test(`a stream ${name} counts as misdelivered`, async () => {
		assert.equal(await judge(...parts), 'misdelivered');
	});
}
