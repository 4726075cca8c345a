/**
 * The boxes that this box knows. A box that was once marked as leaving stays so, even if an outdated list shows it as live.
 */
import type {BoxId, PoolName} from '../base/identifiers.js';
import {groupBy} from '../base/group-by.js';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Box, BoxListing} from '../external/box-list.js';

/** Source of the information that a box is leaving. */
export type LeavingSource = 'reclaim-notice' | 'box-list' | 'peer' | 'upstream';

/** A box that is leaving. */
export type LeavingBox = {
	readonly box: BoxId;
	readonly source: LeavingSource;
	/** Monotonic milliseconds on this box's clock at which the platform removes the leaving box; `undefined` if unknown. */
	readonly endsAt: number | undefined;
};

/** Milliseconds for which a box that is no longer listed is remembered as leaving. */
const goneRetentionMs = 1_800_000;

type LeavingListener = (leaving: LeavingBox) => void;

/** Holds the last listing and all boxes that are marked as leaving. */
export class BoxDirectory {
	/**
	 * @param self - Name of this box.
	 * @param clock - Clock that measures how long a box has been missing from the list.
	 * @param log - Log for changes.
	 * @returns An empty directory.
	 */
	static create(self: BoxId, clock: Clock, log: EventLog): BoxDirectory {
		return new BoxDirectory(self, clock, log);
	}

	private listing: BoxListing = {version: 0, boxes: []};
	private readonly leaving = new Map<BoxId, LeavingBox>();
	/** Monotonic milliseconds at which boxes disappeared from the list. */
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

	/** All boxes marked as leaving that an outdated list may still contain. */
	get leavingBoxes(): readonly LeavingBox[] {
		const oldest = this.clock.monotonic() - goneRetentionMs;
		return [...this.leaving.values()].filter(({box}) => (this.goneAt.get(box) ?? Number.POSITIVE_INFINITY) > oldest);
	}

	/** All entry boxes except this one. Leaving ones are included, since they still hold requests. */
	get peers(): readonly Box[] {
		return this.listing.boxes.filter(box => box.role === 'entry' && box.id !== this.self);
	}

	/** Names of all entry boxes of the last listing, including leaving ones. */
	get entryBoxes(): readonly BoxId[] {
		return this.entryBoxNames;
	}

	/** All boxes of the last listing. */
	get boxes(): readonly Box[] {
		return this.listing.boxes;
	}

	/**
	 * Applies a listing, unless the known one has the same or a higher version.
	 *
	 * @param listing - Listing from the platform.
	 */
	applyListing(listing: BoxListing): void {
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

		// If this box itself is missing from the list, it keeps running, since clients are still connected to it.
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
	 * Marks a box as leaving. A repeated call can only set an unknown end or move the end to an earlier time.
	 *
	 * @param box - Name of the box.
	 * @param source - Source of the information.
	 * @param endsAt - Monotonic milliseconds at which the platform removes the box; `undefined` if unknown.
	 */
	markLeaving(box: BoxId, source: LeavingSource, endsAt: number | undefined): void {
		const known = this.leaving.get(box);
		if (known && (endsAt === undefined || (known.endsAt !== undefined && known.endsAt <= endsAt))) {
			return;
		}

		const leaving: LeavingBox = {box, source: known?.source ?? source, endsAt};
		this.leaving.set(box, leaving);
		if (!known) {
			this.log.write('upstreamLeaving', {upstream: box, source});
		}

		for (const listener of this.leavingListeners) {
			listener(leaving);
		}
	}

	/**
	 * @param box - Name of the box.
	 * @returns Whether the box is leaving and must get no new work.
	 */
	isLeaving(box: BoxId): boolean {
		return this.leaving.has(box);
	}

	/**
	 * @param box - Name of the box.
	 * @returns Source and end if the box is leaving; `undefined` otherwise.
	 */
	leavingOf(box: BoxId): LeavingBox | undefined {
		return this.leaving.get(box);
	}

	/**
	 * @param pool - Name of the pool.
	 * @returns Upstreams of the pool that may get new work.
	 */
	upstreams(pool: PoolName): readonly Box[] {
		return (this.upstreamsByPool.get(pool) ?? []).filter(box => !this.leaving.has(box.id));
	}

	/**
	 * @param listener - Called for each box that is leaving, and again when its end becomes known or earlier.
	 * @returns A function that ends the subscription.
	 */
	onDidMarkLeaving(listener: LeavingListener): () => void {
		this.leavingListeners.add(listener);
		return () => {
			this.leavingListeners.delete(listener);
		};
	}

	/**
	 * @param listener - Called after each applied listing.
	 * @returns A function that ends the subscription.
	 */
	onDidChange(listener: () => void): () => void {
		this.listingListeners.add(listener);
		return () => {
			this.listingListeners.delete(listener);
		};
	}

	/** Forgets boxes that disappeared long ago. No list is outdated for that long, and names of boxes are not reused. */
	private forgetGone(): void {
		const oldest = this.clock.monotonic() - goneRetentionMs;
		for (const [box, goneAt] of this.goneAt) {
			if (goneAt < oldest) {
				this.goneAt.delete(box);
				this.leaving.delete(box);
			}
		}
	}
}
