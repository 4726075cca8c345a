/**
 * The roles of roll-outs: following the orders, and advancing them at one box at a time.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Role} from '../daemon/role.js';
import type {ExchangeTopology} from '../gossip/exchange-topology.js';
import {boxOf, processName} from '../gossip/gossip-message.js';
import type {PeerTable} from '../gossip/peer-table.js';
import type {RelayServices} from '../relay/relay-services.js';
import type {FleetEvidence} from '../rollout/fleet-evidence.js';
import {RolloutDuty} from '../rollout/rollout-duty.js';
import type {RelaySettings} from '../settings/relay-settings.js';
import type {PlatformLink} from './platform-link.js';
import type {RolloutRole} from './rollout-role.js';

/** Name of the task of advancing rollouts, which one box performs. */
const rolloutTask = 'rollouts';

/** Dependencies of the roles. */
export type RolloutParts = {
	readonly link: PlatformLink;
	readonly log: EventLog;
	readonly settings: () => RelaySettings;
	readonly clock: Clock;
	readonly peers: PeerTable;
	readonly topology: ExchangeTopology;
	readonly services: RelayServices;
	readonly role: RolloutRole;
	/** Evidence from all boxes. */
	readonly evidence: FleetEvidence;
	/** Name of this process. */
	readonly process: string;
	/** Called after each step, so that all boxes learn of it at once. */
	readonly onStep: () => void;
};

/**
 * @param parts - Dependencies of the roles.
 * @returns The roles to run; none if the deployment has no rollouts.
 */
export function createRolloutRoles(parts: RolloutParts): readonly Role[] {
	const {
		link: {store, names}, log, settings, clock, peers, topology, services, role, evidence, process, onStep,
	} = parts;
	const {rollouts, replicas, versions, demands} = services;
	if (!rollouts.isEnabled) {
		return [];
	}

	const duty = RolloutDuty.create({
		clock,
		log,
		store,
		kind: names.rolloutKind,
		encodeStatus: names.encodeRolloutStatus,
		view: rollouts,
		evidence,
		replicas,
		versions: versions.seen,
		duration: service => demands.of(service).duration,
		processes: within => [process, ...recentProcesses(parts, within)],
		boxOf,
		heardWithin: () => topology.heardWithin,
		commonTime: () => peers.commonTime,
		bound: () => settings().rollout!,
		isOwner: () => topology.owns(rolloutTask),
		recordOwnReports() {
			evidence.record(process, services.evidence.reports);
		},
		onStep,
		refresh: () => role.refresh(),
	});
	return [
		{name: 'rollouts', run: role.follow()},
		{name: 'rollout-orders', run: role.refreshWhenNeeded()},
		{name: 'rollout-steps', run: duty.run()},
	];
}

/** Processes of other boxes of which a message arrived within some milliseconds. */
function recentProcesses({clock, peers}: RolloutParts, within: number): readonly string[] {
	const since = clock.monotonic() - within;
	return peers.all.flatMap(({last, heardAt}) => last && heardAt >= since ? [processName(last.sender.name, last.incarnation)] : []);
}
