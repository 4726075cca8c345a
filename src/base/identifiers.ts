/**
 * Names of things, each of a type of its own so that one cannot stand in for another.
 */
import * as Brand from 'effect/Brand';
import * as Schema from 'effect/Schema';

const namePattern = /^[a-z\d][a-z\d._\-]{0,62}$/v;
const namePatternText = 'a lower-case name of letters, digits, ".", "_" and "-", 63 characters at most';

const Name = Schema.String.check(Schema.isPattern(namePattern, {expected: namePatternText}));

/** A virtual machine, as the platform names it; a new incarnation has a new name. */
export type BoxId = string & Brand.Brand<'BoxId'>;
export const BoxId = Name.pipe(Schema.brand('BoxId'));

/** A data centre, as the platform names it. */
export type DataCentre = string & Brand.Brand<'DataCentre'>;
export const DataCentre = Name.pipe(Schema.brand('DataCentre'));

/** An account that calls the system. */
export type ClientAccountName = string & Brand.Brand<'ClientAccountName'>;
export const ClientAccountName = Name.pipe(Schema.brand('ClientAccountName'));

/** A service that operators created: a model or a plain service. */
export type ServiceName = string & Brand.Brand<'ServiceName'>;
export const ServiceName = Name.pipe(Schema.brand('ServiceName'));

/** A kind of request: what a row of the table is about, besides the client account. */
export type RequestKind = string & Brand.Brand<'RequestKind'>;
export const RequestKind = Name.pipe(Schema.brand('RequestKind'));

/** A set of upstreams that serve the same service. */
export type PoolName = string & Brand.Brand<'PoolName'>;
export const PoolName = Name.pipe(Schema.brand('PoolName'));

/** The name a caller gave its request (`Idempotency-Key`), unique within a client account. */
export type RequestKey = string & Brand.Brand<'RequestKey'>;
export const RequestKey = Schema.String
	.check(Schema.isPattern(/^[\u0021-\u007E]{1,128}$/v, {expected: '1 to 128 printable ASCII characters without spaces'}))
	.pipe(Schema.brand('RequestKey'));

/** One try at running a request, unique over all boxes and time. */
export type AttemptId = string & Brand.Brand<'AttemptId'>;
export const AttemptId = Brand.nominal<AttemptId>();
