/**
 * Writes the summary of this box's data centre while this box holds the lease for it.
 */
import * as Effect from 'effect/Effect';
import type {EventLog} from '../base/event-log.js';
import type {DataCentre} from '../base/identifiers.js';
import type {HeldLease, Lease} from '../lease/lease.js';
import type {PeerState} from '../peers/peer-messages.js';
import type {ObjectStore} from '../external/object-store.js';
import {summaryKey, type DataCentreSummary} from './data-centre-summary.js';

/** Milliseconds between two writes. Ten data centres make 2 writes a second of the 100 that the platform allows. */
const writeIntervalMs = 5000;

/** Services that the duty uses. */
export type SummaryDutyServices = {
	readonly dataCentre: DataCentre;
	readonly store: ObjectStore;
	readonly log: EventLog;
	/** @returns State of this box. */
	readonly own: () => PeerState;
	/** @returns States of the other boxes of the data centre. */
	readonly others: () => readonly PeerState[];
};

/** Writes the summary of one data centre. */
export class SummaryDuty {
	/**
	 * @param services - Services that the duty uses.
	 * @returns The duty.
	 */
	static create(services: SummaryDutyServices): SummaryDuty {
		return new SummaryDuty(services);
	}

	private sequence = 0;

	private constructor(private readonly services: SummaryDutyServices) {}

	/**
	 * @param lease - The lease for this duty.
	 * @returns Runs until interrupted.
	 */
	run(lease: Lease): Effect.Effect<never> {
		return lease.whileHeld(held => this.writePeriodically(held));
	}

	private writePeriodically(held: HeldLease): Effect.Effect<never> {
		this.services.log.write('summaryWritten', {dataCentre: this.services.dataCentre, generation: held.generation});
		return Effect.forever(this.write(held).pipe(Effect.andThen(Effect.sleep(writeIntervalMs))));
	}

	/** Writes the summary once. A failure is ignored, since the next write repeats it. */
	private write(held: HeldLease): Effect.Effect<void> {
		const {store, dataCentre} = this.services;
		return store.read(summaryKey(dataCentre)).pipe(
			Effect.flatMap(({version}) => held.timeLeft() > 0
				? store.write(summaryKey(dataCentre), JSON.stringify(this.summarise()), version)
				: Effect.void),
			Effect.ignore,
		);
	}

	private summarise(): DataCentreSummary {
		const {own, others, dataCentre} = this.services;
		const self = own();
		this.sequence++;
		return {
			dataCentre,
			writer: self.box,
			sequence: this.sequence,
			boxes: [self, ...others()].map(({box, tableVersion, inProgress, isStopping}) => ({
				box, tableVersion, inProgress, isStopping,
			})),
			leaving: self.leaving.map(({box}) => box),
		};
	}
}
