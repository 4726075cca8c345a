/** Builds the bundle that runs on the users' platform; the parameter says where it goes. */
import {mkdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {bundle} from './bundle.js';

const outfile = process.argv[2] ?? 'target/waydrift.cjs';
mkdirSync(path.dirname(outfile), {recursive: true});
await bundle(outfile);
