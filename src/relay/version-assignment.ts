/**
 * The versions that one request may be sent to while its service is rolled out.
 */
import {hashText} from '../base/rendezvous.js';
import type {Replica} from '../replicas/replica.js';
import type {ReplicaDirectory} from '../replicas/replica-directory.js';
import type {RolloutDirective} from '../rollout/rollout-directive.js';
import type {RolloutView} from '../rollout/rollout-view.js';
import type {VersionEvidence} from '../rollout/version-evidence.js';
import type {AdmittedRequest} from './admitted-request.js';

/** Dependencies of an assignment. */
export type VersionAssignmentServices = {
	readonly rollouts: RolloutView;
	readonly evidence: VersionEvidence;
	readonly replicas: ReplicaDirectory;
	/** @returns The request, with the route of the configuration that is now in force. */
	readonly request: () => AdmittedRequest;
	/** @returns A random number from 0 up to 1, exclusive. */
	readonly random?: () => number;
};

/** The assignment of one request. */
export class VersionAssignment {
	/**
	 * @param services - Dependencies.
	 * @returns An assignment that is decided when the first replica is chosen.
	 */
	static create(services: VersionAssignmentServices): VersionAssignment {
		return new VersionAssignment(services);
	}

	/** Decides whether the request belongs to the part of the traffic that shifts first. */
	private readonly draw: number;
	/** Step of the permit that the request holds; `undefined` if it holds none. */
	private permit: {readonly service: string; readonly step: number} | undefined;
	/** Replicas that requests with a permit are sent to, while the request holds one. */
	private trialReplicas: ReadonlySet<Replica> = new Set();
	/** Whether the target version was tried; a retry goes to another version. */
	private hasTried = false;

	private constructor(private readonly services: VersionAssignmentServices) {
		this.draw = (services.random ?? Math.random)();
	}

	/** Takes a permit for the target version, if one is left and the version can serve. To be called before a replica is chosen. */
	prepare(): void {
		const {rollouts, evidence, replicas, request} = this.services;
		const {service, route} = request();
		const directive = rollouts.of(service);
		if (directive?.phase !== 'trial' || this.hasTried || !evidence.canCompare(service)) {
			return;
		}

		const isTarget = ({entry, isLeaving}: Replica) => entry.service === service && entry.software === directive.target && !isLeaving;
		const targets = replicas.all.filter(replica => isTarget(replica));
		const step = this.permit === undefined && targets.length > 0 ? rollouts.takePermit(service, route.name) : undefined;
		this.permit = step === undefined ? this.permit : {service, step};
		if (this.permit) {
			this.trialReplicas = spreadReplicas(targets, directive);
		}
	}

	/**
	 * @param replica - A replica of the request's service.
	 * @returns Whether the request should be sent there, if the replica can take it.
	 */
	prefers(replica: Replica): boolean {
		const directive = this.directiveFor(replica);
		if (!directive) {
			return this.mayUse(replica);
		}

		const isTarget = replica.entry.software === directive.target;
		switch (directive.phase) {
			case 'ordered':
			case 'reverted': {
				return this.mayUse(replica);
			}

			case 'trial': {
				return this.mayUse(replica) && isTarget === this.holdsPermit && (!isTarget || this.trialReplicas.has(replica));
			}

			case 'shift': {
				return this.mayUse(replica) && isTarget === this.isShifted(directive);
			}

			case 'complete': {
				return this.mayUse(replica) && !directive.replaced.includes(replica.entry.software);
			}
		}
	}

	/**
	 * @param replica - A replica of the request's service.
	 * @returns Whether the request may be sent there now.
	 */
	mayUse(replica: Replica): boolean {
		const {rollouts} = this.services;
		const directive = this.directiveFor(replica);
		if (directive?.target !== replica.entry.software) {
			return rollouts.trusts(replica.entry);
		}

		switch (directive.phase) {
			case 'ordered':
			case 'reverted': {
				return false;
			}

			case 'trial': {
				return this.holdsPermit;
			}

			case 'shift': {
				return rollouts.isProven;
			}

			case 'complete': {
				return true;
			}
		}
	}

	/**
	 * Records that the request is sent, or could not be sent: it is not sent to the target version again.
	 *
	 * @param replica - The replica.
	 */
	recordTry(replica: Replica): void {
		const directive = this.directiveFor(replica);
		if (directive?.target === replica.entry.software && directive.phase !== 'complete') {
			this.hasTried = true;
			this.permit = undefined;
		}
	}

	private directiveFor({entry: {service}}: Replica): RolloutDirective | undefined {
		return this.services.rollouts.of(service);
	}

	private get holdsPermit(): boolean {
		return this.permit !== undefined && this.services.rollouts.isPermitValid(this.permit.service, this.permit.step);
	}

	private isShifted({share}: RolloutDirective): boolean {
		return this.services.rollouts.isProven && !this.hasTried && this.draw < share;
	}
}

/** All boxes choose the same replicas, so that these get as much work as they would have after the rollout. */
function spreadReplicas(targets: readonly Replica[], {target, spread}: RolloutDirective): ReadonlySet<Replica> {
	const ranked = targets
		.map(replica => ({replica, rank: hashText(`${target}\n${replica.entry.id}`)}))
		.sort((left, right) => left.rank - right.rank)
		.map(({replica}) => replica);
	return new Set(ranked.slice(0, Math.max(1, spread)));
}
