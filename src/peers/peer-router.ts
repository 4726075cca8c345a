/**
 * The RPC interface between entry boxes: each procedure of {@link Peer} over tRPC on WebSocket.
 */
import {initTRPC} from '@trpc/server';
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type {Peer} from './peer.js';
import {
	Exchange, LeavingReport, RecordQuery, RecordSnapshot,
} from './peer-messages.js';

const {router, procedure} = initTRPC.create();

/**
 * @param peer - This box.
 * @returns A tRPC router with its procedures.
 */
export function createPeerRouter(peer: Peer) {
	return router({
		exchange: procedure
			.input(Schema.toStandardSchemaV1(Exchange))
			.mutation(async ({input}) => Effect.runPromise(peer.exchange(input))),
		announceLeaving: procedure
			.input(Schema.toStandardSchemaV1(Schema.Array(LeavingReport)))
			.mutation(async ({input}) => Effect.runPromise(peer.announceLeaving(input))),
		fetchTable: procedure
			.query(async () => Effect.runPromise(peer.fetchTable())),
		fetchRecord: procedure
			.input(Schema.toStandardSchemaV1(RecordQuery))
			.mutation(async ({input}) => Effect.runPromise(peer.fetchRecord(input))),
		adoptRecords: procedure
			.input(Schema.toStandardSchemaV1(Schema.Array(RecordSnapshot)))
			.mutation(async ({input}) => Effect.runPromise(peer.adoptRecords(input))),
	});
}

/** Type of the procedures, for the client. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
