/**
 * Connects a relay to the platform: the only place of the product that creates the adapter of `platform/`.
 */
import {HttpDutyCalls} from '../../platform/duties.js';
import {
	configurationKind, configurationName, decodeConfiguration, decodeReplica, decodeRollout, encodeRolloutStatus, replicaKind, rolloutKind,
} from '../../platform/formats.js';
import {HttpMetadataStore} from '../../platform/metadata-store.js';
import {PlatformRelayFormat} from '../../platform/relay-format.js';
import type {PlatformLink} from '../node/platform-link.js';
import type {RelaySettings} from '../settings/relay-settings.js';

/**
 * @param settings - Addresses of the platform's services.
 * @returns The clients and formats that a relay uses to talk to the platform.
 */
export function createPlatformLink({store, duties}: Pick<RelaySettings, 'store' | 'duties'>): PlatformLink {
	return {
		names: {
			configurationKind, configurationName, replicaKind, rolloutKind, decodeConfiguration, decodeReplica, decodeRollout, encodeRolloutStatus,
		},
		format: PlatformRelayFormat.create(),
		store: HttpMetadataStore.create(store.host, store.port),
		duties: duties && HttpDutyCalls.create(duties.host, duties.port),
	};
}
