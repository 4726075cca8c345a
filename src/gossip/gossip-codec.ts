/**
 * Encodes and decodes gossip datagrams. Lists are encoded as rows without field names, to save bytes: an aggregator of a large
 * fleet sends and receives hundreds of datagrams per second over a slow link.
 */
import {Buffer} from 'node:buffer';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import {decodeDatagram} from '../base/json-datagram.js';
import {clampWeight} from '../replicas/demand-weights.js';
import type {StatementUpdate} from '../replicas/replica-statement.js';
import {crashFields, crashLayoutOf, crashUpdateOf} from './crash-codec.js';
import {loadContentOf, loadFields, loadLayoutOf} from './load-codec.js';
import {
	permitFields, permitRowsOf, permitsOfRows, rolloutContentOf, rolloutFields, rolloutLayoutOf,
} from './rollout-codec.js';
import type {
	GossipMessage, MemberAddress, NamedRates, ReplicaLoad,
} from './gossip-message.js';

/** Name, host, port, capacity. */
const MemberRow = Schema.Tuple([Schema.String, Schema.String, Schema.Number, Schema.Number]);
/** Replica, requests, unread tokens. */
const WorkRow = Schema.Tuple([Schema.String, Schema.Number, Schema.Number]);
/** Client account, units passed, bucket level, units per second asked for. */
const CountRow = Schema.Tuple([Schema.String, Schema.Number, Schema.Number, Schema.Number]);
/** Client account, bucket level, refill rate, pass rate, ask rate, counted units; see {@link QuotaLevel}. */
const LevelRow = Schema.Tuple([Schema.String, Schema.Number, Schema.Number, Schema.Number, Schema.Number, Schema.NullOr(Schema.Number)]);
/** Service, requests, reading, read rate, goal, mean tokens, mean square, met, missed. */
const DemandRow = Schema.Tuple([
	Schema.String, Schema.Number, Schema.Number, Schema.Number, Schema.Number, Schema.Number, Schema.Number, Schema.Number, Schema.Number,
]);
/** Service, weight. */
const WeightRow = Schema.Tuple([Schema.String, Schema.Number]);
/** Service, number of samples, the last samples. */
const ReadRow = Schema.Tuple([Schema.String, Schema.Number, Schema.Array(Schema.Number)]);
/** Service, requests, tokens, read rate, duration; see {@link ServiceRates}. */
const RatesRow = Schema.Tuple([Schema.String, Schema.Number, Schema.Number, Schema.Number, Schema.Number]);
/** Window; pairs of a client account and its requests. */
const UsageRow = Schema.Tuple([Schema.Number, Schema.Array(Schema.Tuple([Schema.String, Schema.Number]))]);

/** Replica start, value, age. */
const StatementRow = Schema.Tuple([Schema.String, Schema.NullOr(Schema.Number), Schema.Number]);
const StatementRows = Schema.Array(StatementRow);
/** Service, start of the ring range, its length. */
const RangeRow = Schema.Tuple([Schema.String, Schema.Number, Schema.Number]);

const ReplicaChange = Schema.Struct({
	object: Schema.Struct({name: Schema.String, revision: Schema.Number, spec: Schema.Unknown}),
	isGone: Schema.Boolean,
});

const DigestLayout = Schema.Struct({
	boxes: Schema.Number,
	quota: Schema.optionalKey(Schema.Array(LevelRow)),
	work: Schema.optionalKey(Schema.Array(WorkRow)),
	stretches: Schema.optionalKey(Schema.Array(RangeRow)),
	rates: Schema.optionalKey(Schema.Array(RatesRow)),
	/** Rows of the cost models, which decode them. */
	costs: Schema.optionalKey(Schema.Array(Schema.Unknown)),
	...permitFields,
	...loadFields,
	changes: Schema.optionalKey(Schema.Struct({at: Schema.Number, from: Schema.optionalKey(Schema.Number), changes: Schema.Array(ReplicaChange)})),
});

