/**
 * Encodes and decodes the datagrams by which boxes tell each other of work at replicas.
 */
import {Buffer} from 'node:buffer';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import {decodeDatagram} from '../base/json-datagram.js';
import type {BacklogUpdate} from './backlog-update.js';

/** Updates of one box. */
export type BacklogBatch = {
	/** Tag of the process that made them, by which it recognizes its own. */
	readonly origin: string;
	readonly updates: readonly BacklogUpdate[];
};

/** Content of a datagram. */
export type BacklogDatagram = {
	readonly batches: readonly BacklogBatch[];
	/** Whether the receiver is asked to send the batches to all other boxes. */
	readonly isToForward: boolean;
};

/** Replica, change, whether it is by prompts (1 or 0), pace in per cent (0: unchanged). */
const UpdateRow = Schema.Tuple([Schema.String, Schema.Finite, Schema.Finite, Schema.Finite]);
const BatchRow = Schema.Tuple([Schema.String, Schema.Array(UpdateRow)]);
const decodeLayout = createDecoder(Schema.Struct({backlog: Schema.Array(BatchRow), forward: Schema.optionalKey(Schema.Literal(1))}), 'ignore');
const percent = 100;
/** Beginning of each payload, by which datagrams of other kinds are told apart without decoding them. */
const prefix = Buffer.from('{"backlog":');

/**
 * @param datagram - Updates of one or several boxes.
 * @returns The payload.
 */
export function encodeBacklogs({batches, isToForward}: BacklogDatagram): Uint8Array {
	const rows = batches.map(({origin, updates}) => [
		origin, updates.map(({replica, change, isPrompt, pace}) => [replica, change, isPrompt ? 1 : 0, Math.round((pace ?? 0) * percent)] as const),
	] as const);
	return Buffer.from(JSON.stringify({backlog: rows, ...(isToForward ? {forward: 1} : {})}));
}

/**
 * @param data - The payload of a datagram.
 * @returns Its content; `undefined` if it is of another kind or malformed.
 */
export function decodeBacklogs(data: Uint8Array): BacklogDatagram | undefined {
	if (data.length < prefix.length || prefix.compare(data, 0, prefix.length) !== 0) {
		return undefined;
	}

	const layout = decodeDatagram(data, decodeLayout);
	return layout && {
		isToForward: layout.forward === 1,
		batches: layout.backlog.map(([origin, rows]) => ({
			origin,
			updates: rows.map(([replica, change, isPrompt, pace]) => ({
				replica, change, isPrompt: isPrompt === 1, pace: pace > 0 ? pace / percent : undefined,
			})),
		})),
	};
}
