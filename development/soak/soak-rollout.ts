/**
 * The rollout of a soak test: an order for a version that fails every second request, in the middle of the faults.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {rolloutKind} from '../../platform/formats.js';
import type {RelayInstallation} from '../relay/relay-installation.js';

/** Bounds in the settings of the relays. */
export const rolloutBounds = {share: 0.1, slack: 50, rollback: 5000} as const;

const service = 'plain';
/** Software version of the order. */
export const trialSoftware = 'v9';
const trialReplicas = ['trial-1', 'trial-2', 'trial-3'] as const;
/** Milliseconds from the start of the load to the order. */
const orderDelay = 1000;
/** Seconds within which the rollout is to be decided. */
const duration = 12;
/** Milliseconds after the state `reverted` is recorded within which a box that does not know it may still send requests. */
const propagationTime = 4000;
/** Milliseconds between two looks at the recorded state. */
const stateCheckInterval = 50;

/**
 * @param replica - Id of a replica.
 * @returns Whether it runs the version of the order.
 */
export const isOnTrial = (replica: string): boolean => replica.startsWith('trial-');

/** The rollout of one soak test. */
export class SoakRollout {
	/**
	 * @param installation - Store and replicas.
	 * @returns A rollout that is not ordered yet.
	 */
	static create(installation: RelayInstallation): SoakRollout {
		return new SoakRollout(installation);
	}

	private orderedAt = Number.POSITIVE_INFINITY;
	/** Monotonic milliseconds at which `reverted` was first seen in the store. */
	private revertedAt = Number.POSITIVE_INFINITY;
	private isOver = false;

	private constructor(private readonly installation: RelayInstallation) {}

	/** Orders the rollout after a while, and then watches its state until {@link end}. */
	async run(): Promise<void> {
		await pause(orderDelay);
		const {installation} = this;
		this.orderedAt = performance.now();
		installation.store.put(rolloutKind, service, {service, target_version: trialSoftware, duration_s: duration});
		await Promise.all(trialReplicas.map(async id => {
			const replica = await installation.addReplica(id, {version: trialSoftware});
			let requests = 0;
			replica.conductOf = () => {
				requests++;
				return requests % 2 === 0 ? {fault: 'error'} : {};
			};
		}));
		while (!this.isOver) {
			const status = installation.store.status(rolloutKind, service) as {readonly state?: string} | undefined;
			this.revertedAt = status?.state === 'reverted' ? Math.min(this.revertedAt, performance.now()) : this.revertedAt;
			await pause(stateCheckInterval);
		}
	}

	/** Ends {@link run}. */
	end(): void {
		this.isOver = true;
	}

	/** Broken bounds, one line each. */
	get violations(): readonly string[] {
		const runs = this.installation.allReplicas.flatMap(({id, runs: ofReplica}) => ofReplica.map(({at}) => ({at, isTrial: isOnTrial(id)}))).filter(({at}) => at >= this.orderedAt);
		const exposed = runs.filter(({isTrial}) => isTrial);
		const allowed = Math.floor(rolloutBounds.slack + (rolloutBounds.share * runs.length));
		const late = exposed.filter(({at}) => at > this.revertedAt + propagationTime);
		return [
			...(exposed.length > allowed ? [`${exposed.length} of ${runs.length} requests ran at a bad version that is rolled out, ${allowed} allowed`] : []),
			...(late.length > 0 ? [`${late.length} requests ran at a version later than ${propagationTime} ms after it was reverted`] : []),
		];
	}
}
