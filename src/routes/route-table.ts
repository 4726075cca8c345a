/**
 * One version of the configuration of routes, client accounts and services, ready for look-ups.
 *
 * @remarks Source: docs/PLATFORM.md, "The way of a configuration".
 */
import {groupBy} from '../base/group-by.js';
import {sumOf} from '../base/sum.js';

/** What may be done with a request whose first try brought nothing. */
export type RouteKind = 'repeatable' | 'once' | 'stream';

/** A service that a route leads to, with its weight among others. */
export type RouteTarget = {
	readonly service: string;
	readonly weight: number;
};

/** A route: which requests it takes and how they are to be served. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Milliseconds for which a request may be held. */
	readonly timeout: number;
	/** Milliseconds within which an answer is worth most. */
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
	/** In place of the route's; `undefined` leaves that. */
	readonly priority: number | undefined;
	readonly unit: 'requests' | 'tokens';
	/** Units of a request that does not tell its tokens. */
	readonly plainTokens: number;
	/** Units a second; zero stands for no limit. */
	readonly rate: number;
	/** Units above the rate. */
	readonly burst: number;
};

/** How many replicas a service may have, and what they cost. */
export type Scaling = {
	/** In each data centre. */
	readonly minimum: number;
	readonly maximum: number;
	/** Milliseconds until a new replica serves. */
	readonly bootTime: number;
	/** Price of a reclaimable replica, as a part of another's. */
	readonly reclaimablePrice: number;
	readonly dataCentrePrices: ReadonlyMap<string, number>;
};

/** What is said of a service. */
export type Service = {
	readonly name: string;
	readonly maximumConnections: number;
	/** Whether its replicas are model engines. */
	readonly isEngine: boolean;
	/** Tokens that a replica can hold; zero where it is no engine. */
	readonly cacheCapacity: number;
	readonly scaling: Scaling | undefined;
};

/** Bounds on what clients may send. */
export type ClientLimits = {
	/** Bytes. */
	readonly body: number;
	/** Milliseconds. */
	readonly headerTimeout: number;
	/** Milliseconds. */
	readonly idleTimeout: number;
};

/** All that one version holds. */
export type RouteTableContent = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly clientAccounts: readonly ClientAccount[];
	readonly limits: ClientLimits;
};

const priorityWhereNothingIsSaid = 5;

/** Look-ups in one version. */
export class RouteTable {
	/**
	 * @param content - What the version holds.
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
		const targets = content.routes.flatMap(({priority, targets: leadTo}) => leadTo.map(({service}) => ({service, priority})));
		this.urgenciesByService = new Map([...groupBy(targets, ({service}) => service)].map(([service, some]) => [service, [...new Set(some.map(({priority}) => priority))]]));
		this.servicesByName = new Map(content.services.map(service => [service.name, service]));
	}

	/** Number of the version. */
	get version(): number {
		return this.content.version;
	}

	/** Whether requests need a key, but on public routes. */
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
	 * @param key - What the client sent.
	 * @returns Whose key it is; `undefined` where it is nobody's.
	 */
	clientAccount(key: string): ClientAccount | undefined {
		return this.clientAccountsByKey.get(key);
	}

	/**
	 * @param name - Name of a service.
	 * @returns What is said of it.
	 */
	service(name: string): Service | undefined {
		return this.servicesByName.get(name);
	}

	/**
	 * @param service - Name of a service.
	 * @returns Urgencies of the routes that lead to it.
	 */
	urgencies(service: string): readonly number[] {
		return this.urgenciesByService.get(service) ?? [];
	}

	/**
	 * @param route - The route of a request.
	 * @param clientAccount - Its client account.
	 * @returns Its rank; zero is the most urgent.
	 */
	priority(route: Route, clientAccount: ClientAccount | undefined): number {
		return clientAccount?.priority ?? route.priority ?? priorityWhereNothingIsSaid;
	}
}

/**
 * Picks a target by weight.
 *
 * @param route - The route.
 * @param draw - A number from 0 to 1.
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
