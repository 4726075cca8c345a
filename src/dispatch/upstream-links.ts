/**
 * The links of this box to upstreams: a client for each linked upstream, and a fiber that polls its load.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {BoxDirectory} from '../boxes/box-directory.js';
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {BoxId, PoolName} from '../base/identifiers.js';
import type {PoolLoad} from '../limits/pool-gate.js';
import type {Box} from '../external/box-list.js';
import {UpstreamState} from '../routing/upstream-state.js';
import {chooseSubset, targetLinks} from '../routing/upstream-subset.js';
import type {LoadReport} from '../upstream/load-report.js';
import type {ModelEngine} from '../upstream/model-engine.js';
import type {PlainService} from '../upstream/plain-service.js';
import type {UpstreamFailure} from '../upstream/upstream-failure.js';
import type {UpstreamConnector} from './upstream-connector.js';

/** Milliseconds between a load report and the next request for one. */
const reportInterval = 500;

/** A link to a model engine. */
export type EngineLink = {
	readonly state: UpstreamState;
	readonly engine: ModelEngine;
};

/** A link to a plain service. */
export type ServiceLink = {
	readonly state: UpstreamState;
	readonly service: PlainService;
};

/** The common part of a model engine and a plain service. */
type Upstream = {
	readonly load: () => Effect.Effect<LoadReport, UpstreamFailure>;
	readonly close: () => void;
};

/** The client of an upstream and the fiber that polls its load. */
type LinkTask = {
	readonly upstream: Upstream;
	readonly fiber: Fiber.Fiber<unknown>;
};

/** The services that the links depend on. */
export type UpstreamLinksServices = {
	/** This box. */
	readonly self: BoxId;
	readonly directory: BoxDirectory;
	readonly connector: UpstreamConnector;
	readonly clock: Clock;
	readonly log: EventLog;
};

/** Holds links to the upstreams of each pool: to all of a small pool, to a subset of a large one. */
export class UpstreamLinks {
	/**
	 * @param services - The services that the links depend on.
	 * @returns An empty collection; `run` opens the links.
	 */
	static create(services: UpstreamLinksServices): UpstreamLinks {
		return new UpstreamLinks(services);
	}

	private readonly engineLinks = new Map<BoxId, EngineLink>();
	private readonly serviceLinks = new Map<BoxId, ServiceLink>();
	private readonly tasks = new Map<BoxId, LinkTask>();

	private constructor(private readonly services: UpstreamLinksServices) {}

	/** @returns Opens and closes links as the box list changes, until interrupted; then closes all. */
	run(): Effect.Effect<void> {
		const {directory} = this.services;
		const followBoxList = Effect.callback<never>(() => {
			this.reconcile();
			const unsubscribers = [
				directory.onDidChange(() => {
					this.reconcile();
				}),
				// An upstream of a subset that is leaving is replaced at once.
				directory.onDidMarkLeaving(() => {
					this.reconcile();
				}),
			];
			return Effect.sync(() => {
				for (const unsubscribe of unsubscribers) {
					unsubscribe();
				}
			});
		});
		return followBoxList.pipe(Effect.ensuring(Effect.sync(() => {
			this.closeAll();
		})));
	}

	/**
	 * @param pool - Name of the pool.
	 * @returns Links to its engines that can take new requests.
	 */
	engines(pool: PoolName): readonly EngineLink[] {
		return this.usable(pool, this.engineLinks);
	}

	/**
	 * @param pool - Name of the pool.
	 * @returns Links to its plain services that can take new requests. If recent failures exclude all of them, all are
	 * returned: an attempt may succeed, a refusal cannot.
	 */
	plainServices(pool: PoolName): readonly ServiceLink[] {
		const usable = this.usable(pool, this.serviceLinks);
		return usable.length > 0 ? usable : this.linked(pool, this.serviceLinks);
	}

	/**
	 * @param pool - Name of the pool.
	 * @returns Its load, estimated from the last load reports.
	 */
	load(pool: PoolName): PoolLoad {
		const states = [...this.engines(pool), ...this.plainServices(pool)].map(({state}) => state);
		const queued = states.map(({queued}) => queued);
		return {
			upstreams: states.length,
			// The pool has room if its least loaded upstream has.
			queued: queued.length === 0 ? 0 : Math.min(...queued),
		};
	}

