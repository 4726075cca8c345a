/**
 * Creates the settings file of a relay that runs as a separate process on loopback. Development only.
 */
import type {BoxLimits, RolloutBounds} from '../../src/settings/relay-settings.js';
import {freePort} from './relay-installation.js';

/** TCP ports that a relay listens on. */
export type RelayPorts = {readonly front: number; readonly ready: number; readonly control: number; readonly metrics: number};

/** Settings that differ between relays. */
export type RelaySettingsPlan = {
	readonly name: string;
	readonly ports: RelayPorts;
	readonly storePort: number;
	/** Maximum duration of a graceful stop in seconds. */
	readonly grace: number;
	/** Gossip addresses of other relays. */
	readonly seeds?: readonly string[];
	readonly isFirstStart?: boolean;
	/** Bounds of rollouts; without them the relay follows none. */
	readonly rollout?: RolloutBounds;
	/** Memory in megabytes and file descriptors of the process; without them the defaults of the relay apply. */
	readonly limits?: Pick<BoxLimits, 'memory' | 'descriptors'>;
};

const noLimits = {processorShare: null, processorSpeed: null, link: null} as const;

/** @returns Free TCP ports on loopback. */
export async function freeRelayPorts(): Promise<RelayPorts> {
	const [front, ready, control, metrics] = await Promise.all(Array.from({length: 4}, async () => freePort()));
	return {
		front: front!, ready: ready!, control: control!, metrics: metrics!,
	};
}

/**
 * @param plan - The settings.
 * @returns Content of the settings file, in YAML.
 */
export function relaySettingsText({name, ports, storePort, grace, seeds = [], isFirstStart = true, rollout, limits}: RelaySettingsPlan): string {
	const at = (port: number) => `"127.0.0.1:${port}"`;
	const limitsText = limits ? `limits: ${JSON.stringify({...noLimits, ...limits})}\n` : '';
	const rolloutText = rollout ? `rollout: ${JSON.stringify(rollout)}\n` : '';
	return `
node: ${name}
dataCentre: zone-1
listen: {front: ${at(ports.front)}, ready: ${at(ports.ready)}, control: ${at(ports.control)}}
metrics: {port: ${ports.metrics}}
seeds: [${seeds.map(seed => `"${seed}"`).join(', ')}]
isFirstStart: ${String(isFirstStart)}
store: {address: ${at(storePort)}}
duties: {address: null, kinds: null}
bounds: {grace: ${grace}, revoke: 5000, isRevocationStrict: true, retryRatio: 0.2, retryWindow: 10, retrySlack: 60, lease: 3000, reportWindow: 5, reportDelay: 10}
${rolloutText}${limitsText}`;
}
