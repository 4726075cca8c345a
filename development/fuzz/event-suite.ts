/**
 * Invariant: a client receives complete events only. Runs the real splitter on event streams that arrive in arbitrary chunks and end
 * anywhere, also inside a character or inside the blank line that ends an event.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import fc from 'fast-check';
import {EventSplitter} from '../../src/upstream/event-splitter.js';
import {step, type Suite} from './suite.js';

const blankLine = '\n\n';

/** One event stream, with its writing and its reading side. */
class Stream {
	private readonly splitter = EventSplitter.create();
	/** Joins the bytes of a character, as a Node stream with an encoding does. */
	private readonly decoder = new StringDecoder('utf8');
	private readonly written: string[] = [];
	private readonly received: string[] = [];
	private pending: Uint8Array = Buffer.alloc(0);
	/** Text read so far. */
	private text = '';

	write(event: string): void {
		this.written.push(event);
		this.pending = Buffer.concat([this.pending, Buffer.from(event)]);
	}

	/** Delivers pending bytes in one chunk. */
	deliver(bytes: number): void {
		const piece = this.pending.subarray(0, bytes);
		this.pending = this.pending.subarray(bytes);
		const chunk = this.decoder.write(Buffer.from(piece));
		// Node emits no text for a chunk that holds only part of a character.
		if (chunk !== '') {
			this.text += chunk;
			this.received.push(...this.splitter.split(chunk));
		}

		this.check();
	}

	deliverAll(): void {
		this.deliver(this.pending.length);
		assert.deepEqual(this.received, this.written, 'events of the complete stream, split in chunks');
		assert.deepEqual(EventSplitter.create().split(this.text), this.written, 'events of the complete stream, split at once');
		assert.equal(this.splitter.incompleteLength, 0, 'length of incomplete text after the last event');
	}

	/** @returns Whether the stream would end inside an event if it ended now. */
	isInsideEvent(): boolean {
		return this.text.length > this.received.join('').length;
	}

	private check(): void {
		const whole = this.text.split(blankLine).slice(0, -1).map(event => event + blankLine);
		assert.deepEqual(whole, this.written.slice(0, whole.length), 'complete events in the text differ from the written events');
		assert.deepEqual(this.received, whole, 'events from the splitter differ from the complete events received');
		assert.equal(this.splitter.incompleteLength, this.text.length - whole.join('').length, 'reported length of the incomplete event');
	}
}

class EventWorld {
	faults = 0;
	stream = new Stream();

	/** Ends the current stream at its present position, and starts a new one. */
	endStream(): void {
		this.faults += this.stream.isInsideEvent() ? 1 : 0;
		this.stream = new Stream();
	}
}

/** Characters of one to four bytes, without line breaks. */
const text = fc.string({unit: 'binary', maxLength: 12}).map(value => value.replaceAll(/[\r\n]/gv, 'ü'));
const line = fc.oneof(
	fc.constantFrom('data', 'data:', 'data: ', ':', 'id: 7', 'event: error', 'data: \u{1F600}', 'data: é'),
	text.map(value => `data: ${value}`),
	text.map(value => `id: ${value}`),
);
const event = fc.array(line, {minLength: 1, maxLength: 4}).map(lines => lines.join('\n') + blankLine);

const steps = fc.oneof(
	{
		weight: 5, arbitrary: event.map(written => step<EventWorld>(`write ${JSON.stringify(written)}`, ({stream}) => {
			stream.write(written);
		})),
	},
	{
		weight: 6, arbitrary: fc.oneof(fc.constantFrom(1, 2, 3), fc.integer({min: 1, max: 60})).map(bytes => step<EventWorld>(`${bytes} bytes arrive`, ({stream}) => {
			stream.deliver(bytes);
		})),
	},
	{
		weight: 2, arbitrary: fc.integer({min: 1, max: 60}).map(bytes => step<EventWorld>(`${bytes} bytes arrive one at a time`, ({stream}) => {
			for (let index = 0; index < bytes; index++) {
				stream.deliver(1);
			}
		})),
	},
	{
		weight: 1, arbitrary: fc.constant(step<EventWorld>('all pending bytes arrive', ({stream}) => {
			stream.deliverAll();
		})),
	},
	{
		weight: 1, arbitrary: fc.constant(step<EventWorld>('the stream ends', world => {
			world.endStream();
		})),
	},
);

/** A sequence of event streams. */
export const eventSuite: Suite<EventWorld> = {
	name: 'events',
	steps,
	create: () => new EventWorld(),
	async check({stream}) {
		stream.deliverAll();
	},
	faults: world => world.faults,
};
