/**
 * Settings of a relay: a box between the platform's load balancer and the replicas.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Fault} from '../base/faults.js';
import {maxPort} from '../base/port.js';
import {decodeYaml} from '../base/yaml-file.js';

const Port = Schema.Int.check(Schema.isBetween({minimum: 1, maximum: maxPort}, {expected: `a port, 1 to ${maxPort}`}));
const AddressText = Schema.String
	.check(Schema.isPattern(
		/^(?:\d{1,3}\.){3}\d{1,3}:(?:[1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])$/v,
		{expected: 'an IP address and a port, such as 10.0.0.1:8080'},
	));
/** An address as text, or null if the deployment has none. */
const NullableAddress = Schema.NullOr(AddressText);
const NullableAmount = Schema.NullOr(Schema.Number.check(Schema.isGreaterThanOrEqualTo(0, {expected: 'a number of at least zero'})));
const NullableFlag = Schema.NullOr(Schema.Boolean);

/** One of several words, or null for the default. */
const NullableChoice = <const Words extends readonly string[]>(words: Words) => Schema.optionalKey(Schema.NullOr(Schema.Literals(words)));

/** Section of the settings on the choice of replicas; see docs/design/scheduling.md, "Settings". */
const SchedulingSection = Schema.Struct({
	placement: NullableChoice(['load', 'cost']),
	queueing: NullableChoice(['replica', 'box']),
	services: NullableChoice(['all', 'paced']),
});

/** Schema of the settings file. Values that a deployment does not set are null. */
const RelaySettingsFile = Schema.Struct({
	node: Schema.String,
	dataCentre: Schema.String,
	listen: Schema.Struct({front: NullableAddress, ready: NullableAddress, control: NullableAddress}),
	metrics: Schema.Struct({port: Port}),
	seeds: Schema.NullOr(Schema.Array(AddressText)),
	isFirstStart: NullableFlag,
	store: Schema.Struct({address: NullableAddress}),
	duties: Schema.Struct({address: NullableAddress, kinds: Schema.NullOr(Schema.Array(Schema.String))}),
	limits: Schema.optionalKey(Schema.Struct({
		processorShare: NullableAmount,
		processorSpeed: NullableAmount,
		link: NullableAmount,
		memory: Schema.optionalKey(NullableAmount),
		descriptors: Schema.optionalKey(NullableAmount),
	})),
	bounds: Schema.Struct({
		grace: NullableAmount,
		revoke: NullableAmount,
		isRevocationStrict: NullableFlag,
		retryRatio: NullableAmount,
		retryWindow: NullableAmount,
		retrySlack: NullableAmount,
		lease: NullableAmount,
		isFenceRequired: Schema.optionalKey(NullableFlag),
		reportWindow: NullableAmount,
		reportDelay: NullableAmount,
		drain: Schema.optionalKey(NullableAmount),
		heartbeat: Schema.optionalKey(NullableAmount),
	}),
	rollout: Schema.optionalKey(Schema.Struct({share: NullableAmount, slack: NullableAmount, rollback: NullableAmount})),
	quarantine: Schema.optionalKey(Schema.Struct({released: Schema.NullOr(Schema.Array(Schema.String))})),
	scheduling: Schema.optionalKey(Schema.NullOr(SchedulingSection)),
});

/** Address of a listener or a service. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

/** Limits that the relay must keep, in milliseconds unless stated otherwise. */
export type RelayBounds = {
	/** Time within which the relay must stop after it is asked to. */
	readonly grace: number;
	/** Age of the configuration beyond which a revoked key must not be used. */
	readonly revoke: number;
	/** Whether the limit for revoked keys holds in all circumstances. */
	readonly isRevocationStrict: boolean;
	/** Maximum retries in a window, as a fraction of the requests. */
	readonly retryRatio: number;
	readonly retryWindow: number;
	/** Maximum retries in a window in addition to the ratio. */
	readonly retrySlack: number;
	/** Time for which calls of the previous lease holder may still take effect. */
	readonly lease: number;
	/** Whether the platform refuses calls of a lease holder that another box has replaced. */
	readonly isFenceRequired: boolean;
	/** Length of a window for which usage is reported. */
	readonly reportWindow: number;
	/** Time after the end of a window within which its usage must be reported. */
	readonly reportDelay: number;
	/** Time after the store recorded that a replica is leaving; later the replica must get no more requests. */
	readonly drain: number;
	/** Interval at which a replica renews its entry in the store. */
	readonly heartbeat: number;
};

/** Limits of the requests that a bad software version may get while it is rolled out. */
export type RolloutBounds = {
	/** Part of all requests to the service. */
	readonly share: number;
	/** Requests in addition to the share. */
	readonly slack: number;
	/** Milliseconds within which a version that is found to be bad gets no more requests. */
	readonly rollback: number;
};

/** How requests are distributed over replicas. */
export type SchedulingSettings = {
	/** Choice of a replica: by its load, or by expected cost and remaining work. */
	readonly placement: 'load' | 'cost';
	/** Where requests wait: at replicas, or in the box while all replicas have enough work. */
	readonly queueing: 'replica' | 'box';
	/** Services that these settings apply to: all, or those whose replicas state their pace. */
	readonly services: 'all' | 'paced';
};

