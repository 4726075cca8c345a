/**
 * Invariant: invalid external input neither crashes a box nor hides valid entries. Feeds mutated and generated entries, configurations,
 * datagrams and documents, mixed with valid ones, to the real decoders and their consumers.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import * as Result from 'effect/Result';
import fc from 'fast-check';
import {decodeConfiguration, decodeReplica} from '../../platform/formats.js';
import {SilentEventLog} from '../../src/base/event-log.js';
import {parseBoundedJson} from '../../src/base/bounded-json.js';
import {decodeDutyRecord} from '../../src/duties/duty-record.js';
import {decodeGossip, encodeGossip} from '../../src/gossip/gossip-codec.js';
import type {GossipMessage} from '../../src/gossip/gossip-message.js';
import {decodeLoan, encodeLoan, type LoanDatagram} from '../../src/quota/loan-codec.js';
import {decodeOrigins, encodeOrigins, type OriginDatagram} from '../../src/relay/origin-codec.js';
import {ReplicaRole} from '../../src/node/replica-role.js';
import type {PlatformLink} from '../../src/node/platform-link.js';
import {CrashLedger, maxCrashesSent} from '../../src/quarantine/crash-ledger.js';
import {Fingerprint} from '../../src/quarantine/fingerprint.js';
import {ReplicaDirectory} from '../../src/replicas/replica-directory.js';
import {RouteTable} from '../../src/routes/route-table.js';
import {createAvailability} from '../harness/store-outage.js';
import {step, type Suite} from './suite.js';
import {VirtualClock, type VirtualTime} from './virtual-time.js';

const largestPort = 65_535;
/** Bytes of a datagram that are left for the changes of the list. */
const maxChangesBytes = 32 * 1024;
const validReplica = {
	service: 's', addr: '10.0.0.1:80', zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1, born: 1_700_000_000_000, spot: true, leaves_ms: 9000,
};
const validConfiguration = {
	version: 7,
	routes: [{
		name: 'r', host: 'a.example', path_prefix: '/x/', kind: 'idempotent', timeout_ms: 100, goal_ms: 50, priority: 1, max_attempts: 2, split: [{service: 's', weight: 3}],
	}],
	services: [{
		name: 's', max_conns: 10, engine: {kv_capacity: 9}, autoscale: {
			min: 1, max: 3, boot_s: 4, spot_price: 0.2, zone_prices: {a: 1},
		},
	}],
	tenants: [{
		name: 't', api_keys: ['k'], priority: 1, unit: 'token_count', plain_tokens: 2, rate_per_s: 3, burst: 4,
	}],
	limits: {max_body_bytes: 1, header_timeout_ms: 2, idle_timeout_ms: 3},
};
const validMessage: GossipMessage = {
	sender: {
		name: 'box-2', host: '10.0.0.2', port: 7600, capacity: 1,
	}, incarnation: 'one', sequence: 7, uptime: 5000, wall: 1_700_000_000_000, version: 3, isStopping: false, storeAge: 9, isWhole: true,
	quota: [{
		clientAccount: 't', passed: 1, level: 2, asked: 3,
	}], work: [{replica: 'i', requests: 1, unreadTokens: 2}], departed: [{id: 'i', revision: 1}],
	usage: [{window: 1, counts: [['t', 1]]}], members: [],
	ends: {
		crashes: [{
			start: 'i/1', service: 's', software: '1', age: 5, suspects: [{fingerprint: Fingerprint('abcdefghijkl'), ranFor: 60}],
		}], completions: [{fingerprint: Fingerprint('abcdefghijkm'), age: 1}],
	},
	digest: {
		boxes: 9, work: [], quota: [], changes: {at: 3, changes: [{object: {name: 'i', revision: 2, spec: validReplica}, isGone: false}]},
	},
};
const validDuty = {
	holder: 'a', incarnation: 'b', fence: 3, decision: 4, reported: 5, orders: [], baseline: [],
};

class DecoderWorld {
	faults = 0;
	readonly ledger: CrashLedger;
	readonly role: ReplicaRole;
	private readonly replicas: ReplicaDirectory;
	private revision = 10;

	constructor(time: VirtualTime) {
		const clock = VirtualClock.create(time);
		const log = SilentEventLog.create();
		this.ledger = CrashLedger.create(clock);
		this.replicas = ReplicaDirectory.create(clock, log);
		this.role = ReplicaRole.create({
			link: {names: {replicaKind: 'replicas', decodeReplica}} as unknown as PlatformLink, clock, log,
			replicas: this.replicas, followsStore: () => true, fallbackDelay: 5000, ...createAvailability(clock),
		});
		this.role.applyListing({at: this.revision, objects: ['good-1', 'good-2'].map(name => ({name, revision: 1, spec: validReplica}))}, 0);
	}

