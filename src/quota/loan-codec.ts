/**
 * Encodes and decodes the datagrams by which boxes lend each other parts of their retry budgets.
 */
import {Buffer} from 'node:buffer';
import * as Result from 'effect/Result';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import type {LoanGrant, LoanRequest} from './retry-loans.js';

const Amount = Schema.Finite;
const Datagram = Schema.Struct({
	ask: Schema.optionalKey(Schema.Struct({id: Schema.String, service: Schema.String, amount: Amount})),
	grant: Schema.optionalKey(Schema.Struct({id: Schema.String, amount: Amount})),
});
const decodeDatagram = createDecoder(Datagram, 'ignore');

/** Content of a datagram: one of the two. */
export type LoanDatagram = {readonly ask?: LoanRequest; readonly grant?: LoanGrant};

/**
 * @param datagram - The content.
 * @returns The payload.
 */
export const encodeLoan = (datagram: LoanDatagram): Uint8Array => Buffer.from(JSON.stringify(datagram));

/**
 * @param data - The payload of a datagram.
 * @returns Its content; `undefined` if it is of another kind or malformed.
 */
export function decodeLoan(data: Uint8Array): LoanDatagram | undefined {
	try {
		const decoded = decodeDatagram(JSON.parse(Buffer.from(data).toString()));
		return Result.isSuccess(decoded) && (decoded.success.ask ?? decoded.success.grant) ? decoded.success : undefined;
	} catch {
		return undefined;
	}
}
