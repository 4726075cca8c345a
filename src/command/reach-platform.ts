/**
 * Wires the adapter at the root: how a relay reaches the platform.
 */
import {HttpDutyCalls} from '../../platform/duties.js';
import {
	configurationKind, configurationName, decodeConfiguration, decodeReplica, replicaKind,
} from '../../platform/formats.js';
import {HttpMetadataStore} from '../../platform/metadata-store.js';
import {PlatformRelayFormat} from '../../platform/relay-format.js';
import type {PlatformLink} from '../node/platform-link.js';
import type {RelaySettings} from '../settings/relay-settings.js';

/**
 * @param settings - Where the platform is.
 * @returns The way to it.
 */
export function reachPlatform({store, duties}: Pick<RelaySettings, 'store' | 'duties'>): PlatformLink {
	return {
		names: {
			configurationKind, configurationName, replicaKind, decodeConfiguration, decodeReplica,
		},
		format: PlatformRelayFormat.create(),
		store: HttpMetadataStore.create(store.host, store.port),
		duties: duties && HttpDutyCalls.create(duties.host, duties.port),
	};
}
