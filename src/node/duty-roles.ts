/**
 * The duties of a relay.
 */
import type {Clock} from '../base/clock.js';
import type {EventLog} from '../base/event-log.js';
import type {Role} from '../daemon/role.js';
import type {PeerTable} from '../gossip/peer-table.js';
import type {RelayServices} from '../relay/relay-services.js';
import type {RelaySettings} from '../settings/relay-settings.js';
import type {PlatformLink} from './platform-link.js';

/** What the duties need. */
export type DutyParts = {
	readonly self: string;
	readonly link: PlatformLink;
	readonly log: EventLog;
	readonly settings: () => RelaySettings;
	readonly clock: Clock;
	readonly peers: PeerTable;
	readonly services: RelayServices;
};

/**
 * @param parts - What the duties need.
 * @returns Their roles; none where the deployment has no duties.
 */
export function openDuties(_parts: DutyParts): readonly Role[] {
	return [];
}
