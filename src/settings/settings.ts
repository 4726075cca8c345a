/**
 * Settings of one entry box. Every setting has a type, a default where one makes sense, and a description;
 * `waydrift check` prints all faults of a file at once.
 */
import * as Effect from 'effect/Effect';
import type * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Fault} from '../base/faults.js';
import {BoxId, DataCentre} from '../base/identifiers.js';
import {largestPort} from '../base/port.js';
import {decodeYaml} from '../base/yaml-file.js';

const positive = (description: string, fallback: number) => Schema.Int
	.check(Schema.isBetween({minimum: 1, maximum: Number.MAX_SAFE_INTEGER}, {expected: 'a whole number above zero'}))
	.annotate({description, default: fallback})
	.pipe(Schema.withDecodingDefaultKey(Effect.succeed(fallback)));

const port = (description: string) => Schema.Int
	.check(Schema.isBetween({minimum: 0, maximum: largestPort}, {expected: 'a TCP port, 0 to 65535'}))
	.annotate({description});

const host = (description: string) => Schema.String
	.check(Schema.isPattern(/^(?:\d{1,3}\.){3}\d{1,3}$|^[\da-f:]+$/v, {expected: 'an IP number'}))
	.annotate({description});

/** Where a door listens. */
const Listener = Schema.Struct({
	host: host('IP number to listen on.'),
	port: port('TCP port to listen on; 0 takes any.'),
});

/** The settings file. */
export const Settings = Schema.Struct({
	box: BoxId.annotate({description: 'Name of this box in the platform\'s box list.'}),
	dataCentre: DataCentre.annotate({description: 'Data centre this box stands in.'}),
	callers: Schema.Struct({
		...Listener.fields,
		maximumBody: positive('Largest request body, in bytes.', 4_194_304),
		maximumHeaders: positive('Largest request head, in bytes.', 16_384),
		receiveTimeout: positive('Milliseconds for a whole request to arrive.', 10_000),
		maximumRequestsPerAccount: positive('Requests in progress that one client account may have on this box.', 2000),
	}),
	peers: Listener,
	operators: Listener,
	platform: Schema.Struct({
		host: host('IP number of the platform\'s service.'),
		port: port('TCP port of the platform\'s service.'),
	}),
	stopping: Schema.Struct({
		balancerDelay: positive('Milliseconds to go on accepting after a stop was asked for, until the balancer has noticed.', 2000),
	}).pipe(Schema.withDecodingDefaultKey(Effect.succeed({}))),
	records: Schema.Struct({
		retention: positive('Milliseconds to keep the answer of a finished request for its caller.', 60_000),
		maximumBytes: positive('Bytes of finished answers to keep.', 33_554_432),
	}).pipe(Schema.withDecodingDefaultKey(Effect.succeed({}))),
});
export type Settings = typeof Settings.Type;

/**
 * Reads settings from YAML text.
 *
 * @param text - Content of the file.
 * @returns The settings with defaults filled in, or all faults at once.
 */
export function decodeSettings(text: string): Result.Result<Settings, readonly Fault[]> {
	return decodeYaml(Settings, text);
}
