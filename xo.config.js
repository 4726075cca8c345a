import {layers} from './scripts/layers.js';
import {platformSpellings} from './scripts/platform-spellings.js';

const platformSpelling = platformSpellings.map(spelling => spelling.replaceAll('/', String.raw`\/`)).join('|');

/** Forbids a layer the folders above it, so that imports only go downwards. */
const importDirection = layers.map((folder, index) => ({
	files: [`src/${folder}/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {
			patterns: [
				...layers.slice(index + 1).map(upper => ({
					group: [`**/${upper}/*.js`, `**/${upper}/**/*.js`],
					message: `${folder} stands below ${upper}: imports go downwards only (docs/DESIGN.md, "Layers").`,
				})),
				{group: ['**/development/**'], message: 'The product does not import development programs.'},
				...(folder === 'command' ? [] : [{group: ['**/platform/*.js'], message: 'Only src/command/create-platform-link.ts wires the adapter.'}]),
				{regex: '^effect$', message: 'Import effect by module (effect/Effect): the whole library costs 20 MB.'},
			],
		}],
		'no-restricted-syntax': ['error', {
			selector: `Literal[value=/^(?:${platformSpelling})/i]`,
			message: 'The platform\'s names stand in platform/ alone (docs/PLATFORM.md).',
		}],
	},
}));

export default [
	{ignores: ['build/**', 'dist/**']},
	{
		rules: {
			// The library names its constructors with capitals (Schema.Struct, Data.TaggedError).
			'new-cap': ['error', {newIsCap: true, capIsNew: false}],
			'unicorn/no-process-exit': 'off',
			'unicorn/throw-new-error': 'off',
			// Both rules take Effect.map and Effect.catch for those of arrays and promises.
			'array-callback-return': 'off',
			'promise/prefer-await-to-then': 'off',
			// Resumes after an interruption are written straight down, one attempt after another.
			'no-await-in-loop': 'off',
			curly: ['error', 'all'],
		},
	},
	{
		// These rules ask for types, which plain JavaScript has none of.
		files: ['**/*.ts'],
		rules: {
			// Names on the wire (max_tokens, Content-Type) are not ours to choose.
			'@typescript-eslint/naming-convention': 'off',
			// A schema and the type it describes bear one name, as the library's own pages do.
			'@typescript-eslint/no-redeclare': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// The runner itself waits for tests.
			'@typescript-eslint/no-floating-promises': ['error', {
				allowForKnownSafeCalls: [{from: 'package', name: ['test', 'suite'], package: 'node:test'}],
			}],
		},
	},
	...importDirection,
	// Tests reach for the fakes and the harness.
	{
		files: ['src/**/test/**/*.ts'],
		rules: {
			'no-restricted-imports': 'off',
			'no-restricted-syntax': 'off',
			// An assertion reads better with what it asserts in one place.
			'unicorn/no-await-expression-member': 'off',
		},
	},
];
