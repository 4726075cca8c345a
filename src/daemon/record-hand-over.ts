/**
 * Hands the requests of a box that goes over to its peers.
 */
import {Buffer} from 'node:buffer';
import * as Effect from 'effect/Effect';
import {sumOf} from '../base/sum.js';
import type {EventLog} from '../base/event-log.js';
import type {DataCentre} from '../base/identifiers.js';
import {Refusal} from '../base/verdict.js';
import type {BoxDirectory} from '../boxes/box-directory.js';
import type {RunRegistry} from '../dispatch/run-registry.js';
import type {Peer} from '../peers/peer.js';
import type {ReachablePeer} from '../peers/peer-links.js';
import type {RecordSnapshot} from '../peers/peer-messages.js';
import type {RecordBook} from '../records/record-book.js';
import type {RequestRecord} from '../records/request-record.js';

/** Milliseconds an adopted request may take, whatever its caller's deadline was: it must be allowed to complete. */
const adoptedDeadline = 600_000;
/** Records in one message at most. */
const recordsPerMessage = 16;
/** Bytes of records in one message at most, unless one alone has more: half of what a peer reads. */
const bytesPerMessage = 8 * 1024 * 1024;

/** What handing over needs. */
export type RecordHandOverServices = {
	readonly dataCentre: DataCentre;
	readonly directory: BoxDirectory;
	readonly records: RecordBook;
	readonly runs: RunRegistry;
	readonly log: EventLog;
	/** @returns Peers that answer. */
	readonly peers: () => readonly ReachablePeer[];
};

/**
 * @param record - A record whose run has ended or does not matter.
 * @returns What a peer needs to go on with it.
 */
export function snapshotOf(record: RequestRecord): RecordSnapshot {
	return {
		origin: record.origin,
		state: record.state,
		events: record.events,
		...(record.usageEvent === undefined ? {} : {usageEvent: record.usageEvent}),
		remaining: adoptedDeadline,
	};
}

/** Hands records over. */
export class RecordHandOver {
	/**
	 * @param services - What it needs.
	 * @returns The hand-over.
	 */
	static create(services: RecordHandOverServices): RecordHandOver {
		return new RecordHandOver(services);
	}

	private constructor(private readonly services: RecordHandOverServices) {}

	/**
	 * Stops every run of this box and hands it to a peer; callers are told where their answer will be.
	 *
	 * @returns How many were handed over.
	 */
	moveActive(): Effect.Effect<number> {
		return Effect.gen({self: this}, function * () {
			const {records, runs, log} = this.services;
			const {active} = records;
			// A run that is stopped here cannot go on at two boxes.
			yield * Effect.all(active.map(record => runs.stop(record)), {concurrency: 'unbounded', discard: true});
			const moved = yield * this.moveAll(active);
			log.write('recordsHandedOver', {records: active.length, taken: moved});
			return moved;
		});
	}

	/**
	 * Copies finished answers to a peer, so that their callers still find them.
	 *
	 * @returns How many were copied.
	 */
	copyFinished(): Effect.Effect<number> {
		return Effect.suspend(() => this.send(this.services.records.finished));
	}

	private moveAll(active: readonly RequestRecord[]): Effect.Effect<number> {
		return Effect.gen({self: this}, function * () {
			const moved = yield * this.send(active);
			for (const record of active) {
				// Whoever still asks here is sent to where the request is.
				this.services.records.remove(record);
				record.refuse(Refusal.create(
					'moved-to-peer',
					'This box is taken back by the platform. The request goes on at another; fetch its answer by its key.',
					{location: `/v1/requests/${encodeURIComponent(record.origin.key)}`},
				));
			}

			return moved;
		});
	}

	/** A part whose answer is lost may have been taken: it is not offered to a second peer. */
	private send(records: readonly RequestRecord[]): Effect.Effect<number> {
		const peers = this.receivers();
		if (peers.length === 0) {
			return Effect.succeed(0);
		}

		const parts = partsOf(records.map(record => snapshotOf(record)));
		const sent = Effect.all(
			peers.map(({peer}, place) => sendInTurn(peer, parts.filter((_, index) => index % peers.length === place))),
			{concurrency: 'unbounded'},
		);
		return sent.pipe(Effect.map(counts => sumOf(counts)));
	}

	/** Peers that stay, those of other data centres first: a whole data centre may be going. */
	private receivers(): readonly ReachablePeer[] {
		const {directory, dataCentre} = this.services;
		const staying = this.services.peers().filter(({box, state}) => !directory.isLeaving(box.id) && !state.isStopping);
		const elsewhere = staying.filter(({box}) => box.dataCentre !== dataCentre);
		return elsewhere.length > 0 ? elsewhere : staying;
	}
}

/** One after the other: calls of the same moment go over a link as one message. */
function sendInTurn(peer: Peer, parts: ReadonlyArray<readonly RecordSnapshot[]>): Effect.Effect<number> {
	const taken = Effect.all(parts.map(part => peer.adoptRecords(part).pipe(Effect.catch(() => Effect.succeed(0)))));
	return taken.pipe(Effect.map(counts => sumOf(counts)));
}

/** Prompts may be long: neither the number of records nor their bytes alone bound a message. */
function partsOf(snapshots: readonly RecordSnapshot[]): ReadonlyArray<readonly RecordSnapshot[]> {
	const parts: RecordSnapshot[][] = [];
	let part: RecordSnapshot[] = [];
	let bytes = 0;
	for (const snapshot of snapshots) {
		const size = Buffer.byteLength(JSON.stringify(snapshot));
		if (part.length === 0 || part.length === recordsPerMessage || bytes + size > bytesPerMessage) {
			part = [];
			bytes = 0;
			parts.push(part);
		}

		part.push(snapshot);
		bytes += size;
	}

	return parts;
}
