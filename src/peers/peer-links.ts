/**
 * The connections of this box to its peers: one background task for each entry box in the box list.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {BoxId} from '../base/identifiers.js';
import type {Metrics} from '../base/metrics.js';
import type {BoxDirectory, LeavingBox} from '../boxes/box-directory.js';
import {grantLifetime} from '../limits/ceiling-grant.js';
import type {CeilingOwner} from '../limits/ceiling-owner.js';
import type {Ceilings} from '../limits/ceilings.js';
import {decodeRates, encodeRates} from '../limits/row-rates.js';
import type {Box} from '../external/box-list.js';
import type {Peer, PeerFailure} from './peer.js';
import type {LeavingReport, PeerState, StoredTable} from './peer-messages.js';
import {RemotePeer} from './remote-peer.js';

/** Milliseconds between two exchanges on a link, before jitter. */
const exchangeInterval = 1000;
/** Milliseconds between a failed exchange and the next one. */
const pauseAfterFailure = 500;

/** Dependencies of the links. */
export type PeerLinksServices = {
	readonly self: BoxId;
	readonly directory: BoxDirectory;
	readonly ceilings: Ceilings;
	readonly owner: CeilingOwner;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** @returns The state of this box to send to peers. */
	readonly state: () => PeerState;
	/** @returns Names of all rows of the active table, in table order. */
	readonly rowNames: () => readonly string[];
	/** Applies a table that is active at a peer. */
	readonly applyTable: (table: StoredTable) => void;
};

/** The connection to one peer. */
type Link = {
	readonly box: Box;
	readonly peer: RemotePeer;
	/** The task that runs the exchanges; set once it is started. */
	fiber: Fiber.Fiber<unknown> | undefined;
	/** The latest state received from the peer; `undefined` while it does not answer. */
	state: PeerState | undefined;
	/** Start of the latest exchange that the peer answered, in monotonic milliseconds. */
	answeredAt: number;
};

/** A peer that answered recently. */
export type ReachablePeer = {
	readonly box: Box;
	readonly peer: Peer;
	readonly state: PeerState;
};

/** Maintains a link to each peer. */
export class PeerLinks {
	/**
	 * @param services - The dependencies.
	 * @returns An empty set of links; {@link run} opens them.
	 */
	static create(services: PeerLinksServices): PeerLinks {
		return new PeerLinks(services);
	}

	private readonly links = new Map<BoxId, Link>();

	private constructor(private readonly services: PeerLinksServices) {}

	/** Peers that answered within the lifetime of a ceiling grant. */
	get reachable(): readonly ReachablePeer[] {
		const oldest = this.services.clock.monotonic() - grantLifetime;
		return [...this.links.values()].flatMap(({box, peer, state, answeredAt}) => state && answeredAt >= oldest ? [{box, peer, state}] : []);
	}

	/** @returns An effect that runs a task for each peer until it is interrupted, then closes all links. */
	run(): Effect.Effect<void> {
		const {directory} = this.services;
		const follow = Effect.callback<never>(() => {
			this.reconcile();
			const stopChanges = directory.onDidChange(() => {
				this.reconcile();
			});
			const stopLeaving = directory.onDidMarkLeaving(leaving => {
				this.announce(leaving);
			});
			return Effect.sync(() => {
				stopChanges();
				stopLeaving();
			});
		});
		return Effect.raceFirst(follow, this.grantSelf()).pipe(Effect.ensuring(Effect.sync(() => {
			for (const id of this.links.keys()) {
				this.close(id);
			}
		})));
	}

	private reconcile(): void {
		const listed = new Map(this.services.directory.peers.flatMap(box => box.peerPort === undefined ? [] : [[box.id, box] as const]));
		for (const box of [...listed.values()].filter(({id}) => !this.links.has(id))) {
			this.open(box);
		}

		for (const id of [...this.links.keys()].filter(known => !listed.has(known))) {
			this.close(id);
		}

		this.services.metrics.peersReachable.set(this.reachable.length);
	}

	private open(box: Box): void {
		const peer = RemotePeer.create(box.host, box.peerPort!);
		const link: Link = {
			box,
			peer,
			fiber: undefined,
			state: undefined,
			answeredAt: Number.NEGATIVE_INFINITY,
		};
		this.links.set(box.id, link);
		link.fiber = Effect.runFork(this.serve(link));
	}

