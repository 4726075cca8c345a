/**
 * What boxes tell each other, one datagram at a time.
 */
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';

/** Where a box hears the others. */
const MemberAddress = Schema.Struct({
	name: Schema.String,
	host: Schema.String,
	port: Schema.Number,
});
export type MemberAddress = typeof MemberAddress.Type;

/** Requests of client accounts in one window. */
const WindowCounts = Schema.Struct({
	window: Schema.Number,
	counts: Schema.Array(Schema.Tuple([Schema.String, Schema.Number])),
});
export type WindowCounts = typeof WindowCounts.Type;

/** Work of boxes at one replica. */
const Work = Schema.Struct({replica: Schema.String, requests: Schema.Number, unreadTokens: Schema.Number});

/** What is asked of one service at the sender; see `Demand`. */
const ServiceDemand = Schema.Struct({
	service: Schema.String,
	requests: Schema.Number,
	reading: Schema.Number,
	readRate: Schema.Number,
	goal: Schema.Number,
	meanTokens: Schema.Number,
	meanSquare: Schema.Number,
	met: Schema.Number,
	missed: Schema.Number,
});

/** A change of the list of replicas, as the store tells it. */
const ReplicaChange = Schema.Struct({
	object: Schema.Struct({name: Schema.String, revision: Schema.Number, spec: Schema.Unknown}),
	isGone: Schema.Boolean,
});

/** What an aggregator knows of all boxes, told to one of them. */
export const FleetDigest = Schema.Struct({
	/** Boxes that the sender knows of, itself too. */
	boxes: Schema.Number,
	quota: Schema.Array(Schema.Struct({
		clientAccount: Schema.String,
		/** How full the bucket is. */
		level: Schema.Number,
		/** Units a second that the bucket is refilled with. */
		refillRate: Schema.Number,
		/** Units a second that all boxes let pass lately. */
		passRate: Schema.Number,
		/** Units a second that are asked for at all boxes. */
		askRate: Schema.Number,
		/** What the receiver let pass since its start, as far as the level holds it. */
		counted: Schema.Number,
	})),
	/** Work of all boxes but the receiver. */
	work: Schema.Array(Work),
	/** Changes of the list of replicas that the receiver does not have yet; absent where the sender cannot tell them. */
	changes: Schema.optionalKey(Schema.Struct({at: Schema.Number, changes: Schema.Array(ReplicaChange)})),
});
export type FleetDigest = typeof FleetDigest.Type;

/** One box's state, as it tells it. */
export const GossipMessage = Schema.Struct({
	sender: MemberAddress,
	/** Names one start of the box's process. */
	incarnation: Schema.String,
	sequence: Schema.Number,
	/** Milliseconds since the process started. */
	uptime: Schema.Number,
	/** The box's time of day. */
	wall: Schema.Number,
	/** The newest message of the receiver that the sender has, and the milliseconds since it came. */
	echo: Schema.optionalKey(Schema.Struct({incarnation: Schema.String, sequence: Schema.Number, age: Schema.Number})),
	/** Version of the configuration in force. */
	version: Schema.Number,
	/** Milliseconds since that version is known to have been the newest; absent where it never was. */
	proofAge: Schema.optionalKey(Schema.Number),
	isStopping: Schema.Boolean,
	/** Milliseconds since the store last answered the sender. */
	storeAge: Schema.Number,
	quota: Schema.Array(Schema.Struct({
		clientAccount: Schema.String, passed: Schema.Number, level: Schema.Number, asked: Schema.Number,
	})),
	/** Work of the sender at replicas. */
	work: Schema.Array(Work),
	/** What is asked of services at the sender. */
	demand: Schema.optionalKey(Schema.Array(ServiceDemand)),
	/** Revision up to which the sender knows the list of replicas, and the milliseconds since it was known to be whole. */
	replicas: Schema.optionalKey(Schema.Struct({at: Schema.Number, age: Schema.Number})),
	/** Whether the sender asks for a digest. */
	asksDigest: Schema.optionalKey(Schema.Boolean),
	/** Present in the answer of an aggregator, which then tells nothing of its own counters. */
	digest: Schema.optionalKey(FleetDigest),
	/** Replicas that began to leave lately. */
	departed: Schema.Array(Schema.Struct({id: Schema.String, revision: Schema.Number})),
	usage: Schema.Array(WindowCounts),
	/** Some of the boxes that the sender knows. */
	members: Schema.Array(MemberAddress),
});
export type GossipMessage = typeof GossipMessage.Type;

/** Decodes a message; what a newer program adds is skipped. */
export const decodeGossip = createDecoder(GossipMessage, 'ignore');
