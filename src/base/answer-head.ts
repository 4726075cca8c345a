/**
 * Validates the head of a received HTTP answer. Node's parser accepts any three digits as a status, but its server throws on one below 100.
 *
 * @remarks Source: RFC 9110, section 15, "Status Codes".
 */
import type {IncomingMessage} from 'node:http';
import {headerFaultOf} from './header-fault.js';

/** A status line within a line: the head broke off in this line, and another head follows, so that the fields are of two answers. */
const embeddedStatusLine = /HTTP\/\d\.\d \d{3}/v;
const chunked = /^chunked$/iv;
/** Transfer codings that Node decodes; it would pass on the body of any other as received. */
const supportedCoding = /^(?:chunked|identity)$/iv;
const lowestFinalStatus = 200;
const highestFinalStatus = 599;
const noContent = 204;

/**
 * @param answer - The head of an answer.
 * @returns Whether a length or chunks tell where its body ends; otherwise only the end of its connection does.
 */
export const isDelimited = ({headers}: Pick<IncomingMessage, 'headers'>): boolean =>
	headers['content-length'] !== undefined || chunked.test(headers['transfer-encoding'] ?? '');

/**
 * @param answer - The head of an answer.
 * @returns Why it is no valid final answer; `undefined` if it is one.
 */
export function answerFaultOf({statusCode: status = 0, statusMessage = '', headers, rawHeaders}: Pick<IncomingMessage, 'statusCode' | 'statusMessage' | 'headers' | 'rawHeaders'>): string | undefined {
	if (status < lowestFinalStatus || status > highestFinalStatus) {
		return `the status ${status} is not that of a final answer`;
	}

	if ([statusMessage, ...rawHeaders].some(text => embeddedStatusLine.test(text))) {
		return 'the head broke off and is followed by another one';
	}

	const coding = headers['transfer-encoding'];
	if (coding !== undefined && !supportedCoding.test(coding)) {
		return `the transfer coding ${coding} is not supported`;
	}

	const hasBody = coding !== undefined || Number(headers['content-length'] ?? 0) > 0;
	return status === noContent && hasBody ? 'an answer with status 204 announces a body' : headerFaultOf(rawHeaders);
}
