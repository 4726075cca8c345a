/**
 * Hands the requests of a box that leaves over to its peers.
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
import type {RecordRegistry} from '../records/record-registry.js';
import type {RequestRecord} from '../records/request-record.js';

/** Timeout of an adopted request, in milliseconds. It replaces the caller's deadline, so that the request can complete. */
const adoptedTimeout = 600_000;
/** Maximum number of records in one message. */
const maxRecordsPerMessage = 16;
/** Maximum size of the records in one message, in bytes: half of what a peer reads. A single record may exceed it. */
const maxBytesPerMessage = 8 * 1024 * 1024;

/** The components that the hand-over needs. */
export type RecordHandOverServices = {
	readonly dataCentre: DataCentre;
	readonly directory: BoxDirectory;
	readonly records: RecordRegistry;
	readonly runs: RunRegistry;
	readonly log: EventLog;
	/** @returns The peers that can be reached. */
	readonly peers: () => readonly ReachablePeer[];
};

/**
 * @param record - A record whose run has ended, or whose further events are not needed.
 * @returns The data that a peer needs to continue the request.
 */
export function snapshotOf(record: RequestRecord): RecordSnapshot {
	return {
		origin: record.origin,
		state: record.state,
		events: record.events,
		...(record.usageEvent === undefined ? {} : {usageEvent: record.usageEvent}),
		remaining: adoptedTimeout,
	};
}

/** Hands records over to peers. */
export class RecordHandOver {
	/**
	 * @param services - The components that it needs.
	 * @returns A hand-over that has sent nothing yet.
	 */
	static create(services: RecordHandOverServices): RecordHandOver {
		return new RecordHandOver(services);
	}

	private constructor(private readonly services: RecordHandOverServices) {}

	/**
	 * Stops all running requests of this box and hands them over to peers. Their callers get a refusal that names the location of the
	 * answer.
	 *
	 * @returns The number of requests that peers adopted.
	 */
	moveActive(): Effect.Effect<number> {
		return Effect.gen({self: this}, function * () {
			const {records, runs, log} = this.services;
			const {active} = records;
			// Stop each run before sending it, so that it never runs on two boxes at once.
			yield * Effect.all(active.map(record => runs.stop(record)), {concurrency: 'unbounded', discard: true});
			const moved = yield * this.moveAll(active);
			log.write('recordsHandedOver', {records: active.length, taken: moved});
			return moved;
		});
	}

	/**
	 * Copies finished answers to peers, so that callers can still fetch them.
	 *
	 * @returns The number of answers that peers adopted.
	 */
	copyFinished(): Effect.Effect<number> {
		return Effect.suspend(() => this.send(this.services.records.finished));
	}

	private moveAll(active: readonly RequestRecord[]): Effect.Effect<number> {
		return Effect.gen({self: this}, function * () {
			const moved = yield * this.send(active);
			for (const record of active) {
				// A caller that still waits here is redirected by the refusal.
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

	/** Sends each batch to one peer only: a peer whose answer was lost may have adopted the batch. */
	private send(records: readonly RequestRecord[]): Effect.Effect<number> {
		const peers = this.receivers();
		if (peers.length === 0) {
			return Effect.succeed(0);
		}

		const batches = splitIntoBatches(records.map(record => snapshotOf(record)));
		const sent = Effect.all(
			peers.map(({peer}, peerIndex) => sendSequentially(peer, batches.filter((_, index) => index % peers.length === peerIndex))),
			{concurrency: 'unbounded'},
		);
		return sent.pipe(Effect.map(counts => sumOf(counts)));
	}

	/** The peers that are not leaving; only those of other data centres if there are any, since the whole data centre may be reclaimed. */
	private receivers(): readonly ReachablePeer[] {
		const {directory, dataCentre} = this.services;
		const staying = this.services.peers().filter(({box, state}) => !directory.isLeaving(box.id) && !state.isStopping);
		const elsewhere = staying.filter(({box}) => box.dataCentre !== dataCentre);
		return elsewhere.length > 0 ? elsewhere : staying;
	}
}

/** Sends one batch after the other, since a link combines simultaneous calls into one message. */
function sendSequentially(peer: Peer, batches: ReadonlyArray<readonly RecordSnapshot[]>): Effect.Effect<number> {
	const adopted = Effect.all(batches.map(batch => peer.adoptRecords(batch).pipe(Effect.catch(() => Effect.succeed(0)))));
	return adopted.pipe(Effect.map(counts => sumOf(counts)));
}

/** Splits records into batches of limited count and size. The count alone does not limit the size, since prompts may be long. */
function splitIntoBatches(snapshots: readonly RecordSnapshot[]): ReadonlyArray<readonly RecordSnapshot[]> {
	const batches: RecordSnapshot[][] = [];
	let batch: RecordSnapshot[] = [];
	let bytes = 0;
	for (const snapshot of snapshots) {
		const size = Buffer.byteLength(JSON.stringify(snapshot));
		if (batch.length === 0 || batch.length === maxRecordsPerMessage || bytes + size > maxBytesPerMessage) {
			batch = [];
			bytes = 0;
			batches.push(batch);
		}

		batch.push(snapshot);
		bytes += size;
	}

	return batches;
}