	/** Applies an entry of another writer, as part of a listing or of an update from a peer. */
	applyEntry(spec: unknown, isList: boolean): void {
		this.faults++;
		this.revision++;
		const object = {name: 'odd', revision: this.revision, spec};
		if (isList) {
			const valid = ['good-1', 'good-2'].map(name => ({name, revision: 1, spec: validReplica}));
			this.role.applyListing({at: this.revision, objects: [valid[0]!, object, valid[1]!]}, 0);
		} else {
			this.role.applyPeerUpdate({name: 'peer', host: '127.0.0.1', port: 1}, {at: this.revision, age: 0}, {at: this.revision, changes: [{object, isGone: false}]});
		}

		// The changes sent to other boxes must fit into a datagram.
		const changes = this.role.changesSince(this.revision - 1);
		assert.ok(Buffer.byteLength(JSON.stringify(changes ?? null)) <= maxChangesBytes, 'the changes do not fit into a datagram');
		this.checkReplicas();
	}

	checkReplicas(): void {
		const names = this.replicas.all.filter(({isLeaving}) => !isLeaving).map(({entry}) => entry.id);
		assert.ok(names.includes('good-1') && names.includes('good-2'), `valid replicas are missing; present: ${names.join(' ')}`);
		for (const {entry: {host, port, slots, service, bornAt, leavesIn}} of this.replicas.all) {
			assert.ok(Number.isInteger(port) && port > 0 && port <= largestPort && /^[\d.]+$/v.test(host), `${host}:${port}`);
			assert.ok(Number.isInteger(slots) && slots > 0 && service.length > 0);
			assert.ok(bornAt === undefined || (Number.isInteger(bornAt) && bornAt >= 0));
			assert.ok(leavesIn === undefined || Number.isFinite(leavesIn));
		}
	}

	applyConfiguration(spec: unknown): void {
		this.faults++;
		const decoded = decodeConfiguration(spec);
		if (Result.isSuccess(decoded)) {
			const table = RouteTable.create(decoded.success);
			table.route('a.example', '/x/y');
			table.clientAccount('k');
			assert.ok(Number.isFinite(decoded.success.version));
			assert.ok(decoded.success.routes.every(({timeout, maximumAttempts}) => Number.isFinite(timeout) && Number.isFinite(maximumAttempts)));
		}
	}

	applyDatagram(data: Uint8Array): void {
		this.faults++;
		const loan = decodeLoan(data);
		assert.ok(loan === undefined || Number.isFinite((loan.ask ?? loan.grant)?.amount), 'a loan without an amount');
		const origins = decodeOrigins(data);
		assert.ok(origins?.origins?.every(({attempt, software}) => typeof attempt === 'string' && typeof software === 'string') ?? true, 'an origin without a name or a version');
		const message = decodeGossip(data);
		if (!message) {
			return;
		}

		this.ledger.merge(message.ends ?? {crashes: [], completions: []});
		const update = this.ledger.collectUpdate(true, maxCrashesSent.small);
		const forwarded = decodeGossip(encodeGossip({...validMessage, ...(update ? {ends: update} : {})}));
		assert.ok(forwarded, 'a forwarded update can\'t be decoded');
		for (const change of message.digest?.changes?.changes ?? []) {
			decodeReplica(change.object);
		}
	}
}

const invalidValue = fc.oneof(
	fc.constantFrom<unknown>(null, true, '', 'ready', -1, 0, 0.5, 1e308, Number.NaN, [], {}, [[[[]]]], '\uFFFD\u0000', 'x'.repeat(10_000), '10.0.0.1', '10.0.0.1:99999', '127.0.0.1:0', -7e15),
	fc.jsonValue({maxDepth: 3}),
	fc.string({unit: 'binary'}),
);

/** Generates copies of a valid value with one part, at any depth, removed or replaced. */
function mutated(valid: unknown): fc.Arbitrary<unknown> {
	return fc.tuple(fc.array(fc.nat({max: 30}), {minLength: 1, maxLength: 5}), invalidValue, fc.boolean()).map(([path, value, isRemoved]) => mutate(valid, path, value, isRemoved));
}

function mutate(valid: unknown, path: readonly number[], value: unknown, isRemoved: boolean): unknown {
	const [first, ...rest] = path;
	if (first === undefined || typeof valid !== 'object' || valid === null) {
		return value;
	}

	const entries = Object.entries(valid);
	if (entries.length === 0) {
		return value;
	}

	const index = first % entries.length;
	const changed = entries.flatMap(([key, part], place): Array<[string, unknown]> => {
		if (place !== index) {
			return [[key, part]];
		}

		return rest.length === 0 && isRemoved ? [] : [[key, rest.length === 0 ? value : mutate(part, rest, value, isRemoved)]];
	});
	return Array.isArray(valid) ? changed.map(([, part]) => part) : Object.fromEntries(changed);
}

