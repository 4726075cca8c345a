/**
 * Responses for refused requests: problem documents.
 *
 * @remarks Source: RFC 9457.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {refusalReasons} from '../base/refusal-reason.js';
import type {Refusal} from '../base/verdict.js';

/** A problem document. Client libraries for chat completions read the member `error`. */
export type Problem = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly verdict: Refusal['verdict'];
	readonly reason: Refusal['reason'];
	readonly error: {readonly message: string; readonly type: string; readonly code: string};
};

/**
 * @param refusal - Why the request was refused.
 * @returns Its problem document.
 */
export function problemOf(refusal: Refusal): Problem {
	const {status, title} = refusalReasons[refusal.reason];
	return {
		type: `urn:waydrift:refusal:${refusal.reason}`,
		title,
		status,
		detail: refusal.detail,
		verdict: refusal.verdict,
		reason: refusal.reason,
		error: {message: refusal.detail, type: refusal.verdict, code: refusal.reason},
	};
}

/**
 * Writes a refusal as a whole response without ending it.
 *
 * @param response - The response; its head must not have been sent.
 * @param refusal - Why the request was refused.
 */
export function writeProblem(response: ServerResponse, refusal: Refusal): void {
	const problem = problemOf(refusal);
	const body = JSON.stringify(problem);
	response.writeHead(problem.status, {
		'Content-Type': 'application/problem+json',
		'Content-Length': Buffer.byteLength(body),
		...(refusal.retryAfter === undefined ? {} : {'Retry-After': String(refusal.retryAfter)}),
		...(refusal.location === undefined ? {} : {Location: refusal.location}),
		...(problem.status === 401 ? {'WWW-Authenticate': 'Bearer'} : {}),
	});
	response.write(body);
}

/**
 * Sends a refusal as a whole response and ends it.
 *
 * @param response - The response; its head must not have been sent.
 * @param refusal - Why the request was refused.
 */
export function sendProblem(response: ServerResponse, refusal: Refusal): void {
	writeProblem(response, refusal);
	response.end();
}
