/**
 * Answers the calls that peers make to this box.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import {Refusal} from '../base/verdict.js';
import type {BoxDirectory} from '../boxes/box-directory.js';
import {ChatRun} from '../dispatch/chat-run.js';
import type {DispatchServices} from '../dispatch/dispatch-services.js';
import {promptOf} from '../door/chat-request.js';
import type {CeilingOwner} from '../limits/ceiling-owner.js';
import {decodeRates, encodeRates} from '../limits/row-rates.js';
import {Peer, type PeerFailure} from '../peers/peer.js';
import {stopTimeOf} from '../peers/peer-links.js';
import type {
	Exchange, ExchangeAnswer, LeavingReport, PeerState, RecordQuery, RecordSnapshot, StoredTable,
} from '../peers/peer-messages.js';
import {RequestRecord, type RecordOrigin} from '../records/request-record.js';
import type {TableView} from '../table/table-view.js';
import {encodeVersionedTable} from '../table/versioned-table.js';
import {snapshotOf} from './record-hand-over.js';

/** The components that this box needs to answer its peers. */
export type LocalPeerServices = {
	readonly clock: Clock;
	readonly directory: BoxDirectory;
	readonly owner: CeilingOwner;
	readonly table: TableView;
	readonly dispatch: DispatchServices;
	/** @returns The current state of this box, as sent to peers. */
	readonly state: () => PeerState;
};

/** This box as a peer of the other boxes. */
export class LocalPeer extends Peer {
	/**
	 * @param services - The components of this box.
	 * @returns A peer whose calls this box answers itself.
	 */
	static create(services: LocalPeerServices): LocalPeer {
		return new LocalPeer(services);
	}

	private constructor(private readonly services: LocalPeerServices) {
		super();
	}

	override exchange({state, demands}: Exchange): Effect.Effect<ExchangeAnswer> {
		return Effect.sync(() => {
			this.markLeaving(state.leaving);
			return {state: this.services.state(), grants: this.grant(state, demands)};
		});
	}

	override announceLeaving(reports: readonly LeavingReport[]): Effect.Effect<void> {
		return Effect.sync(() => {
			this.markLeaving(reports);
		});
	}

	override fetchTable(): Effect.Effect<StoredTable | undefined> {
		return Effect.sync(() => {
			const {inForce} = this.services.table;
			return inForce && {version: inForce.version, value: encodeVersionedTable(inForce.edit, inForce.table)};
		});
	}

	override fetchRecord({account, key, isTakingOver}: RecordQuery): Effect.Effect<RecordSnapshot | undefined, PeerFailure> {
		return Effect.gen({self: this}, function * () {
			const {records, runs} = this.services.dispatch;
			const record = records.lookUp({account, key});
			if (!record) {
				return undefined;
			}

			if (!isTakingOver || record.state === 'finished') {
				return snapshotOf(record);
			}

			yield * runs.stop(record);
			records.remove(record);
			const snapshot = snapshotOf(record);
			record.refuse(Refusal.create('moved-to-peer', 'The caller resumed this stream at another box.'));
			return snapshot;
		});
	}

	override adoptRecords(snapshots: readonly RecordSnapshot[]): Effect.Effect<number> {
		return Effect.sync(() => snapshots.filter(snapshot => this.adopt(snapshot)).length);
	}

	/** Grants nothing to a box with another version of the table: rates refer to rows by index, and its indexes mean other rows. */
	private grant({box, tableVersion}: PeerState, demands: readonly number[]): readonly number[] {
		const {table, owner} = this.services;
		return tableVersion === table.version
			? encodeRates(owner.grant(box, decodeRates(demands, table.rowNames)), table.rowNames)
			: [];
	}

	private markLeaving(reports: readonly LeavingReport[]): void {
		const now = this.services.clock.monotonic();
		for (const report of reports) {
			this.services.directory.markLeaving(report.box, 'peer', stopTimeOf(report, now));
		}
	}

	/** Resumes a request of another box. Its caller finds it here by the request key. */
	private adopt(snapshot: RecordSnapshot): boolean {
		const {records, runs, log} = this.services.dispatch;
		if (records.lookUp(snapshot.origin)) {
			return false;
		}

		const origin: RecordOrigin = {...snapshot.origin, isNamed: true};
		const record = RequestRecord.create(origin, snapshot.events);
		record.usageEvent = snapshot.usageEvent;
		records.add(record);
		log.write('recordAdopted', {position: record.position, state: snapshot.state});
		if (snapshot.state === 'finished') {
			record.finish();
			records.retire(record);
		} else {
			runs.start(record, this.resume(record, snapshot));
		}

		return true;
	}

	private resume(record: RequestRecord, {origin, remaining}: RecordSnapshot): Effect.Effect<void> {
		const {table, dispatch, clock} = this.services;
		const service = table.service(origin.service);
		const row = service && table.row(origin.account, service.name, origin.kind);
		if (!service || !row) {
			record.refuse(Refusal.create('not-allowed', 'The table no longer has a row for this request.', {verdict: 'may-have-run'}));
			return Effect.void;
		}

		const messages = origin.body.messages as ReadonlyArray<{readonly content?: unknown}>;
		return ChatRun.create(dispatch, record, {
			row,
			service,
			prompt: promptOf(messages),
			maximumTokens: Number(origin.body.max_tokens),
			deadlineAt: clock.monotonic() + remaining,
			origin: 'box-left',
		}).run();
	}
}