	private usable<Link extends {readonly state: UpstreamState}>(pool: PoolName, links: ReadonlyMap<BoxId, Link>): readonly Link[] {
		return this.linked(pool, links).filter(({state}) => state.isUsable);
	}

	private linked<Link>(pool: PoolName, links: ReadonlyMap<BoxId, Link>): readonly Link[] {
		return this.services.directory.upstreams(pool).flatMap(box => links.get(box.id) ?? []);
	}

	private reconcile(): void {
		const listed = new Map(this.services.directory.boxes.filter(({role}) => role !== 'entry').map(box => [box.id, box]));
		const chosen = this.chooseUpstreams(listed);
		for (const box of [...listed.values()].filter(({id}) => chosen.has(id) && !this.tasks.has(id))) {
			this.open(box);
		}

		for (const id of [...this.tasks.keys()].filter(known => !listed.has(known) || this.canClose(known, chosen))) {
			this.close(id);
		}
	}

	/** @returns The upstreams to link: all of a small pool, a subset of a large one. */
	private chooseUpstreams(listed: ReadonlyMap<BoxId, Box>): ReadonlySet<BoxId> {
		const {directory, self} = this.services;
		const pools = new Set([...listed.values()].flatMap(({pool}) => pool === undefined ? [] : [pool]));
		const subsets = [...pools].map(pool => chooseSubset({
			self, boxes: directory.entryBoxes, upstreams: directory.upstreams(pool).map(({id}) => id), target: targetLinks,
		}));
		return new Set(subsets.flatMap(subset => [...subset]));
	}

	/** A link outside the subset stays open while the upstream is leaving or has requests of this box. */
	private canClose(id: BoxId, chosen: ReadonlySet<BoxId>): boolean {
		const link = this.engineLinks.get(id) ?? this.serviceLinks.get(id);
		return !chosen.has(id) && !this.services.directory.isLeaving(id) && link?.state.inFlight === 0;
	}

	private open(box: Box): void {
		const {connector, clock} = this.services;
		const state = UpstreamState.create(box, clock);
		const upstream = box.role === 'model-engine'
			? this.openEngine(box, state, connector)
			: this.openService(box, state, connector);
		const fiber = Effect.runFork(Effect.forever(this.pollLoad(box, state, upstream)));
		this.tasks.set(box.id, {upstream, fiber});
	}

	private openEngine(box: Box, state: UpstreamState, connector: UpstreamConnector): Upstream {
		const engine = connector.engine(box);
		this.engineLinks.set(box.id, {state, engine});
		return {
			load: () => engine.load(),
			close() {
				engine.close();
			},
		};
	}

	private openService(box: Box, state: UpstreamState, connector: UpstreamConnector): Upstream {
		const service = connector.service(box);
		this.serviceLinks.set(box.id, {state, service});
		return {
			load: () => service.load(),
			close() {
				service.close();
			},
		};
	}

	/** Polls the load once. A failure is ignored: requests detect an unreachable upstream themselves. */
	private pollLoad(box: Box, state: UpstreamState, upstream: Upstream): Effect.Effect<void> {
		return upstream.load().pipe(
			Effect.map(report => {
				state.applyReport(report);
				if (report.isLeaving) {
					this.services.directory.markLeaving(box.id, 'upstream', undefined);
				}
			}),
			Effect.catch(() => Effect.void),
			Effect.andThen(Effect.sleep(reportInterval)),
		);
	}

	private close(id: BoxId): void {
		const task = this.tasks.get(id);
		this.tasks.delete(id);
		this.engineLinks.delete(id);
		this.serviceLinks.delete(id);
		task?.upstream.close();
		if (task) {
			Effect.runFork(Fiber.interrupt(task.fiber));
		}
	}

	private closeAll(): void {
		for (const id of this.tasks.keys()) {
			this.close(id);
		}
	}
}
