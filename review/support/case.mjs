/**
 * Runs one case: the stand-ins, the relays, the record and the exit code.
 */
import {rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {folder as temporaryFolder, Relay} from './relay.mjs';
import {Store} from './store.mjs';

/** Whether the disruption is wanted. */
export const isTroubled = process.env.TROUBLE !== '0';
export const key = 'i9n73hh2b9wu3fexd9dn';
/** Headers of a request with a key. */
export const keyed = {Authorization: `Bearer ${key}`};
/** The tenant that the key belongs to. */
export const tenant = {name: 'hule930', apiKeys: [key], priority: 1};
const zone = 'ahd-a';

export class Case {
	store = new Store();
	relays = [];
	stops = [];
	lines = [];
	startedAt = performance.now();

	constructor(folder) {
		this.folder = folder;
	}

	record(line) {
		this.lines.push(`${(performance.now() - this.startedAt).toFixed(0).padStart(6)} ms  ${line}`);
	}

	/** Starts relays of a new system. Whether all have become ready. */
	async startRelays(count, {bounds = {}, withDuties = false} = {}) {
		const seeds = [];
		for (let index = 1; index <= count; index++) {
			const relay = new Relay({
				name: `edge-${zone}-${index}`, zone, storePort: this.store.port, dutyPort: withDuties ? this.store.port : undefined, seeds, bounds,
			});
			await relay.choosePorts();
			if (seeds.length < 3) {
				seeds.push(relay.control);
			}

			this.relays.push(relay);
		}

		for (const relay of this.relays) {
			relay.start(true);
		}

		const areReady = await Promise.all(this.relays.map(relay => relay.untilReady()));
		this.record(`${areReady.filter(Boolean).length} of ${count} relays are ready`);
		return !areReady.includes(false);
	}

	/** Plays the case, stops all that it started, writes the record and ends this process: `play` returns the exit code. */
	async run(play) {
		let code = 2;
		try {
			await this.store.start();
			code = await play(this);
		} catch (error) {
			this.record(`the case could not run: ${String(error?.stack ?? error)}`);
		} finally {
			await Promise.all(this.relays.map(relay => relay.stop()));
			for (const stop of this.stops) {
				stop();
			}

			await this.store.stop();
			rmSync(temporaryFolder, {recursive: true, force: true});
			writeFileSync(path.join(this.folder, 'record.txt'), `${this.lines.join('\n')}\nexit ${code}\n`);
		}

		process.exit(code);
	}
}
