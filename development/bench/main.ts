/**
 * Entry point of the benchmarks: `npm run bench -- NAME`, where `NAME` is one of the keys of `benches`.
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
	process.stderr.write(`Missing or unknown benchmark name; choose one of: ${Object.keys(benches).join(', ')}\n`);
	process.exit(2);
}

await bench();
process.exit();
