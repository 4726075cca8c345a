/**
 * Encodes and decodes the datagrams by which boxes tell each other which software version began a stream.
 */
import {Buffer} from 'node:buffer';
import * as Schema from 'effect/Schema';
import {createDecoder} from '../base/faults.js';
import {decodeDatagram} from '../base/json-datagram.js';
import type {OriginAnswer, OriginQuestion, StreamOrigin} from './stream-origins.js';

/** Client account, attempt, service, software. */
const OriginRow = Schema.Tuple([Schema.String, Schema.String, Schema.String, Schema.String]);
const Layout = Schema.Struct({
	origins: Schema.optionalKey(Schema.Array(OriginRow)),
	/** Without a service from boxes of an earlier version; an empty attempt names no stream. */
	find: Schema.optionalKey(Schema.Struct({
		id: Schema.String, clientAccount: Schema.String, attempt: Schema.String, service: Schema.optionalKey(Schema.String),
	})),
	/** Without `isOnly` from boxes of an earlier version. */
	found: Schema.optionalKey(Schema.Struct({id: Schema.String, software: Schema.optionalKey(Schema.String), isOnly: Schema.optionalKey(Schema.Boolean)})),
});
const decodeLayout = createDecoder(Layout, 'ignore');

/** Content of a datagram: one of the three. */
export type OriginDatagram = {
	/** Streams and the versions that began them. */
	readonly origins?: readonly StreamOrigin[];
	/** A question for the version that began a stream. */
	readonly find?: OriginQuestion & {readonly id: string};
	/** The answer; without a version if the box does not know the stream. */
	readonly found?: {readonly id: string} & Partial<OriginAnswer>;
};

/**
 * @param datagram - The content.
 * @returns The payload.
 */
export function encodeOrigins({origins, find, found}: OriginDatagram): Uint8Array {
	const layout: typeof Layout.Type = {
		...(origins ? {origins: origins.map(({clientAccount, attempt, service, software}) => [clientAccount, attempt, service, software] as const)} : {}),
		...(find ? {find: {id: find.id, service: find.service, ...(find.name ?? {clientAccount: '', attempt: ''})}} : {}),
		...(found ? {found} : {}),
	};
	return Buffer.from(JSON.stringify(layout));
}

/**
 * @param data - The payload of a datagram.
 * @returns Its content; `undefined` if it is of another kind or malformed.
 */
export function decodeOrigins(data: Uint8Array): OriginDatagram | undefined {
	const layout = decodeDatagram(data, decodeLayout);
	if (!(layout?.origins ?? layout?.find ?? layout?.found)) {
		return undefined;
	}

	const {origins, find, found} = layout;
	return {
		...(origins
			? {
				origins: origins.map(([clientAccount, attempt, service, software]) => ({
					clientAccount, attempt, service, software,
				})),
			}
			: {}),
		...(find ? {find: {id: find.id, name: find.attempt === '' ? undefined : {clientAccount: find.clientAccount, attempt: find.attempt}, service: find.service ?? ''}} : {}),
		...(found ? {found} : {}),
	};
}
