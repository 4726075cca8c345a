/**
 * Every reason for which a client's request can be refused, with its HTTP status, verdict
 * and retry delay. The reasons are the labels of
 * `waydrift_refusals_total`; docs/CALLERS.md lists them.
 */
import type {Verdict} from './verdict.js';

type RefusalTraits = {
	readonly status: number;
	readonly title: string;
	readonly verdict: Verdict;
	/** Whole seconds before a retry; `undefined` if retrying the same request never helps. */
	readonly retryAfter: number | undefined;
};

const refusal = (status: number, title: string, verdict: Verdict, retryAfter?: number): RefusalTraits => ({
	status, title, verdict, retryAfter,
});

/** The catalogue of reasons. */
export const refusalReasons = {
	'key-missing': refusal(401, 'No API key', 'not-run'),
	'key-unknown': refusal(401, 'Unknown API key', 'not-run'),
	'no-such-path': refusal(404, 'No such path', 'not-run'),
	'no-such-service': refusal(404, 'No such service', 'not-run'),
	'no-such-request': refusal(404, 'No such request', 'not-run'),
	'not-allowed': refusal(403, 'No row of the table allows this', 'not-run'),
	'method-not-allowed': refusal(405, 'Method not allowed', 'not-run'),
	malformed: refusal(400, 'Malformed request', 'not-run'),
	'request-key-missing': refusal(400, 'Not repeatable, and without an Idempotency-Key', 'not-run'),
	'request-key-reused': refusal(422, 'Idempotency-Key already names another request', 'not-run'),
	'body-too-large': refusal(413, 'Body too large', 'not-run'),
	'headers-too-large': refusal(431, 'Headers too large', 'not-run'),
	'sender-too-slow': refusal(408, 'Request not received in time', 'not-run', 1),
	'too-many-connections': refusal(429, 'Too many open requests for this client account', 'not-run', 1),
	'ceiling-reached': refusal(429, 'Ceiling reached', 'not-run', 1),
	'box-full': refusal(503, 'This box has no memory for the request now', 'not-run', 1),
	'capacity-short': refusal(503, 'Capacity is short', 'not-run', 2),
	'replica-limit': refusal(503, 'The replicas take no more requests now', 'not-run', 1),
	'no-upstream': refusal(503, 'No upstream can take the request', 'not-run', 2),
	'upstream-refused': refusal(503, 'The upstream refused', 'not-run', 1),
	'stream-origin-unknown': refusal(503, 'The stream cannot go on, since the version that began it is not known', 'not-run'),
	'stream-version-gone': refusal(503, 'The stream cannot go on, since no replica of its version is left', 'not-run', 1),
	quarantined: refusal(503, 'The request, or a part of its prompt that the detail names by its position, crashes the replicas that run it', 'not-run', 60),
	'upstream-unreachable': refusal(502, 'The upstream could not be reached', 'not-run', 1),
	'upstream-cut': refusal(502, 'The upstream connection was cut', 'may-have-run'),
	'deadline-passed': refusal(504, 'Deadline passed', 'may-have-run'),
	'claim-unavailable': refusal(503, 'The claim could not be recorded', 'not-run', 2),
	'claim-held': refusal(409, 'The request was already sent', 'may-have-run', 1),
	'record-lost': refusal(410, 'The stream cannot be resumed', 'may-have-run'),
	'moved-to-peer': refusal(503, 'This box is going; the request goes on at another', 'may-have-run', 1),
	'not-ready': refusal(503, 'No configuration yet', 'not-run', 2),
	'configuration-stale': refusal(503, 'The configuration may be out of date', 'not-run', 1),
	'box-stopping': refusal(503, 'This box is stopping', 'not-run', 1),
	internal: refusal(500, 'Internal fault', 'may-have-run'),
} as const satisfies Record<string, RefusalTraits>;

/** A reason of the catalogue. */
export type RefusalReason = keyof typeof refusalReasons;
