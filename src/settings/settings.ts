/**
 * Settings of one entry box. Every setting has a type, a description and, where possible, a default.
 * `waydrift check` prints all faults of a file at once.
 */
import * as Effect from 'effect/Effect';
import type * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import type {Fault} from '../base/faults.js';
import {BoxId, DataCentre} from '../base/identifiers.js';
import {maxPort} from '../base/port.js';
import {decodeYaml} from '../base/yaml-file.js';

const positiveInteger = (description: string, defaultValue: number) => Schema.Int
	.check(Schema.isBetween({minimum: 1, maximum: Number.MAX_SAFE_INTEGER}, {expected: 'a whole number above zero'}))
	.annotate({description, default: defaultValue})
	.pipe(Schema.withDecodingDefaultKey(Effect.succeed(defaultValue)));

const port = (description: string) => Schema.Int
	.check(Schema.isBetween({minimum: 0, maximum: maxPort}, {expected: 'a TCP port, 0 to 65535'}))
	.annotate({description});

const host = (description: string) => Schema.String
	.check(Schema.isPattern(/^(?:\d{1,3}\.){3}\d{1,3}$|^[\da-f:]+$/v, {expected: 'an IP number'}))
	.annotate({description});

/** Address of an HTTP listener. */
const Listener = Schema.Struct({
	host: host('IP address to listen on.'),
	port: port('TCP port to listen on; 0 selects any free port.'),
});

/** Schema of the settings file. */
export const Settings = Schema.Struct({
	box: BoxId.annotate({description: 'Name of this box in the platform\'s box list.'}),
	dataCentre: DataCentre.annotate({description: 'Data centre of this box.'}),
	callers: Schema.Struct({
		...Listener.fields,
		maximumBody: positiveInteger('Maximum size of a request body, in bytes.', 4_194_304),
		maximumHeaders: positiveInteger('Maximum size of a request head, in bytes.', 16_384),
		receiveTimeout: positiveInteger('Milliseconds within which a whole request must be received.', 30_000),
		maximumRequestsPerAccount: positiveInteger('Maximum number of requests in progress of one client account on this box.', 2000),
	}),
	peers: Listener,
	operators: Listener,
	platform: Schema.Struct({
		host: host('IP address of the platform\'s service.'),
		port: port('TCP port of the platform\'s service.'),
	}),
	limits: Schema.Struct({
		memory: positiveInteger('Memory of the process, in megabytes.', 350),
		descriptors: positiveInteger('File descriptors of the process.', 4096),
	}).pipe(Schema.withDecodingDefaultKey(Effect.succeed({}))),
	stopping: Schema.Struct({
		balancerDelay: positiveInteger('Milliseconds to continue accepting requests after a stop is requested, until the load balancer has noticed.', 2000),
	}).pipe(Schema.withDecodingDefaultKey(Effect.succeed({}))),
	records: Schema.Struct({
		retention: positiveInteger('Milliseconds to keep the answer of a finished request for its client.', 60_000),
		maximumBytes: positiveInteger('Maximum total size of the kept answers, in bytes.', 33_554_432),
	}).pipe(Schema.withDecodingDefaultKey(Effect.succeed({}))),
});
export type Settings = typeof Settings.Type;

/**
 * Decodes settings from YAML text.
 *
 * @param text - Content of the file.
 * @returns The settings with defaults filled in, or all faults at once.
 */
export function decodeSettings(text: string): Result.Result<Settings, readonly Fault[]> {
	return decodeYaml(Settings, text);
}