/** Resources that the platform grants the box; unknown ones are absent. */
export type BoxLimits = {
	/** Processor cores of standard speed. */
	readonly processor?: number;
	/** Bandwidth of the network link in megabits a second. */
	readonly link?: number;
	/** Memory of this process in megabytes. */
	readonly memory?: number;
	/** File descriptors of this process. */
	readonly descriptors?: number;
};

/** Settings of a relay. */
export type RelaySettings = {
	readonly node: string;
	readonly dataCentre: string;
	readonly front: Address;
	readonly ready: Address;
	readonly control: Address;
	readonly metrics: Address;
	readonly seeds: readonly Address[];
	readonly isFirstStart: boolean;
	readonly store: Address;
	readonly duties: Address | undefined;
	readonly dutyKinds: readonly string[];
	readonly limits: BoxLimits;
	readonly bounds: RelayBounds;
	/** `undefined` if the deployment has no rollouts. */
	readonly rollout?: RolloutBounds;
	/** Fingerprints of requests that are never quarantined, even if they crashed replicas. */
	readonly released: readonly string[];
	readonly scheduling: SchedulingSettings;
};

/** Defaults in the units of the settings file: `grace`, `retryWindow`, `reportWindow` and `reportDelay` in seconds, other times in milliseconds. */
const defaults = {
	grace: 8, revoke: 5000, retryRatio: 0.1, retryWindow: 10, retrySlack: 10, lease: 3000, reportWindow: 5, reportDelay: 10, drain: 2000, heartbeat: 1200,
} as const;
const millisecondsPerSecond = 1000;
/** Scheduling of a deployment that sets none of the fields: as in versions without the section. */
export const defaultScheduling: SchedulingSettings = {
	placement: 'load', queueing: 'replica', services: 'all',
};

/**
 * @param text - An IP address and a port, such as `10.0.0.1:8080`.
 * @returns The address.
 */
export function readAddress(text: string): Address {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}

/**
 * Decodes the settings of a relay from YAML text.
 *
 * @param text - Content of the file.
 * @returns The settings with defaults filled in, or all faults at once.
 */
export function decodeRelaySettings(text: string): Result.Result<RelaySettings, readonly Fault[]> {
	return Result.map(decodeYaml(RelaySettingsFile, text), file => settingsOf(file));
}

function settingsOf(file: typeof RelaySettingsFile.Type): RelaySettings {
	const front = readAddress(file.listen.front ?? '0.0.0.0:0');
	const addressOrDefault = (address: typeof NullableAddress.Type, port: number): Address => address === null ? {host: front.host, port} : readAddress(address);
	const {bounds} = file;
	return {
		node: file.node,
		dataCentre: file.dataCentre,
		front,
		ready: addressOrDefault(file.listen.ready, front.port + 1),
		control: addressOrDefault(file.listen.control, file.metrics.port + 1),
		metrics: {host: front.host, port: file.metrics.port},
		seeds: (file.seeds ?? []).map(seed => readAddress(seed)),
		isFirstStart: file.isFirstStart ?? false,
		store: addressOrDefault(file.store.address, 0),
		duties: file.duties.address === null ? undefined : readAddress(file.duties.address),
		dutyKinds: file.duties.kinds ?? [],
		limits: limitsOf(file),
		released: file.quarantine?.released ?? [],
		rollout: rolloutOf(file),
		scheduling: schedulingOf(file),
		bounds: {
			grace: (bounds.grace ?? defaults.grace) * millisecondsPerSecond,
			revoke: bounds.revoke ?? defaults.revoke,
			isRevocationStrict: bounds.isRevocationStrict ?? false,
			retryRatio: bounds.retryRatio ?? defaults.retryRatio,
			retryWindow: (bounds.retryWindow ?? defaults.retryWindow) * millisecondsPerSecond,
			retrySlack: bounds.retrySlack ?? defaults.retrySlack,
			lease: bounds.lease ?? defaults.lease,
			isFenceRequired: bounds.isFenceRequired ?? false,
			reportWindow: (bounds.reportWindow ?? defaults.reportWindow) * millisecondsPerSecond,
			reportDelay: (bounds.reportDelay ?? defaults.reportDelay) * millisecondsPerSecond,
			drain: bounds.drain ?? defaults.drain,
			heartbeat: bounds.heartbeat ?? defaults.heartbeat,
		},
	};
}

/** A deployment without all of the bounds has no rollouts. */
function rolloutOf({rollout}: typeof RelaySettingsFile.Type): RolloutBounds | undefined {
	const {share, slack, rollback} = rollout ?? {share: null, slack: null, rollback: null};
	return share === null || slack === null || rollback === null ? undefined : {share, slack, rollback};
}

function schedulingOf({scheduling}: typeof RelaySettingsFile.Type): SchedulingSettings {
	return {
		placement: scheduling?.placement ?? defaultScheduling.placement,
		queueing: scheduling?.queueing ?? defaultScheduling.queueing,
		services: scheduling?.services ?? defaultScheduling.services,
	};
}

/** Converts the share of a core to cores of standard speed by multiplying it by the speed of the core. */
function limitsOf({limits}: typeof RelaySettingsFile.Type): BoxLimits {
	const {processorShare = null, processorSpeed = null, link = null, memory = null, descriptors = null} = limits ?? {};
	return {
		...(processorShare === null ? {} : {processor: processorShare * (processorSpeed ?? 1)}),
		...(link === null ? {} : {link}),
		...(memory === null ? {} : {memory}),
		...(descriptors === null ? {} : {descriptors}),
	};
}
