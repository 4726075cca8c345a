/**
 * One version of the configuration of routes, client accounts and services, indexed for look-ups.
 *
 * @remarks Source: docs/PLATFORM.md, "The way of a configuration".
 */
import {groupBy} from '../base/group-by.js';
import {sumOf} from '../base/sum.js';

/** Which retries are allowed for a request whose first attempt failed. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** A service that a route targets, with its weight relative to the other targets. */
export type RouteTarget = {
	readonly service: string;
	readonly weight: number;
};

/** A route: which requests it matches and how they are served. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Maximum duration of a request in milliseconds. */
	readonly timeout: number;
	/** Target response time in milliseconds. */
	readonly goal: number;
	/** Zero is the most urgent. */
	readonly priority: number;
	readonly maximumAttempts: number;
	readonly isPublic: boolean;
	readonly isSticky: boolean;
	readonly isResumable: boolean;
	readonly targets: readonly RouteTarget[];
};

/** A client account, its keys and its quota. */
export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Overrides the priority of the route; `undefined` keeps it. */
	readonly priority: number | undefined;
	readonly unit: 'requests' | 'tokens';
	/** Units charged for a request whose number of tokens is not known. */
	readonly plainTokens: number;
	/** Units per second; zero means no limit. */
	readonly rate: number;
	/** Units that may be used at once above the rate. */
	readonly burst: number;
};

/** How many replicas a service may have, and what they cost. */
export type Scaling = {
	/** In each data centre. */
	readonly minimum: number;
	readonly maximum: number;
	/** Milliseconds until a new replica is ready to serve. */
	readonly bootTime: number;
	/** Price of a reclaimable replica, as a fraction of the price of another one. */
	readonly reclaimablePrice: number;
	readonly dataCentrePrices: ReadonlyMap<string, number>;
};

/** Configuration of a service. */
export type Service = {
	readonly name: string;
	readonly maximumConnections: number;
	/** Whether its replicas are model engines. */
	readonly isEngine: boolean;
	/** Number of tokens that fit into the cache of a replica; zero where it is not an engine. */
	readonly cacheCapacity: number;
	/** Tokens that an event of a stream contains. */
	readonly tokensPerEvent?: number;
	readonly scaling: Scaling | undefined;
};

/** Limits on client connections and requests. */
export type ClientLimits = {
	/** Bytes. */
	readonly body: number;
	/** Milliseconds. */
	readonly headerTimeout: number;
	/** Milliseconds. */
	readonly idleTimeout: number;
};

/** Content of one version. */
export type RouteTableContent = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly clientAccounts: readonly ClientAccount[];
	readonly limits: ClientLimits;
};

/** Priority of a request if neither its client account nor its route sets one. */
const defaultPriority = 5;

/** Look-ups in one version of the configuration. */
export class RouteTable {
	/**
	 * @param content - Content of the version.
	 * @returns The table.
	 */
	static create(content: RouteTableContent): RouteTable {
		return new RouteTable(content);
	}

	private readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
	private readonly clientAccountsByKey: ReadonlyMap<string, ClientAccount>;
	private readonly servicesByName: ReadonlyMap<string, Service>;
	private readonly urgenciesByService: ReadonlyMap<string, readonly number[]>;

	private constructor(readonly content: RouteTableContent) {
		const byLength = [...content.routes].sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		const hosts = new Set(byLength.map(({host}) => host.toLowerCase()));
		this.routesByHost = new Map([...hosts].map(host => [host, byLength.filter(route => route.host.toLowerCase() === host)]));
		this.clientAccountsByKey = new Map(content.clientAccounts.flatMap(clientAccount => clientAccount.keys.map(key => [key, clientAccount] as const)));
		const targets = content.routes.flatMap(({priority, targets: routeTargets}) => routeTargets.map(({service}) => ({service, priority})));
		this.urgenciesByService = new Map([...groupBy(targets, ({service}) => service)].map(([service, group]) => [service, [...new Set(group.map(({priority}) => priority))]]));
		this.servicesByName = new Map(content.services.map(service => [service.name, service]));
	}

	/** Number of the version. */
	get version(): number {
		return this.content.version;
	}

	/** Whether requests need a key, except on public routes. */
	get needsKeys(): boolean {
		return this.content.clientAccounts.length > 0;
	}

	/**
	 * @param host - The `Host` header, with or without a port.
	 * @param path - Path and query.
	 * @returns The route with the longest prefix; `undefined` where there is none.
	 */
	route(host: string, path: string): Route | undefined {
		const name = host.replace(/:\d+$/v, '').toLowerCase();
		return this.routesByHost.get(name)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}

	/**
	 * @param key - The key that the client sent.
	 * @returns The client account that the key belongs to; `undefined` where there is none.
	 */
	clientAccount(key: string): ClientAccount | undefined {
		return this.clientAccountsByKey.get(key);
	}

	/**
	 * @param name - Name of a service.
	 * @returns Its configuration; `undefined` where there is none.
	 */
	service(name: string): Service | undefined {
		return this.servicesByName.get(name);
	}

	/**
	 * @param service - Name of a service.
	 * @returns The distinct priorities of the routes that target it.
	 */
	urgencies(service: string): readonly number[] {
		return this.urgenciesByService.get(service) ?? [];
	}

	/**
	 * @param route - The route of a request.
	 * @param clientAccount - Its client account.
	 * @returns The priority of the request; zero is the most urgent.
	 */
	priority(route: Route, clientAccount: ClientAccount | undefined): number {
		return clientAccount?.priority ?? route.priority ?? defaultPriority;
	}
}

/**
 * Picks a target at random, by weight.
 *
 * @param route - The route.
 * @param draw - A random number from 0 to 1.
 * @returns The service's name.
 */
export function pickTarget({targets}: Route, draw: number): string {
	const total = sumOf(targets.map(({weight}) => weight));
	let left = draw * total;
	const picked = targets.find(({weight}) => {
		left -= weight;
		return left < 0;
	});
	return (picked ?? targets.at(-1))!.service;
}