	private close(id: BoxId): void {
		const link = this.links.get(id);
		this.links.delete(id);
		if (link?.fiber) {
			Effect.runFork(Fiber.interrupt(link.fiber));
		}

		link?.peer.close();
	}

	/** The task of one link: repeats the exchange forever. */
	private serve(link: Link): Effect.Effect<never> {
		return Effect.forever(this.exchange(link).pipe(
			Effect.andThen(Effect.sleep(exchangeInterval * (0.9 + (Math.random() / 5)))),
			Effect.catch(error => Effect.suspend(() => {
				this.recordLoss(link, error);
				return Effect.sleep(pauseAfterFailure);
			})),
		));
	}

	private exchange(link: Link): Effect.Effect<void, PeerFailure> {
		const {clock, ceilings, directory} = this.services;
		return Effect.gen({self: this}, function * () {
			const askedAt = clock.monotonic();
			const state = this.services.state();
			const rowNames = this.services.rowNames();
			const demands = encodeRates(ceilings.demandsFor(link.box.id, this.reachableIds()), rowNames);
			const answer = yield * link.peer.exchange({state, demands});
			this.recordAnswer(link, askedAt);
			link.state = answer.state;
			ceilings.applyGrants(link.box.id, decodeRates(answer.grants, rowNames), askedAt);
			for (const report of answer.state.leaving) {
				directory.markLeaving(report.box, 'peer', stopTimeOf(report, askedAt));
			}

			if (answer.state.tableVersion > state.tableVersion) {
				yield * this.fetchTable(link);
			}
		});
	}

	private fetchTable(link: Link): Effect.Effect<void, PeerFailure> {
		return link.peer.fetchTable().pipe(Effect.map(table => {
			if (table) {
				this.services.applyTable(table);
			}
		}));
	}

	private recordAnswer(link: Link, askedAt: number): void {
		if (!link.state) {
			this.services.log.write('peerConnected', {peer: link.box.id});
		}

		link.answeredAt = askedAt;
		this.services.metrics.peersReachable.set(this.reachable.length);
	}

	private recordLoss(link: Link, failure: PeerFailure): void {
		if (link.state) {
			this.services.log.write('peerLost', {peer: link.box.id, detail: failure.detail});
		}

		link.state = undefined;
		this.services.metrics.peersReachable.set(this.reachable.length);
	}

	private reachableIds(): readonly BoxId[] {
		return [this.services.self, ...this.reachable.map(({box}) => box.id)];
	}

	/** Requests ceiling grants from this box for the rows that it owns itself. */
	private grantSelf(): Effect.Effect<never> {
		const {self, ceilings, owner, clock} = this.services;
		return Effect.forever(Effect.sleep(exchangeInterval).pipe(Effect.map(() => {
			const askedAt = clock.monotonic();
			ceilings.applyGrants(self, owner.grant(self, ceilings.demandsFor(self, this.reachableIds())), askedAt);
		})));
	}

	/** Notifies all peers at once; a peer that misses the notification gets it with the next exchange. */
	private announce({box, source, endsAt}: LeavingBox): void {
		if (source === 'peer') {
			return;
		}

		const report = leavingReportOf(box, endsAt, this.services.clock.monotonic());
		for (const {peer} of this.links.values()) {
			Effect.runFork(Effect.ignore(peer.announceLeaving([report])));
		}
	}
}

/**
 * @param box - A box that is leaving.
 * @param endsAt - When it will stop, in monotonic milliseconds of this box; `undefined` where that is not known.
 * @param now - The current time on the same clock.
 * @returns The report to send to a peer.
 */
export function leavingReportOf(box: BoxId, endsAt: number | undefined, now: number): LeavingReport {
	return endsAt === undefined ? {box} : {box, remaining: Math.max(0, endsAt - now)};
}

/**
 * @param report - A report received from a peer.
 * @param receivedAt - When it was received, in monotonic milliseconds of this box.
 * @returns When the box will stop, on the monotonic clock of this box; `undefined` where that is not known.
 */
export function stopTimeOf(report: LeavingReport, receivedAt: number): number | undefined {
	return report.remaining === undefined ? undefined : receivedAt + report.remaining;
}
