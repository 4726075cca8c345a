/**
 * Types of names. Each is a separate branded type, so that one cannot be used in place of another.
 */
import * as Brand from 'effect/Brand';
import * as Schema from 'effect/Schema';

const namePattern = /^[a-z\d][a-z\d._\-]{0,62}$/v;
const namePatternText = 'a lower-case name of letters, digits, ".", "_" and "-", 63 characters at most';

const Name = Schema.String.check(Schema.isPattern(namePattern, {expected: namePatternText}));

/** The platform's name of a virtual machine; a new incarnation gets a new name. */
export type BoxId = string & Brand.Brand<'BoxId'>;
export const BoxId = Name.pipe(Schema.brand('BoxId'));

/** The platform's name of a data centre. */
export type DataCentre = string & Brand.Brand<'DataCentre'>;
export const DataCentre = Name.pipe(Schema.brand('DataCentre'));

/** Name of an account whose clients call the system. */
export type ClientAccountName = string & Brand.Brand<'ClientAccountName'>;
export const ClientAccountName = Name.pipe(Schema.brand('ClientAccountName'));

/** Name of a service that operators created: a model or a plain service. */
export type ServiceName = string & Brand.Brand<'ServiceName'>;
export const ServiceName = Name.pipe(Schema.brand('ServiceName'));

/** Name of a kind of request. A row of the table applies to one kind of request of one client account and service. */
export type RequestKind = string & Brand.Brand<'RequestKind'>;
export const RequestKind = Name.pipe(Schema.brand('RequestKind'));

/** Name of a set of upstreams that serve the same service. */
export type PoolName = string & Brand.Brand<'PoolName'>;
export const PoolName = Name.pipe(Schema.brand('PoolName'));

/** The key that a client gave its request (`Idempotency-Key`), unique within a client account. */
export type RequestKey = string & Brand.Brand<'RequestKey'>;
export const RequestKey = Schema.String
	.check(Schema.isPattern(/^[\u0021-\u007E]{1,128}$/v, {expected: '1 to 128 printable ASCII characters without spaces'}))
	.pipe(Schema.brand('RequestKey'));

/** Identifier of one attempt to run a request, unique across all boxes and all time. */
export type AttemptId = string & Brand.Brand<'AttemptId'>;
export const AttemptId = Brand.nominal<AttemptId>();
