/**
 * The layers of the product, lowest first. A module may import from its own
 * folder and from those before it. The linter holds this.
 */
export const layers = [
	'base',
	'external',
	'upstream',
	'settings',
	'table',
	'boxes',
	'lease',
	'claims',
	'limits',
	'routing',
	'retries',
	'records',
	'peers',
	'status',
	'dispatch',
	'door',
	'follow',
	'routes',
	'replicas',
	'quarantine',
	'rollout',
	'gossip',
	'quota',
	'duties',
	'relay',
	'daemon',
	'node',
	'command',
];
