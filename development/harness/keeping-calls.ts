/**
 * Calls of the duties that go nowhere, for tests. Development only.
 */
import * as Effect from 'effect/Effect';
import {DutyCalls, type ReplicaOrder} from '../../src/duties/duty-calls.js';

/** Keeps the orders that were given. */
export class KeepingCalls extends DutyCalls {
	readonly orders: ReplicaOrder[] = [];

	override reportUsage(): Effect.Effect<void> {
		return Effect.void;
	}

	override orderReplicas(_signer: unknown, order: ReplicaOrder): Effect.Effect<void> {
		return Effect.sync(() => {
			this.orders.push(order);
		});
	}
}
