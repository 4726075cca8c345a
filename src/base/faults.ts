/**
 * Faults in what people wrote (settings, table, requests): where, what stands there, what was expected.
 */
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import * as SchemaIssue from 'effect/SchemaIssue';

/** One fault. */
export type Fault = {
	/** Keys and indexes from the root, joined by dots; empty for the whole. */
	readonly path: string;
	/** What stands there, shortened; absent where nothing does. */
	readonly value: string | undefined;
	/** What was expected. */
	readonly expected: string;
	/** Line in the file, from 1, where one is known. */
	readonly line?: number;
};

const longestShownValue = 60;
/** What the schema library says of a key that is not there. */
const missingKey = 'Missing key';
const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

/**
 * Follows a path into a value.
 *
 * @param root - Where to begin.
 * @param path - Keys and indexes.
 * @returns What stands there, or `undefined`.
 */
function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
	let value = root;
	for (const key of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
	}

	return value;
}

const show = (value: unknown): string | undefined => JSON.stringify(value)?.slice(0, longestShownValue);

/** Decodes unknown input. */
export type Decoder<Type> = (input: unknown) => Result.Result<Type, readonly Fault[]>;

/**
 * Prepares a decoder that collects every fault; prepare it once and use it often.
 *
 * @param schema - What the input should be.
 * @param excess - What to do with keys that the schema does not name.
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
			value: show(valueAt(input, path)),
			expected: message === missingKey ? 'a value, which must be given' : message.replace(/^Expected /v, ''),
		};
	});
}

/**
 * Decodes unknown input and collects every fault in it.
 *
 * @param schema - What the input should be.
 * @param input - What came.
 * @returns The decoded value, or all faults at once.
 */
export function decodeWithFaults<S extends Schema.ConstraintDecoder<unknown>>(
	schema: S,
	input: unknown,
): Result.Result<S['Type'], readonly Fault[]> {
	return createDecoder(schema)(input);
}

/**
 * Writes a fault on one line, for people.
 *
 * @param file - Name of the file it stands in.
 * @param fault - The fault.
 * @returns For example `box.yaml:3: callers.port: "x" — expected number`.
 */
export function describeFault(file: string, fault: Fault): string {
	const place = fault.line === undefined ? file : `${file}:${fault.line}`;
	const path = fault.path === '' ? '(whole file)' : fault.path;
	return `${place}: ${path}: ${fault.value ?? 'missing'}: expected ${fault.expected}`;
}

/**
 * Writes all faults of one thing on one line, for the log.
 *
 * @param file - What they stand in.
 * @param faults - The faults.
 * @returns The faults as {@link describeFault} writes them, one behind the other.
 */
export function describeFaults(file: string, faults: readonly Fault[]): string {
	return faults.map(fault => describeFault(file, fault)).join('; ');
}
