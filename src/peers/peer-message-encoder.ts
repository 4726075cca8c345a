/**
 * Encodes and decodes the WebSocket frames between a box and its peers.
 *
 * @remarks The tRPC client handles a frame outside the call that it belongs to, and an exception there would end the process.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {parseBoundedJson} from '../base/bounded-json.js';
import {createDecoder} from '../base/faults.js';

const Answer = Schema.Struct({
	id: Schema.Finite,
	result: Schema.Struct({type: Schema.optionalKey(Schema.Literal('data')), data: Schema.optionalKey(Schema.Unknown)}),
});
const Failure = Schema.Struct({
	id: Schema.NullOr(Schema.Finite),
	error: Schema.Struct({code: Schema.Finite, message: Schema.String, data: Schema.optionalKey(Schema.Unknown)}),
});
const decodeMessage = createDecoder(Schema.Union([Answer, Failure]), 'ignore');

/** A message without a call, which the client ignores. */
const noMessage = {id: null};

/** An encoder of the client, which reports frames that are no valid message. */
export class PeerMessageEncoder {
	/**
	 * @param onInvalid - Called after a frame that is no answer to a call was received.
	 * @returns The encoder.
	 */
	static create(onInvalid: () => void): PeerMessageEncoder {
		return new PeerMessageEncoder(onInvalid);
	}

	private constructor(private readonly onInvalid: () => void) {}

	/** Encodes a call. */
	readonly encode = (message: unknown): string => JSON.stringify(message);

	/** Decodes the content of a frame; never throws. */
	readonly decode = (data: unknown): unknown => {
		const message = parse(data);
		if (message === undefined) {
			this.onInvalid();
			return noMessage;
		}

		return message;
	};
}

/** @returns The message; `undefined` if it is no answer to a call. */
function parse(data: unknown): unknown {
	if (typeof data !== 'string') {
		return undefined;
	}

	try {
		const decoded = decodeMessage(parseBoundedJson(data));
		return Result.isSuccess(decoded) ? decoded.success : undefined;
	} catch {
		return undefined;
	}
}
