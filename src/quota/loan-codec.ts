/**
 * Encodes and decodes the datagrams by which boxes lend each other parts of their retry budgets.
 */
import {Buffer} from 'node:buffer';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import {decodeDatagram} from '../base/json-datagram.js';
import type {LoanGrant, LoanRequest} from './retry-loans.js';

const Layout = Schema.Struct({
	ask: Schema.optionalKey(Schema.Struct({id: Schema.String, service: Schema.String, amount: Schema.Finite})),
	grant: Schema.optionalKey(Schema.Struct({id: Schema.String, amount: Schema.Finite})),
});
const decodeLayout = createDecoder(Layout, 'ignore');

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
	const datagram = decodeDatagram(data, decodeLayout);
	return datagram?.ask ?? datagram?.grant ? datagram : undefined;
}