const bytesOf = (value: unknown): Uint8Array => Buffer.from(JSON.stringify(value) ?? '');
const validLoan: LoanDatagram = {ask: {id: 'one-1', service: 's', amount: 1.5}, grant: {id: 'one-2', amount: 0.5}};
const loanDatagram = mutated(JSON.parse(Buffer.from(encodeLoan(validLoan)).toString())).map(value => bytesOf(value));
const validOrigins: OriginDatagram = {
	origins: [{
		clientAccount: 't', attempt: 'a', service: 's', software: 'v1',
	}], find: {id: 'one-1', name: {clientAccount: 't', attempt: 'a'}, service: 's'}, found: {id: 'one-2', software: 'v1'},
};
const originDatagram = mutated(JSON.parse(Buffer.from(encodeOrigins(validOrigins)).toString())).map(value => bytesOf(value));
const validDatagram = JSON.parse(Buffer.from(encodeGossip(validMessage)).toString()) as unknown;
const datagram = fc.oneof(
	mutated(validDatagram).map(value => bytesOf(value)),
	fc.nat({max: bytesOf(validDatagram).length}).map(length => bytesOf(validDatagram).subarray(0, length)),
	fc.tuple(fc.nat({max: bytesOf(validDatagram).length - 1}), fc.integer({min: 0, max: 255})).map(([at, byte]) => {
		const data = Buffer.from(bytesOf(validDatagram));
		data[at] = byte;
		return data;
	}),
	fc.uint8Array({maxLength: 300}),
	loanDatagram,
	originDatagram,
);
const entry = fc.oneof({weight: 4, arbitrary: mutated(validReplica)}, {weight: 1, arbitrary: invalidValue});
const fieldNames = [...Object.keys(validReplica), 'note', '__proto__'];
/** JSON of entries with a part that is nested deeply, is very large, or is a number that is too large. */
const extremeEntry = fc.tuple(
	fc.constantFrom(...fieldNames),
	fc.oneof(
		fc.tuple(fc.constantFrom(65, 2000, 20_000), fc.constantFrom(['[', ']'], ['{"a":[', ']}']))
			.map(([depth, [open = '', close = '']]) => `${open.repeat(depth)}${close.repeat(depth)}`),
		fc.constantFrom('1e400', '-1e400', '9007199254740993', '-0', String.raw`"\ud800"`),
		fc.constantFrom(5000, 70_000, 1_000_000).map(length => JSON.stringify('x'.repeat(length))),
	),
	fc.boolean(),
).map(([field, text, isWhole]) => isWhole ? text : `${JSON.stringify(validReplica).slice(0, -1)},${JSON.stringify(field)}:${text}}`);

const steps = fc.oneof(
	{
		weight: 4, arbitrary: fc.tuple(entry, fc.boolean()).map(([spec, isList]) => step<DecoderWorld>(`entry ${JSON.stringify(spec)?.slice(0, 200)}${isList ? ' in a listing' : ''}`, world => {
			world.applyEntry(spec, isList);
		})),
	},
	{
		weight: 1, arbitrary: fc.tuple(extremeEntry, fc.boolean())
			.map(([text, isList]) => step<DecoderWorld>(`long entry ${text.slice(0, 300)}${isList ? ' in a listing' : ''}`, world => {
				world.applyEntry(parseBoundedJson(text), isList);
			})),
	},
	{
		weight: 2, arbitrary: fc.oneof(mutated(validConfiguration), invalidValue).map(spec => step<DecoderWorld>(`configuration ${JSON.stringify(spec)?.slice(0, 400)}`, world => {
			world.applyConfiguration(spec);
		})),
	},
	{
		weight: 3, arbitrary: datagram.map(data => step<DecoderWorld>(`datagram ${Buffer.from(data).toString('base64').slice(0, 200)}`, world => {
			world.applyDatagram(data);
		})),
	},
	{
		weight: 1, arbitrary: fc.oneof(mutated(validDuty), invalidValue).map(record => step<DecoderWorld>(`duty record ${JSON.stringify(record)?.slice(0, 200)}`, () => {
			decodeDutyRecord(record);
		})),
	},
);

/** One box that receives invalid external input. */
export const decoderSuite: Suite<DecoderWorld> = {
	name: 'decoders',
	steps,
	create: time => new DecoderWorld(time),
	async check(world) {
		world.checkReplicas();
	},
	faults: world => world.faults,
};
