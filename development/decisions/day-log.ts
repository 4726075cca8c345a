/**
 * Reads the log lines of a recorded run: each holds one event as JSON, behind its time and box or by itself.
 */

/** Fields of an event. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** One event of a run. */
export type DayEvent = {
	/** Seconds. */
	readonly at: number;
	readonly box: string;
	readonly name: string;
	readonly fields: EventFields;
};

/** Seconds and box before the event, as a recorder of several boxes prints them. */
const prefixed = /^\s*(?<at>-?\d+(?:\.\d+)?) (?<box>\S+) (?<json>\{.*\})\s*$/v;
const millisecondsPerSecond = 1000;

/**
 * @param text - The log.
 * @returns Its events in order; lines that are none are passed over.
 */
export function readDayLog(text: string): readonly DayEvent[] {
	return text.split('\n').flatMap(line => eventOf(line) ?? []).sort((left, right) => left.at - right.at);
}

/**
 * @param text - The log.
 * @returns How many of its lines hold an event that cannot be read: what is counted lacks them.
 */
export function unreadableIn(text: string): number {
	return text.split('\n').filter(line => line.includes('"eventName"') && !eventOf(line)).length;
}

/** @returns The event of a line; nothing where there is none, or none whose time is known. */
function eventOf(line: string): DayEvent | undefined {
	const groups = prefixed.exec(line)?.groups;
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
