/**
 * Divides the memory and the file descriptors of the process among everything that it buffers and opens for others. The parts together stay below what the
 * machine grants.
 *
 * @remarks Source: docs/CAPACITY.md, "Memory and descriptors of one process".
 */

const bytesPerMegabyte = 1024 * 1024;
/** Memory in megabytes and descriptors of a process whose settings state none. */
const defaults = {memory: 350, descriptors: 4096} as const;
/** Bytes of the program itself, and of buffers that are not collected yet: V8 lets those outside its heap grow by 64 MB between two collections. */
const programBytes = 120 * bytesPerMegabyte;
/** Minimum bytes to divide, so that the largest bodies can be served whatever the settings say. */
const minDividedBytes = 72 * bytesPerMegabyte;
/** Parts of the remaining memory; the rest of it is for objects that the garbage collector has not freed yet. */
const memoryParts = {
	requestBodies: 0.28, answers: 0.23, heads: 0.08, connections: 0.16,
} as const;
/** Bytes that a connection takes with a request in progress, apart from the bytes that are accounted for separately. */
const connectionBytes = 12 * 1024;
/** Part of the descriptors, and minimum number, for files, the store, other boxes and probes. */
const ownDescriptors = {part: 0.08, min: 100} as const;
/** Parts of the remaining descriptors; those of `replicas` are connections that the process opens for requests. */
const descriptorParts = {
	clients: 0.36, peers: 0.14, ready: 0.02, operators: 0.02, replicas: 0.46,
} as const;
/** Minimum connections of a listener. */
const minConnections = 16;

/** Resources that the platform grants the process. */
export type GrantedResources = {
	/** Megabytes. */
	readonly memory?: number;
	readonly descriptors?: number;
};

/** Listeners of a process, each with a limit of connections of its own. */
export type ListenerName = 'clients' | 'peers' | 'ready' | 'operators';

/** Limits of one process. */
export type ResourceLimits = {
	/** Bytes of the program itself, with the part that is left to the garbage collector. */
	readonly program: number;
	/** Bytes of the bodies of all requests. */
	readonly requestBodies: number;
	/** Bytes of all answers that are not sent yet. */
	readonly answers: number;
	/** Bytes of the incomplete heads at each listener. */
	readonly heads: number;
	/** Open connections by listener. */
	readonly connections: Readonly<Record<ListenerName, number>>;
	/** Open connections to replicas. */
	readonly replicaConnections: number;
};

/**
 * @param granted - Resources of the process; defaults apply to those that are absent.
 * @returns The limits.
 */
export function divideResources({memory = defaults.memory, descriptors = defaults.descriptors}: GrantedResources): ResourceLimits {
	const granted = memory * bytesPerMegabyte;
	const divided = Math.max(minDividedBytes, granted - programBytes);
	const bytesOf = (part: keyof typeof memoryParts): number => Math.floor(divided * memoryParts[part]);
	const usable = Math.max(0, descriptors - Math.max(ownDescriptors.min, descriptors * ownDescriptors.part));
	const connectionsOf = (part: keyof typeof descriptorParts): number =>
		Math.max(minConnections, Math.floor(Math.min(usable, bytesOf('connections') / connectionBytes) * descriptorParts[part]));
	return {
		program: granted - bytesOf('requestBodies') - bytesOf('answers') - bytesOf('heads') - bytesOf('connections'),
		requestBodies: bytesOf('requestBodies'),
		answers: bytesOf('answers'),
		heads: bytesOf('heads'),
		connections: {
			clients: connectionsOf('clients'), peers: connectionsOf('peers'), ready: connectionsOf('ready'), operators: connectionsOf('operators'),
		},
		replicaConnections: connectionsOf('replicas'),
	};
}
