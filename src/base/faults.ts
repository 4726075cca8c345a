/**
 * Faults in input (settings, table, requests): the place, the value found and the value expected.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import * as SchemaIssue from 'effect/SchemaIssue';
import {isLongerThan} from './bounded-json.js';

/** One fault. */
export type Fault = {
	/** Keys and indexes from the root, joined by dots; empty for the root itself. */
	readonly path: string;
	/** The value found, as JSON and shortened; absent if there is none. */
	readonly value: string | undefined;
	/** Description of the expected value. */
	readonly expected: string;
	/** Line in the file, from 1, if known. */
	readonly line?: number;
};

/** Maximum characters of a value that are shown. */
const maxShownLength = 60;
/** Maximum characters of a value that is written to show its start. */
const maxWrittenLength = 1000;
/** Maximum characters of each part of a fault in the log. */
const maxLoggedPartLength = 120;
/** Maximum number of faults of one input in the log. */
const maxLoggedFaults = 6;
/** Message of the schema library for a missing key. */
const missingKey = 'Missing key';
const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

/**
 * Looks up a nested value.
 *
 * @param root - The outermost value.
 * @param path - Keys and indexes from the root.
 * @returns The value at the path, or `undefined`.
 */
function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
	let value = root;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}

/** @returns The value as JSON, shortened; its kind where that would be too long to write first. */
function formatValue(value: unknown): string | undefined {
	if (typeof value === 'string') {
		return JSON.stringify(value.slice(0, maxShownLength)).slice(0, maxShownLength);
	}

	if (isLongerThan(value, maxWrittenLength)) {
		return Array.isArray(value) ? `an array of ${value.length} items` : `an object with ${Object.keys(value as Record<string, unknown>).length} keys`;
	}

	return JSON.stringify(value)?.slice(0, maxShownLength);
}

/** Decodes unknown input. */
export type Decoder<Type> = (input: unknown) => Result.Result<Type, readonly Fault[]>;

/**
 * Creates a decoder that collects all faults. Creation is costly, so reuse the decoder.
 *
 * @param schema - Schema of the input.
 * @param excess - Whether keys that the schema does not name are faults or ignored.
 * @returns The decoder.
 */
export function createDecoder<S extends Schema.ConstraintDecoder<unknown>>(
	schema: S,
	excess: 'error' | 'ignore' = 'error',
): Decoder<S['Type']> {
	const decode = Schema.decodeUnknownResult(schema, {errors: 'all', onExcessProperty: excess});
	return input => Result.mapError(decode(input), failure => faultsOf(failure.issue, input));
}

function faultsOf(issue: SchemaIssue.Issue, input: unknown): readonly Fault[] {
	return formatIssue(issue).issues.map(({path: segments, message}) => {
		const path = (segments ?? []).map(segment => typeof segment === 'object' ? segment.key : segment);
		return {
			path: path.map(String).join('.'),
			value: formatValue(valueAt(input, path)),
			expected: message === missingKey ? 'a value, which must be given' : message.replace(/^Expected /v, ''),
		};
	});
}

/**
 * Decodes unknown input and collects every fault in it.
 *
 * @param schema - Schema of the input.
 * @param input - The input.
 * @returns The decoded value, or all faults at once.
 */
export function decodeWithFaults<S extends Schema.ConstraintDecoder<unknown>>(
	schema: S,
	input: unknown,
): Result.Result<S['Type'], readonly Fault[]> {
	return createDecoder(schema)(input);
}

/**
 * Formats a fault as one readable line.
 *
 * @param file - Name of the file that contains it.
 * @param fault - The fault.
 * @returns For example `box.yaml:3: callers.port: "x" — expected number`.
 */
export function describeFault(file: string, fault: Fault): string {
	const place = fault.line === undefined ? file : `${file}:${fault.line}`;
	const path = fault.path === '' ? '(whole file)' : fault.path;
	return `${place}: ${path}: ${fault.value ?? 'missing'}: expected ${fault.expected}`;
}

/**
 * Formats several faults as one line for the log, of bounded length.
 *
 * @param file - Name of the input that contains them.
 * @param faults - The faults.
 * @returns The faults as formatted by {@link describeFault}, separated by semicolons; the number of further ones.
 */
export function describeFaults(file: string, faults: readonly Fault[]): string {
	const further = faults.length - maxLoggedFaults;
	return [
		...faults.slice(0, maxLoggedFaults).map(({path, expected, ...fault}) => describeFault(file, {...fault, path: shorten(path), expected: shorten(expected)})),
		...(further > 0 ? [`${further} more`] : []),
	].join('; ');
}

function shorten(text: string): string {
	return text.length > maxLoggedPartLength ? `${text.slice(0, maxLoggedPartLength)}…` : text;
}
