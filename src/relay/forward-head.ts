/**
 * Headers between two boxes when one forwards a client's request through the other. The client's own headers are sent unchanged.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {refusalReasons, type RefusalReason} from '../base/refusal-reason.js';
import {Refusal, type Verdict} from '../base/verdict.js';

const header = {
	origin: 'waydrift-origin',
	version: 'waydrift-version',
	service: 'waydrift-service',
	reason: 'waydrift-reason',
	verdict: 'waydrift-verdict',
	arrivals: 'waydrift-arrivals',
	software: 'waydrift-software',
} as const;
const headerNames: ReadonlySet<string> = new Set(Object.values(header));
const verdicts: ReadonlySet<string> = new Set<Verdict>(['not-run', 'may-have-run', 'ran']);

/** What the box that received a client's request tells the one that it forwards the request to. */
export type ForwardHead = {
	/** Name of the box that received the request from the client. */
	readonly origin: string;
	/** Version of the configuration that it was admitted under. */
	readonly version: number;
	/** The service that was chosen for it. */
	readonly service: string;
	/** Software version at which the stream must go on; `undefined` if any may begin it. */
	readonly software: string | undefined;
};

/**
 * @param name - Name of a header in lower case.
 * @returns Whether it is a header between boxes, which neither replicas nor clients get.
 */
export const isForwardHeader = (name: string): boolean => headerNames.has(name);

/** A name is any text, and a header holds only a part of Latin-1. */
const encode = (name: string): string => encodeURIComponent(name.toWellFormed());

/** @returns The name; `undefined` if it was not encoded correctly. */
function decode(text: string | undefined): string | undefined {
	try {
		return text === undefined ? undefined : decodeURIComponent(text);
	} catch {
		return undefined;
	}
}

/**
 * @param head - What to tell the other box.
 * @returns Alternating names and values.
 */
export const forwardHeaders = ({origin, version, service, software}: ForwardHead): readonly string[] =>
	[header.origin, encode(origin), header.version, String(version), header.service, encode(service), ...softwareHeader(software)];

/**
 * @param software - Software version of a replica; `undefined` if it is not known.
 * @returns Alternating names and values.
 */
export const softwareHeader = (software: string | undefined): readonly string[] => software === undefined ? [] : [header.software, encode(software)];

/**
 * @param message - A request or an answer of another box.
 * @returns The software version that it names; `undefined` if there is none.
 */
export const readSoftware = ({headers}: Pick<IncomingMessage, 'headers'>): string | undefined => decode(textOf(headers, header.software));

/**
 * @param message - A request from another box.
 * @returns What that box tells; `undefined` if it did not forward the request.
 */
export function readForwardHead(message: IncomingMessage): ForwardHead | undefined {
	const {headers} = message;
	const origin = decode(textOf(headers, header.origin));
	const service = decode(textOf(headers, header.service));
	const version = Number(textOf(headers, header.version));
	return origin === undefined || service === undefined || !Number.isFinite(version)
		? undefined
		: {
			origin, version, service, software: readSoftware(message),
		};
}

/**
 * @param refusal - A refusal of a forwarded request.
 * @param arrivals - Attempts of this box that may have reached a replica.
 * @returns Alternating names and values, which distinguish it from an answer of a replica.
 */
export const refusalHeaders = ({reason, verdict}: Refusal, arrivals: number): readonly string[] =>
	[header.reason, reason, header.verdict, verdict, header.arrivals, String(arrivals)];

/**
 * @param answer - A refusal of another box.
 * @returns Whether a replica may have received the request from it; also true if the box does not tell.
 */
export const mayHaveArrived = ({headers}: IncomingMessage): boolean => textOf(headers, header.arrivals) !== '0';

/**
 * @param answer - An answer of another box.
 * @param retryAfter - Its `Retry-After` in seconds; `undefined` if it has none.
 * @returns The refusal that it carries; `undefined` if it is the answer of a replica.
 */
export function readRefusal({headers}: IncomingMessage, retryAfter: number | undefined): Refusal | undefined {
	const reason = textOf(headers, header.reason);
	const verdict = textOf(headers, header.verdict);
	return isReason(reason) && isVerdict(verdict)
		? Refusal.create(reason, `Another box refused the request: ${refusalReasons[reason].title}.`, {verdict, ...(retryAfter === undefined ? {} : {retryAfter})})
		: undefined;
}

const textOf = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
};

const isReason = (text: string | undefined): text is RefusalReason => text !== undefined && Object.hasOwn(refusalReasons, text);
const isVerdict = (text: string | undefined): text is Verdict => text !== undefined && verdicts.has(text);