const MessageLayout = Schema.Struct({
	sender: MemberRow,
	incarnation: Schema.String,
	sequence: Schema.Number,
	uptime: Schema.Number,
	wall: Schema.Number,
	echo: Schema.optionalKey(Schema.Struct({incarnation: Schema.String, sequence: Schema.Number, age: Schema.Number})),
	version: Schema.Number,
	proofAge: Schema.optionalKey(Schema.Number),
	isStopping: Schema.Boolean,
	unreachable: Schema.optionalKey(Schema.Array(Schema.String)),
	storeAge: Schema.Number,
	isWhole: Schema.Boolean,
	quota: Schema.Array(CountRow),
	work: Schema.Array(WorkRow),
	demand: Schema.optionalKey(Schema.Array(DemandRow)),
	weights: Schema.optionalKey(Schema.Array(WeightRow)),
	reads: Schema.optionalKey(Schema.Array(ReadRow)),
	costs: Schema.optionalKey(Schema.Array(Schema.Unknown)),
	replicas: Schema.optionalKey(Schema.Struct({at: Schema.Number, age: Schema.Number})),
	asksDigest: Schema.optionalKey(Schema.Boolean),
	digest: Schema.optionalKey(DigestLayout),
	...crashFields,
	...rolloutFields,
	...loadFields,
	/** One list for each of `rowKinds`. */
	statements: Schema.optionalKey(Schema.Tuple([StatementRows, StatementRows, StatementRows])),
	/** Statements of brittle replicas; a field of its own, so that boxes of an earlier version ignore it. */
	brittle: Schema.optionalKey(StatementRows),
	departed: Schema.Array(Schema.Struct({id: Schema.String, revision: Schema.Number, start: Schema.optionalKey(Schema.String)})),
	usage: Schema.Array(UsageRow),
	members: Schema.Array(MemberRow),
});
type Layout = typeof MessageLayout.Type;

/** Ignores unknown fields, which a newer version of the program may send. */
const decodeLayout = createDecoder(MessageLayout, 'ignore');

const memberRowOf = ({name, host, port, capacity = 0}: MemberAddress) => [name, host, port, capacity] as const;
const memberOf = ([name, host, port, capacity]: typeof MemberRow.Type): MemberAddress => ({
	name, host, port, capacity,
});
const workRowOf = ({replica, requests, unreadTokens}: ReplicaLoad) => [replica, requests, unreadTokens] as const;
const workOf = ([replica, requests, unreadTokens]: typeof WorkRow.Type): ReplicaLoad => ({replica, requests, unreadTokens});

/**
 * @param message - A message.
 * @returns The payload of its datagram.
 */
export function encodeGossip(message: GossipMessage): Uint8Array {
	const {sender, quota, work, demand, weights, reads, digest, usage, members, ends, statements, loads, rollouts, evidence, ...plain} = message;
	const layout: Layout = {
		...plain,
		sender: memberRowOf(sender),
		quota: quota.map(({clientAccount, passed, level, asked}) => [clientAccount, passed, level, asked] as const),
		work: work.map(load => workRowOf(load)),
		...(demand ? {demand: demand.map(load => demandRowOf(load))} : {}),
		...(weights ? {weights: weights.map(({service, weight}) => [service, weight] as const)} : {}),
		...(reads ? {reads: reads.map(({service, count, rates}) => [service, count, rates] as const)} : {}),
		...(digest ? {digest: digestLayoutOf(digest)} : {}),
		...(ends ? crashLayoutOf(ends) : {}),
		...(statements ? statementLayoutOf(statements) : {}),
		...loadLayoutOf(loads),
		...rolloutLayoutOf({rollouts, evidence}),
		usage: usage.map(({window, counts}) => [window, counts] as const),
		members: members.map(member => memberRowOf(member)),
	};
	return Buffer.from(JSON.stringify(layout));
}

/**
 * @param data - The payload of a datagram.
 * @returns The message; `undefined` where the payload is malformed.
 */
export function decodeGossip(data: Uint8Array): GossipMessage | undefined {
	const layout = decodeDatagram(data, decodeLayout);
	return layout && messageOf(layout);
}

function messageOf(layout: Layout): GossipMessage {
	const {sender, quota, work, demand, weights, reads, digest, usage, members, ends, prompts, statements, brittle, loads, rollouts, evidence, ...plain} = layout;
	const crashes = crashUpdateOf({...(ends ? {ends} : {}), ...(prompts ? {prompts} : {})});
	return {
		...plain,
		sender: memberOf(sender),
		quota: quota.map(([clientAccount, passed, level, asked]) => ({
			clientAccount, passed, level, asked,
		})),
		work: work.map(row => workOf(row)),
		...(demand ? {demand: demand.map(row => demandOf(row))} : {}),
		...(weights ? {weights: weights.map(([service, weight]) => ({service, weight: clampWeight(weight)}))} : {}),
		...(reads ? {reads: reads.map(([service, count, rates]) => ({service, count, rates: rates.filter(rate => rate > 0)}))} : {}),
		...(digest ? {digest: digestOf(digest)} : {}),
		...(crashes ? {ends: crashes} : {}),
		...rolloutContentOf({rollouts, evidence}),
		...((statements ?? brittle) ? {statements: statementsOf(statements, brittle)} : {}),
		...loadContentOf(loads),
		usage: usage.map(([window, counts]) => ({window, counts})),
		members: members.map(row => memberOf(row)),
	};
}

