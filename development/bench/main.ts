/**
 * Measurements: `npm run bench -- relay`, `capacity`, `leaving`, `exchange`, `streams`, `limits`.
 */
import process from 'node:process';
import {benchCapacity} from './capacity.js';
import {benchExchange} from './exchange.js';
import {benchLeaving} from './leaving.js';
import {benchLimits} from './limits.js';
import {benchRelay} from './relay.js';
import {benchStreams} from './streams.js';

const benches: Readonly<Record<string, () => Promise<void>>> = {
	relay: benchRelay, capacity: benchCapacity, leaving: benchLeaving, exchange: benchExchange, streams: benchStreams, limits: benchLimits,
};
const name = process.argv[2] ?? '';
const bench = benches[name];
if (!bench) {
	process.stderr.write(`Name a bench: ${Object.keys(benches).join(', ')}\n`);
	process.exit(2);
}

await bench();
process.exit();
