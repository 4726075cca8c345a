/**
 * Encodes and decodes the load reports of a gossip datagram.
 */
import * as Schema from 'effect/Schema';
import type {LoadUpdate} from '../replica-load/load-update.js';

/** Service, replica start, running, waiting, slots, pace, age; see {@link LoadUpdate}. */
const LoadRow = Schema.Tuple([Schema.String, Schema.String, Schema.Number, Schema.Number, Schema.Number, Schema.NullOr(Schema.Number), Schema.Number]);

/** Field of a message or a digest; absent where there are no reports. */
export const loadFields = {loads: Schema.optionalKey(Schema.Array(LoadRow))};

type LoadRows = ReadonlyArray<typeof LoadRow.Type>;

/**
 * @param loads - Load reports; absent where there are none.
 * @returns The field of the layout, if there is one.
 */
export function loadLayoutOf(loads: readonly LoadUpdate[] | undefined): {readonly loads?: LoadRows} {
	return loads
		? {loads: loads.map(({service, start, running, waiting, slots, pace, age}) => [service, start, running, waiting, slots, pace ?? null, age] as const)}
		: {};
}

/**
 * @param rows - Decoded rows; absent where there are none.
 * @returns The field of the message, if there is one. The receiver checks the figures.
 */
export function loadContentOf(rows: LoadRows | undefined): {readonly loads?: readonly LoadUpdate[]} {
	return rows
		? {
			loads: rows.map(([service, start, running, waiting, slots, pace, age]) => ({
				service, start, running, waiting, slots, pace: pace ?? undefined, age,
			})),
		}
		: {};
}
