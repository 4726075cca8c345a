/**
 * Selects replicas by one of two ways, depending on the service.
 */
import type {Replica} from '../replicas/replica.js';
import {
	ReplicaChoice, type ChoiceRequest, type RankedReplica,
} from '../replicas/replica-choice.js';

/** The two ways, and which of them a service uses. */
export type ChoicesByService = {
	readonly byCost: ReplicaChoice;
	readonly byLoad: ReplicaChoice;
	/** @returns Whether the settings and the replicas of the service call for the choice by cost. */
	readonly usesCost: (service: string) => boolean;
};

/** The choice for all services of a box. */
export class ChoiceByService extends ReplicaChoice {
	/**
	 * @param choices - The two ways.
	 * @returns The choice.
	 */
	static create(choices: ChoicesByService): ChoiceByService {
		return new ChoiceByService(choices);
	}

	private constructor(private readonly choices: ChoicesByService) {
		super();
	}

	override rank(candidates: readonly Replica[], request: ChoiceRequest): readonly RankedReplica[] {
		return this.choiceFor(candidates[0]!).rank(candidates, request);
	}

	override unreadTokens(replica: Replica, request: ChoiceRequest): number {
		return this.choiceFor(replica).unreadTokens(replica, request);
	}

	override recordRead(replica: Replica, request: ChoiceRequest): void {
		this.choiceFor(replica).recordRead(replica, request);
	}

	private choiceFor({entry: {service}}: Replica): ReplicaChoice {
		const {byCost, byLoad, usesCost} = this.choices;
		return usesCost(service) ? byCost : byLoad;
	}
}
