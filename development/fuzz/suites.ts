/**
 * The list of all fuzz suites.
 */
import {bodySuite} from './body-suite.js';
import {ceilingSuite} from './ceiling-suite.js';
import {claimSuite} from './claim-suite.js';
import {decoderSuite} from './decoder-suite.js';
import {eventSuite} from './event-suite.js';
import {leaseSuite} from './lease-suite.js';
import {streamSuite} from './stream-suite.js';
import type {Suite} from './suite.js';
import {tableSuite} from './table-suite.js';

/** A suite of any world type. */
export type AnySuite = Suite<never>;

/** All suites, in the order in which they run. */
export const suites: readonly AnySuite[] = [claimSuite, ceilingSuite, leaseSuite, tableSuite, streamSuite, eventSuite, decoderSuite, bodySuite] as unknown as readonly AnySuite[];
