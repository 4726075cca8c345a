import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EngineEventReader} from '../engine-event.js';

const seed = 20_261_203;
const runs = 5000;
const id = 'chatcmpl-1';
const withText = (content: string): string => `data: ${JSON.stringify({id, choices: [{index: 0, delta: {content}, finish_reason: null}]})}\n\n`;
/** A token without text: the reader cannot take the fast path for the event after it, and parses that event. */
const textless = `data: ${JSON.stringify({id, choices: [{index: 0, delta: {}}]})}\n\n`;

/** @returns The kind of an event, from a reader that has read another event before. */
function readAfter(before: string, event: string): string {
	const reader = EngineEventReader.create();
	assert.equal(reader.read(before)._tag, 'Token');
	return reader.read(event)._tag;
}

const text = fc.string({unit: 'binary', maxLength: 12});
/** Characters and sequences with a special meaning in JSON or in the event format. */
const specialText = fc.constantFrom('"', '\\', String.raw`\"`, String.raw`\u00`, '\n', '\n\n', '\r', '\u0000', '}', ']', ',', '"content":"', 'data: ', '\u{D800}');

test('the comparison with the previous event gives the same result as parsing', () => {
	const event = fc.tuple(text, fc.nat(200), fc.nat(10), fc.oneof(specialText, text, fc.constant(''))).map(([content, place, length, inserted]) => {
		const good = withText(content);
		return good.slice(0, place) + inserted + good.slice(place + length);
	});
	const tags = new Set<string>();
	fc.assert(fc.property(text, event, (before, changed) => {
		const seen = readAfter(withText(before), changed);
		tags.add(seen);
		assert.equal(seen, readAfter(textless, changed));
	}), {seed, numRuns: runs});
	assert.deepEqual([...tags].sort(), ['Garbled', 'Token']);
});

test('a token whose text contains quotes, backslashes and line breaks is valid', () => {
	fc.assert(fc.property(fc.array(fc.oneof(text, specialText.filter(value => value !== '\u{D800}')), {minLength: 1, maxLength: 5}), parts => {
		const reader = EngineEventReader.create();
		for (const part of [...parts, parts.join('')]) {
			assert.equal(reader.read(withText(part))._tag, 'Token');
		}
	}), {seed, numRuns: runs});
});

test('the comparison gives the same result as parsing for text with quotes, backslashes and line breaks that are not escaped', () => {
	const whole = withText('a');
	for (const tail of ['b\\', 'b"', 'b","x":"', 'b"}}],"choices":[{"delta":{"content":"c', '\n', '\r']) {
		const event = whole.replace('"a"', `"${tail}"`);
		assert.equal(readAfter(whole, event), readAfter(textless, event), tail);
	}
});
