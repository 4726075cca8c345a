/**
 * The boxes this box knows of. A box that was seen leaving stays leaving, whatever a late list says.
 */
import type {BoxId, PoolName} from '../base/identifiers.js';
import {groupBy} from '../base/group-by.js';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Box, BoxListing} from '../external/box-list.js';

/** Who told that a box is leaving. */
export type LeavingSource = 'reclaim-notice' | 'box-list' | 'peer' | 'upstream';

/** A box that is leaving. */
export type Leaving = {
	readonly box: BoxId;
	readonly source: LeavingSource;
	/** Monotonic clock of this box, in milliseconds, at which it goes; `undefined` where nobody said. */
	readonly endsAt: number | undefined;
};

/** Milliseconds for which a box that is gone from the list is remembered as leaving. */
const goneMemory = 1_800_000;

type LeavingListener = (leaving: Leaving) => void;

/** Holds the last listing and every box that was seen leaving. */
export class BoxDirectory {
	/**
	 * @param self - This box.
	 * @param clock - For the time left of a notice.
	 * @param log - Where changes are told.
	 * @returns A directory that knows of no box yet.
	 */
	static create(self: BoxId, clock: Clock, log: EventLog): BoxDirectory {
		return new BoxDirectory(self, clock, log);
	}

	private listing: BoxListing = {version: 0, boxes: []};
	private readonly leaving = new Map<BoxId, Leaving>();
	/** When boxes went from the list. */
	private readonly goneAt = new Map<BoxId, number>();
	private readonly leavingListeners = new Set<LeavingListener>();
	private readonly listingListeners = new Set<() => void>();
	private entryBoxNames: readonly BoxId[] = [];
	private upstreamsByPool: ReadonlyMap<PoolName, readonly Box[]> = new Map();

	private constructor(
		private readonly self: BoxId,
		private readonly clock: Clock,
		private readonly log: EventLog,
	) {}

	/** Version of the last listing. */
	get version(): number {
		return this.listing.version;
	}

	/** Every box that was seen leaving and may still be listed somewhere. */
	get leavingBoxes(): readonly Leaving[] {
		const oldest = this.clock.monotonic() - goneMemory;
		return [...this.leaving.values()].filter(({box}) => (this.goneAt.get(box) ?? Number.POSITIVE_INFINITY) > oldest);
	}

	/** Entry boxes but this one, leaving ones too: they still hold requests. */
	get peers(): readonly Box[] {
		return this.listing.boxes.filter(box => box.role === 'entry' && box.id !== this.self);
	}

	/** Names of all entry boxes of the last listing, leaving ones too. */
	get entryBoxes(): readonly BoxId[] {
		return this.entryBoxNames;
	}

	/** Every box of the last listing. */
	get boxes(): readonly Box[] {
		return this.listing.boxes;
	}

	/**
	 * Takes a listing, unless one as new is known.
	 *
	 * @param listing - From the platform.
	 */
	takeListing(listing: BoxListing): void {
		if (listing.version <= this.listing.version) {
			return;
		}

		const before = new Set(this.listing.boxes.map(box => box.id));
		this.listing = listing;
		this.forgetGone();
		this.entryBoxNames = listing.boxes.filter(({role}) => role === 'entry').map(({id}) => id);
		this.upstreamsByPool = groupBy(listing.boxes.filter(box => box.pool !== undefined), box => box.pool!);
		const listed = new Set(listing.boxes.map(box => box.id));
		for (const box of listing.boxes.filter(({id, role}) => !before.has(id) && role !== 'entry')) {
			this.log.write('upstreamAppeared', {upstream: box.id});
		}

		// A list that has lost this very box is no reason to go: callers are still on it.
		for (const id of [...before].filter(box => !listed.has(box) && box !== this.self)) {
			this.log.write('upstreamGone', {upstream: id});
			this.goneAt.set(id, this.clock.monotonic());
			this.markLeaving(id, 'box-list', this.clock.monotonic());
		}

		for (const box of listing.boxes.filter(({state}) => state === 'leaving')) {
			this.markLeaving(box.id, 'box-list', undefined);
		}

		for (const listener of this.listingListeners) {
			listener();
		}
	}

	/**
	 * Notes that a box is leaving. A later word may only bring its end forward or make it known.
	 *
	 * @param box - Which box.
	 * @param source - Who told.
	 * @param endsAt - When it goes, on the monotonic clock; `undefined` where nobody said.
	 */
	markLeaving(box: BoxId, source: LeavingSource, endsAt: number | undefined): void {
		const known = this.leaving.get(box);
		if (known && (endsAt === undefined || (known.endsAt !== undefined && known.endsAt <= endsAt))) {
			return;
		}

		const leaving: Leaving = {box, source: known?.source ?? source, endsAt};
		this.leaving.set(box, leaving);
		if (!known) {
			this.log.write('upstreamLeaving', {upstream: box, source});
		}

		for (const listener of this.leavingListeners) {
			listener(leaving);
		}
	}

	/**
	 * @param box - Which box.
	 * @returns Whether it must get no new work.
	 */
	isLeaving(box: BoxId): boolean {
		return this.leaving.has(box);
	}

	/**
	 * @param box - Which box.
	 * @returns What is known of its leaving.
	 */
	leavingOf(box: BoxId): Leaving | undefined {
		return this.leaving.get(box);
	}

	/**
	 * @param pool - Which pool.
	 * @returns Its upstreams that may get new work.
	 */
	upstreams(pool: PoolName): readonly Box[] {
		return (this.upstreamsByPool.get(pool) ?? []).filter(box => !this.leaving.has(box.id));
	}

	/**
	 * @param listener - Told of each box that is leaving, and again when its end becomes known or nearer.
	 * @returns Ends the subscription.
	 */
	onDidLeave(listener: LeavingListener): () => void {
		this.leavingListeners.add(listener);
		return () => {
			this.leavingListeners.delete(listener);
		};
	}

	/**
	 * @param listener - Told after each listing that was taken.
	 * @returns Ends the subscription.
	 */
	onDidChange(listener: () => void): () => void {
		this.listingListeners.add(listener);
		return () => {
			this.listingListeners.delete(listener);
		};
	}

	/** A list that is late by more than this memory does not happen; names are not given twice. */
	private forgetGone(): void {
		const oldest = this.clock.monotonic() - goneMemory;
		for (const [box, goneAt] of this.goneAt) {
			if (goneAt < oldest) {
				this.goneAt.delete(box);
				this.leaving.delete(box);
			}
		}
	}
}