function demandRowOf({service, requests, reading, readRate, goal, meanTokens, meanSquare, met, missed}: NonNullable<GossipMessage['demand']>[number]) {
	return [service, requests, reading, readRate, goal, meanTokens, meanSquare, met, missed] as const;
}

function demandOf([service, requests, reading, readRate, goal, meanTokens, meanSquare, met, missed]: typeof DemandRow.Type): NonNullable<GossipMessage['demand']>[number] {
	return {
		service, requests, reading, readRate, goal, meanTokens, meanSquare, met, missed,
	};
}

/** Kinds of statements in the order of the lists of a message. */
const rowKinds = ['limit', 'leaving', 'pause'] as const satisfies ReadonlyArray<StatementUpdate['kind']>;

function statementLayoutOf(statements: readonly StatementUpdate[]): Pick<Layout, 'statements' | 'brittle'> {
	const rowsOf = (kind: StatementUpdate['kind']) => statements
		.filter(statement => statement.kind === kind)
		.map(({start, value, age}) => [start, value ?? null, age] as const);
	const [limits, leaving, pauses] = rowKinds;
	const brittle = rowsOf('brittle');
	return {statements: [rowsOf(limits), rowsOf(leaving), rowsOf(pauses)], ...(brittle.length > 0 ? {brittle} : {})};
}

function statementsOf(statements: Layout['statements'], brittle: Layout['brittle'] = []): readonly StatementUpdate[] {
	const rows = rowKinds.flatMap((kind, index) => (statements?.[index] ?? []).flatMap(row => statementOf(kind, row)));
	return [...rows, ...brittle.flatMap(row => statementOf('brittle', row))];
}

/** @returns The statement; an empty list where its value is negative. */
function statementOf(kind: StatementUpdate['kind'], [start, value, age]: typeof StatementRow.Type): readonly StatementUpdate[] {
	return value === null || value >= 0
		? [{
			start, kind, value: value ?? undefined, age: Math.max(0, age),
		}]
		: [];
}

function digestLayoutOf({quota, work, stretches, rates, permits, loads, ...plain}: NonNullable<GossipMessage['digest']>): typeof DigestLayout.Type {
	return {
		...plain,
		...(quota
			? {
				quota: quota.map(({clientAccount, level, refillRate, passRate, askRate, counted}) => [clientAccount, level, refillRate, passRate, askRate, counted ?? null] as const),
			}
			: {}),
		...(work ? {work: work.map(load => workRowOf(load))} : {}),
		...(stretches ? {stretches: stretches.map(({service, from, length}) => [service, roundedPosition(from), roundedPosition(length)] as const)} : {}),
		...(rates ? {rates: rates.map(row => ratesRowOf(row))} : {}),
		...(permits ? {permits: permitRowsOf(permits)} : {}),
		...loadLayoutOf(loads),
	};
}

/** Decimal precision of requests a second. */
const ratePrecision = 100;

function ratesRowOf({service, requests, tokens, readRate, duration}: NamedRates): typeof RatesRow.Type {
	return [service, Math.round(requests * ratePrecision) / ratePrecision, Math.round(tokens), Math.round(readRate), Math.round(duration)];
}

function ratesOf([service, requests, tokens, readRate, duration]: typeof RatesRow.Type): NamedRates {
	return {
		service, requests, tokens, readRate, duration,
	};
}

/** Decimal precision of a position on the ring that is fine enough to distinguish any two boxes. */
const positionPrecision = 1e5;
const roundedPosition = (position: number): number => Math.round(position * positionPrecision) / positionPrecision;

function digestOf({quota, work, stretches, rates, permits, loads, ...plain}: typeof DigestLayout.Type): NonNullable<GossipMessage['digest']> {
	return {
		...plain,
		...(quota
			? {
				quota: quota.map(([clientAccount, level, refillRate, passRate, askRate, counted]) => ({
					clientAccount, level, refillRate, passRate, askRate, counted: counted ?? undefined,
				})),
			}
			: {}),
		...(work ? {work: work.map(row => workOf(row))} : {}),
		...(stretches ? {stretches: stretches.map(([service, from, length]) => ({service, from, length: Math.min(1, Math.max(0, length))}))} : {}),
		...(permits ? {permits: permitsOfRows(permits)} : {}),
		...loadContentOf(loads),
		...(rates ? {rates: rates.filter(([, ...values]) => values.every(value => value >= 0)).map(row => ratesOf(row))} : {}),
	};
}
