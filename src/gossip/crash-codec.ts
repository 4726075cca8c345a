/**
 * Encodes the updates of the crash ledger in the exchange between boxes.
 */
import * as Schema from 'effect/Schema';
import {countOccurrences} from '../base/count-occurrences.js';
import type {Suspect} from '../quarantine/crash-attribution.js';
import type {CrashLedgerUpdate} from '../quarantine/crash-ledger.js';
import {Fingerprint} from '../quarantine/fingerprint.js';

/** A crash: replica start, service, software, age; fingerprints of requests and the milliseconds that each had run. */
const CrashRow = Schema.Tuple([Schema.String, Schema.String, Schema.String, Schema.Number, Schema.Array(Schema.Tuple([Schema.String, Schema.Number]))]);
/** Fingerprint of a request or part, age. */
const CompletionRow = Schema.Tuple([Schema.String, Schema.Number]);
/** Of one suspected request: index of its client account, or -1; indexes of the parts of its prompt. */
const PromptRow = Schema.Array(Schema.Number);

/** Fields of a message that describe crashes. */
export const crashFields = {
	ends: Schema.optionalKey(Schema.Tuple([Schema.Array(CrashRow), Schema.Array(CompletionRow)])),
	/** Fingerprints of client accounts and parts; rows for each crash. A field of its own, so that boxes of an earlier version ignore it. */
	prompts: Schema.optionalKey(Schema.Tuple([Schema.Array(Schema.String), Schema.Array(Schema.Array(PromptRow))])),
} as const;

const CrashLayout = Schema.Struct(crashFields);
export type CrashLayout = typeof CrashLayout.Type;

/** Max. fingerprints of client accounts and parts in one message: those that are named most often. */
const maxNames = 96;
const unknownIndex = -1;

/**
 * @param update - An update of the crash ledger.
 * @returns Its fields in a message.
 */
export function crashLayoutOf({crashes, completions}: CrashLedgerUpdate): CrashLayout {
	const names = namesIn(crashes.flatMap(({suspects}) => suspects));
	return {
		ends: [
			crashes.map(({start, service, software, age, suspects}) => [start, service, software, age, suspects.map(({fingerprint, ranFor}) => [fingerprint, ranFor] as const)] as const),
			completions.map(({fingerprint, age}) => [fingerprint, age] as const),
		],
		...(names.length > 0 ? {prompts: [names, crashes.map(({suspects}) => suspects.map(suspect => promptRowOf(suspect, names)))]} : {}),
	};
}

/**
 * @param layout - Fields of a message.
 * @returns The update; `undefined` if the message contains none.
 */
export function crashUpdateOf({ends, prompts: [names, rows] = [[], []]}: CrashLayout): CrashLedgerUpdate | undefined {
	if (!ends) {
		return undefined;
	}

	const [crashes, completions] = ends;
	const fingerprints = names.map(name => Fingerprint(name));
	return {
		crashes: crashes.map(([start, service, software, age, suspects], crash) => ({
			start, service, software, age: Math.max(0, age), suspects: suspects.map(([fingerprint, ranFor], index) => ({
				fingerprint: Fingerprint(fingerprint), ranFor, ...promptOf(rows[crash]?.[index] ?? [], fingerprints),
			})),
		})),
		completions: completions.map(([fingerprint, age]) => ({fingerprint: Fingerprint(fingerprint), age: Math.max(0, age)})),
	};
}

function namesIn(suspects: readonly Suspect[]): readonly Fingerprint[] {
	const counts = countOccurrences(suspects.flatMap(({parts = [], clientAccount}) => clientAccount === undefined ? parts : [clientAccount, ...parts]));
	return [...counts].sort(([, left], [, right]) => right - left).slice(0, maxNames).map(([name]) => name);
}

function promptRowOf({parts = [], clientAccount}: Suspect, names: readonly Fingerprint[]): readonly number[] {
	const indexes = parts.map(part => names.indexOf(part)).filter(index => index !== unknownIndex);
	return [clientAccount === undefined ? unknownIndex : names.indexOf(clientAccount), ...indexes];
}

function promptOf([clientAccount = unknownIndex, ...parts]: readonly number[], names: readonly Fingerprint[]): Pick<Suspect, 'parts' | 'clientAccount'> {
	const sender = names[clientAccount];
	const known = parts.flatMap(index => names[index] ?? []);
	return {...(known.length > 0 ? {parts: known} : {}), ...(sender === undefined ? {} : {clientAccount: sender})};
}
