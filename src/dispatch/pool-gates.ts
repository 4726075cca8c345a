/**
 * The admission gate and the retry budget of each pool.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {PoolName} from '../base/identifiers.js';
import type {Metrics} from '../base/metrics.js';
import {PoolGate} from '../limits/pool-gate.js';
import {RetryBudget} from '../retries/retry-budget.js';
import type {UpstreamLinks} from './upstream-links.js';

/** Milliseconds between two ticks of the gates. */
const tickInterval = 250;

/** Holds the admission gate and the retry budget of each pool on this box; creates them on first use. */
export class PoolGates {
	/**
	 * @param links - Report the load of a pool.
	 * @param clock - Measures waiting times.
	 * @param metrics - Receive the number of waiting requests.
	 * @returns The gates; `run` starts their ticks.
	 */
	static create(links: UpstreamLinks, clock: Clock, metrics: Metrics): PoolGates {
		return new PoolGates(links, clock, metrics);
	}

	private readonly gates = new Map<PoolName, PoolGate>();
	private readonly budgets = new Map<PoolName, RetryBudget>();

	private constructor(
		private readonly links: UpstreamLinks,
		private readonly clock: Clock,
		private readonly metrics: Metrics,
	) {}

	/** @returns Ticks all gates until interrupted. */
	run(): Effect.Effect<never> {
		return Effect.forever(Effect.sleep(tickInterval).pipe(Effect.map(() => {
			for (const [pool, gate] of this.gates) {
				gate.tick();
				this.metrics.waiting.set({pool}, gate.waitingCount);
			}
		})));
	}

	/**
	 * @param pool - Name of the pool.
	 * @returns Its gate.
	 */
	gate(pool: PoolName): PoolGate {
		const existing = this.gates.get(pool);
		if (existing) {
			return existing;
		}

		const gate = PoolGate.create(() => this.links.load(pool), this.clock);
		this.gates.set(pool, gate);
		return gate;
	}

	/**
	 * @param pool - Name of the pool.
	 * @returns Its retry budget.
	 */
	budget(pool: PoolName): RetryBudget {
		const existing = this.budgets.get(pool);
		if (existing) {
			return existing;
		}

		const budget = RetryBudget.create(this.clock);
		this.budgets.set(pool, budget);
		return budget;
	}
}
