/**
 * A client's request that may be served.
 */
import type {IncomingMessage} from 'node:http';
import type {Route, ClientAccount} from '../routes/route-table.js';
import type {RequestHead} from './relay-format.js';

/** A request, whole, with what governs it. */
export type AdmittedRequest = {
	readonly incoming: IncomingMessage;
	readonly head: RequestHead;
	readonly body: Uint8Array;
	readonly route: Route;
	readonly service: string;
	readonly clientAccount: ClientAccount | undefined;
	/** Version of the configuration that governs it. */
	readonly version: number;
	/** Units it counts against the client account's quota. */
	readonly units: number;
	/** Zero is the most urgent. */
	readonly urgency: number;
	/** Monotonic milliseconds at which it came. */
	readonly receivedAt: number;
	/** Monotonic milliseconds. */
	readonly deadlineAt: number;
};
