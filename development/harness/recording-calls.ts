/**
 * Duty calls that are recorded instead of sent, for tests. Development only.
 */
import * as Effect from 'effect/Effect';
import {DutyCalls, type ReplicaOrder} from '../../src/duties/duty-calls.js';

/** Records replica orders and ignores usage reports. */
export class RecordingCalls extends DutyCalls {
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
