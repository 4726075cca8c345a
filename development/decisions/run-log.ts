/**
 * Reads the log of a recorded run. Each line holds one event as JSON, with or without a prefix of time and box.
 */

/** JSON fields of an event, by name. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** One event of a run. */
export type RunEvent = {
	/** Time in seconds: from the recorder where the line has a prefix, else since the Unix epoch. */
	readonly at: number;
	readonly box: string;
	readonly name: string;
	readonly fields: EventFields;
};

/** A line with the prefix that a recorder of several boxes prints: the time in seconds, then the box. */
const prefixedLine = /^\s*(?<at>-?\d+(?:\.\d+)?) (?<box>\S+) (?<json>\{.*\})\s*$/v;
const millisecondsPerSecond = 1000;

/**
 * @param text - The log.
 * @returns Its events in order of time; lines without a readable event are skipped.
 */
export function readRunLog(text: string): readonly RunEvent[] {
	return text.split('\n').flatMap(line => eventOf(line) ?? []).sort((left, right) => left.at - right.at);
}

/**
 * @param text - The log.
 * @returns The number of lines that hold an event but cannot be parsed. The summary does not count these events.
 */
export function countUnreadableLines(text: string): number {
	return text.split('\n').filter(line => line.includes('"eventName"') && !eventOf(line)).length;
}

/** @returns The event of a line; `undefined` if the line holds no event or no valid time. */
function eventOf(line: string): RunEvent | undefined {
	const groups = prefixedLine.exec(line)?.groups;
	const fields = parseFields(groups?.json ?? line);
	if (!fields || typeof fields.eventName !== 'string') {
		return undefined;
	}

	const at = groups ? Number(groups.at) : Date.parse(String(fields.time)) / millisecondsPerSecond;
	return Number.isFinite(at)
		? {
			at, box: groups?.box ?? String(fields.node ?? ''), name: fields.eventName, fields,
		}
		: undefined;
}

function parseFields(json: string): EventFields | undefined {
	if (!json.startsWith('{')) {
		return undefined;
	}

	try {
		return JSON.parse(json) as EventFields;
	} catch {
		return undefined;
	}
}
