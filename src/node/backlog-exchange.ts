/**
 * Sends and receives the datagrams by which boxes tell each other of work at replicas.
 *
 * @remarks
 * In a small fleet a box sends to all others. In a large one it sends to one aggregator, which collects the updates of all boxes for a moment and sends them on: datagrams from
 * each box to each other would be 16,000 a second at 62 boxes. An update is some 35 ms old when it arrives.
 */
import {
	decodeBacklogs, encodeBacklogs, type BacklogBatch,
} from '../backlog/backlog-codec.js';
import type {BacklogUpdate} from '../backlog/backlog-update.js';
import type {Backlogs} from '../backlog/backlogs.js';
import {hashText} from '../base/rendezvous.js';
import type {ExchangeTopology} from '../gossip/exchange-topology.js';
import type {DatagramAddress} from '../gossip/gossip.js';
import type {PeerTable} from '../gossip/peer-table.js';
import type {LoadReports} from '../replica-load/load-reports.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';

/** Milliseconds for which a box collects updates. */
const collectTime = 10;
/** Milliseconds for which an aggregator collects the updates of other boxes. */
const forwardTime = 40;
/** Updates in one datagram; more might not fit into a packet. */
const maxUpdates = 32;
/** Updates that wait to be sent at most; beyond that new ones are dropped. */
const maxPending = 1024;
const tagBase = 36;

/** Dependencies of the exchange. */
export type BacklogExchangeServices = {
	/** Name of this process. */
	readonly process: string;
	readonly peers: Pick<PeerTable, 'all' | 'heard'>;
	readonly topology: Pick<ExchangeTopology, 'isLarge' | 'aggregators'>;
	readonly replicas: Pick<ReplicaDirectory, 'byId'>;
	readonly loads: Pick<LoadReports, 'recordNews'>;
	readonly backlogs: () => Pick<Backlogs, 'apply'>;
	readonly send: (data: Uint8Array, to: DatagramAddress) => void;
};

/** The exchange of one box. A lost update is not repeated, since the work that it tells of ends within a second or two. */
export class BacklogExchange {
	/**
	 * @param services - Its dependencies.
	 * @returns The exchange.
	 */
	static create(services: BacklogExchangeServices): BacklogExchange {
		return new BacklogExchange(services);
	}

	/** Identifies the updates of this process when they come back from an aggregator. */
	private readonly origin: string;
	private own: BacklogUpdate[] = [];
	private forwarded: BacklogBatch[] = [];

	private constructor(private readonly services: BacklogExchangeServices) {
		this.origin = hashText(services.process).toString(tagBase);
	}

	/** @param update - News of a replica, for all other boxes. */
	tell(update: BacklogUpdate): void {
		if (this.own.length === 0) {
			setTimeout(() => {
				this.sendOwn();
			}, collectTime).unref();
		}

		if (this.own.length < maxPending) {
			this.own.push(update);
		}
	}

	/**
	 * @param data - A datagram.
	 * @returns Whether it was of this exchange.
	 */
	receive(data: Uint8Array): boolean {
		const datagram = decodeBacklogs(data);
		for (const {updates} of datagram?.batches.filter(({origin}) => origin !== this.origin) ?? []) {
			this.apply(updates);
		}

		if (datagram?.isToForward) {
			this.forward(datagram.batches);
		}

		return datagram !== undefined;
	}

	private sendOwn(): void {
		const {peers, topology, send} = this.services;
		const updates = this.own;
		this.own = [];
		const [aggregator] = topology.isLarge ? topology.aggregators : [];
		for (const batch of chunksOf(updates)) {
			const data = encodeBacklogs({batches: [{origin: this.origin, updates: batch}], isToForward: aggregator !== undefined});
			for (const {address} of aggregator ? [aggregator] : peers.heard) {
				send(data, address);
			}
		}
	}

	private forward(batches: readonly BacklogBatch[]): void {
		if (this.forwarded.length === 0) {
			setTimeout(() => {
				this.sendForwarded();
			}, forwardTime).unref();
		}

		if (this.forwarded.length < maxPending) {
			this.forwarded.push(...batches);
		}
	}

	/** Sends each datagram to all boxes, also to those that made the updates, which skip their own: it is then encoded only once. */
	private sendForwarded(): void {
		const batches = this.forwarded;
		this.forwarded = [];
		for (const part of groupsOf(batches)) {
			const data = encodeBacklogs({batches: part, isToForward: false});
			for (const {address} of this.services.peers.all) {
				this.services.send(data, address);
			}
		}
	}

	/** Updates of replicas that this box does not know are ignored. */
	private apply(updates: readonly BacklogUpdate[]): void {
		const {replicas, loads, backlogs} = this.services;
		for (const update of updates) {
			const replica = replicas.byId(update.replica);
			if (replica) {
				backlogs().apply(replica.start, update);
			}

			if (replica && update.pace !== undefined) {
				loads.recordNews(replica.entry.service, replica.start, update.pace);
			}
		}
	}
}

const chunksOf = (updates: readonly BacklogUpdate[]): ReadonlyArray<readonly BacklogUpdate[]> =>
	Array.from({length: Math.ceil(updates.length / maxUpdates)}, (_, index) => updates.slice(index * maxUpdates, (index + 1) * maxUpdates));

/** Batches in groups that fit into a datagram each; a batch has at most as many updates as a datagram. */
function groupsOf(batches: readonly BacklogBatch[]): ReadonlyArray<readonly BacklogBatch[]> {
	const groups: BacklogBatch[][] = [[]];
	let size = 0;
	for (const batch of batches) {
		if (size + batch.updates.length > maxUpdates) {
			groups.push([]);
			size = 0;
		}

		groups.at(-1)!.push(batch);
		size += batch.updates.length;
	}

	return groups.filter(({length}) => length > 0);
}
