/**
 * Starts one stand-in as a separate process: `main.js platform|model-engine|plain-service PORT [TRAITS]`.
 * Prints its port as one line of JSON.
 */
import process from 'node:process';
import {ModelEngineStandin, defaultEngineTraits, type EngineTraits} from './model-engine.js';
import {PlainServiceStandin} from './plain-service.js';
import {PlatformStandin} from './platform.js';

const [kind = '', port, traits] = process.argv.slice(2);

const start = async () => {
	switch (kind) {
		case 'platform': {
			return PlatformStandin.create(Number(port));
		}

		case 'model-engine': {
			return ModelEngineStandin.create(Number(port), {...defaultEngineTraits, ...JSON.parse(traits ?? '{}') as Partial<EngineTraits>});
		}

		case 'plain-service': {
			return PlainServiceStandin.create(Number(port));
		}

		default: {
			throw new Error(`unknown stand-in: ${kind}`);
		}
	}
};

const standin = await start();
process.stdout.write(`${JSON.stringify({port: standin.port})}\n`);
// Standard input ends when the parent process exits; the stand-in must not outlive it.
process.stdin.once('end', () => {
	process.exit(0);
}).resume();
