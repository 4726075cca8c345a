/**
 * "A client gets whole events only", over the real splitter: streams of events that arrive in any pieces and end anywhere, also inside a
 * character and inside the blank line that closes an event.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {StringDecoder} from 'node:string_decoder';
import fc from 'fast-check';
import {EventSplitter} from '../../src/upstream/event-splitter.js';
import {step, type Suite} from './suite.js';

const blankLine = '\n\n';

/** One stream, as it is written and as it is read. */
class Stream {
	private readonly splitter = EventSplitter.create();
	/** Joins the bytes of a character, as Node does for whoever asks for text. */
	private readonly decoder = new StringDecoder('utf8');
	private readonly written: string[] = [];
	private readonly got: string[] = [];
	private pending: Uint8Array = Buffer.alloc(0);
	/** What was read so far. */
	private text = '';

	write(event: string): void {
		this.written.push(event);
		this.pending = Buffer.concat([this.pending, Buffer.from(event)]);
	}

	/** Some bytes arrive in one piece. */
	deliver(bytes: number): void {
		const piece = this.pending.subarray(0, bytes);
		this.pending = this.pending.subarray(bytes);
		const chunk = this.decoder.write(Buffer.from(piece));
		// Node tells of no text where a piece holds part of a character alone.
		if (chunk !== '') {
			this.text += chunk;
			this.got.push(...this.splitter.split(chunk));
		}

		this.judge();
	}

	deliverAll(): void {
		this.deliver(this.pending.length);
		assert.deepEqual(this.got, this.written, 'the whole stream');
		assert.deepEqual(EventSplitter.create().split(this.text), this.written, 'the whole stream at once');
		assert.equal(this.splitter.incompleteLength, 0, 'nothing is held back behind the last event');
	}

	/** @returns Whether an end here would be inside an event. */
	isInsideEvent(): boolean {
		return this.text.length > this.got.join('').length;
	}

	private judge(): void {
		const whole = this.text.split(blankLine).slice(0, -1).map(event => event + blankLine);
		assert.deepEqual(whole, this.written.slice(0, whole.length), 'the suite knows what it wrote');
		assert.deepEqual(this.got, whole, 'each event that has come, and no part of one');
		assert.equal(this.splitter.incompleteLength, this.text.length - whole.join('').length, 'what is held back is told');
	}
}

class EventWorld {
	faults = 0;
	stream = new Stream();

	/** The stream ends where it is; the next one begins anew. */
	cut(): void {
		this.faults += this.stream.isInsideEvent() ? 1 : 0;
		this.stream = new Stream();
	}
}

/** Characters of one, two, three and four bytes; a line ends with none of them. */
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
		weight: 2, arbitrary: fc.integer({min: 1, max: 60}).map(bytes => step<EventWorld>(`${bytes} bytes arrive one by one`, ({stream}) => {
			for (let index = 0; index < bytes; index++) {
				stream.deliver(1);
			}
		})),
	},
	{
		weight: 1, arbitrary: fc.constant(step<EventWorld>('all that was written arrives', ({stream}) => {
			stream.deliverAll();
		})),
	},
	{
		weight: 1, arbitrary: fc.constant(step<EventWorld>('the stream ends', world => {
			world.cut();
		})),
	},
);

/** One stream after another. */
export const eventSuite: Suite<EventWorld> = {
	name: 'events',
	steps,
	create: () => new EventWorld(),
	async judge({stream}) {
		stream.deliverAll();
	},
	faults: world => world.faults,
};
