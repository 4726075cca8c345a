/**
 * Decodes YAML files and reports each fault with its line.
 */
import * as Result from 'effect/Result';
import type * as Schema from 'effect/Schema';
import {LineCounter, isNode, parseDocument} from 'yaml';
import {decodeWithFaults, type Fault} from './faults.js';

/**
 * Parses and decodes YAML text.
 *
 * @param schema - Schema of the content.
 * @param text - YAML text.
 * @returns The decoded value, or all faults with their lines.
 */
export function decodeYaml<S extends Schema.ConstraintDecoder<unknown>>(
	schema: S,
	text: string,
): Result.Result<S['Type'], readonly Fault[]> {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter});
	if (document.errors.length > 0) {
		return Result.fail(document.errors.map(error => ({
			path: '',
			value: error.code,
			expected: `valid YAML (${error.message.split('\n', 1)[0] ?? ''})`,
			line: lineCounter.linePos(error.pos[0]).line,
		})));
	}

	/** Returns the line of a node, or that of its nearest existing ancestor if a key is missing. */
	const lineOf = (path: readonly string[]): number => {
		const node = path.length === 0 ? document.contents : document.getIn(path, true);
		if (isNode(node) && node.range) {
			return lineCounter.linePos(node.range[0]).line;
		}

		return path.length === 0 ? 1 : lineOf(path.slice(0, -1));
	};

	const input = document.toJS() as unknown;
	return Result.mapError(
		decodeWithFaults(schema, input),
		faults => faults.map(fault => ({...fault, line: lineOf(fault.path === '' ? [] : fault.path.split('.'))})),
	);
}
