/**
 * Guards against two faults of the stand-in: it took the first chunk of another engine's response for the complete response, and it may lose events
 * that it writes in pieces.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {after, before, test} from 'node:test';
import {ScriptedServer} from '../../harness/scripted-server.js';
import {
	defaultEngineTraits, ModelEngineStandin, type EngineTraits,
} from '../model-engine.js';
import {seedOf, tokenEvent} from '../tokens.js';

const messages = [{role: 'user', content: 'Write.'}];
/** Tokens in a response. */
const tokens = 20;
const traits = {...defaultEngineTraits, step: 1};
let source: ScriptedServer;

before(async () => {
	source = await ScriptedServer.create();
});

after(() => {
	source.close();
});

async function withEngine<Value>(changes: Partial<EngineTraits>, use: (engine: ModelEngineStandin) => Promise<Value>): Promise<Value> {
	const engine = await ModelEngineStandin.create(0, {...traits, ...changes});
	try {
		return await use(engine);
	} finally {
		engine.close();
	}
}

async function importInto(engine: ModelEngineStandin): Promise<{readonly status: number; readonly tokens: unknown}> {
	const answer = await fetch(`http://127.0.0.1:${engine.port}/kv/import`, {
		method: 'POST', body: JSON.stringify({request: 'r', host: '127.0.0.1', port: source.port}),
	});
	const {tokens: imported} = await answer.json() as {readonly tokens?: unknown};
	return {status: answer.status, tokens: imported};
}

test('a KV import reads the complete response of its source, however it is split', async () => {
	await withEngine({}, async engine => {
		const head = 'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n';
		const body = '{"tokens": 41}';
		for (const pieces of [[head + body], [head, body], [`${head}{"tok`, 'ens": 4', '1}']]) {
			source.script = {pieces, ending: 'open'};
			assert.deepEqual(await importInto(engine), {status: 200, tokens: 41});
		}

		for (const pieces of [[`${head}{"tokens": 4`], ['HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\n{}'], [`${head}{"tokens": oo}`]]) {
			source.script = {pieces, ending: 'close'};
			assert.deepEqual(await importInto(engine), {status: 502, tokens: undefined});
		}
	});
});

/** @returns The received text, its number of chunks, and whether the response was complete. */
async function stream(engine: ModelEngineStandin): Promise<{readonly text: string; readonly pieces: number; readonly isWhole: boolean}> {
	const answer = await fetch(`http://127.0.0.1:${engine.port}/v1/chat/completions`, {
		method: 'POST',
		body: JSON.stringify({
			model: 'm', messages, max_tokens: tokens, stream: true, request_id: 'r',
		}),
	});
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of answer.body!) {
			chunks.push(chunk as Uint8Array);
		}
	} catch {
		return {text: Buffer.concat(chunks).toString(), pieces: chunks.length, isWhole: false};
	}

	return {text: Buffer.concat(chunks).toString(), pieces: chunks.length, isWhole: true};
}

const frame = {
	id: 'chatcmpl-r', model: 'm', seed: seedOf(messages), end: tokens,
};
const whole = `${Array.from({length: tokens}, (_, index) => tokenEvent(frame, index)).join('')}data: [DONE]\n\n`;

test('events that are written in pieces arrive unchanged', async () => {
	for (const seed of [1, 2, 3]) {
		const {text, pieces, isWhole} = await withEngine({writing: {seed, mostPieces: 6, broken: 0}}, stream);
		assert.deepEqual([text, isWhole], [whole, true]);
		assert.ok(pieces > tokens, `${pieces} pieces`);
	}
});

test('a response whose connection breaks at random ends inside an event', async () => {
	const ends: boolean[] = [];
	for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
		const {text, isWhole} = await withEngine({writing: {seed, mostPieces: 3, broken: 1 / 5}}, stream);
		assert.equal(isWhole, false);
		// A character that was cut is decoded as U+FFFD.
		assert.ok(whole.startsWith(text.replaceAll('\u{FFFD}', '')), text);
		ends.push(text !== '' && !text.endsWith('\n\n'));
	}

	// A reset may discard data that was sent just before it, so the client need not see a partial event in every run.
	assert.ok(ends.includes(true), `${ends.length} ends, none inside an event`);
});
