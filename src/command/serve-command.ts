/**
 * `waydrift serve`: the daemon of an entry box.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import * as Effect from 'effect/Effect';
import * as Latch from 'effect/Latch';
import * as Result from 'effect/Result';
import {BunyanEventLog} from '../base/event-log.js';
import {describeFault} from '../base/faults.js';
import {HttpClient} from '../base/http-client.js';
import {EntryBox, type EntryBoxPlatform} from '../daemon/entry-box.js';
import {HttpUpstreamConnector} from '../dispatch/upstream-connector.js';
import {HttpBoxList} from '../external/http-box-list.js';
import {HttpObjectStore} from '../external/http-object-store.js';
import {decodeSettings, type Settings} from '../settings/settings.js';
import {exitCode, type ExitCode} from './exit-code.js';
import {onSignal} from './signals.js';

function createPlatform(settings: Settings): EntryBoxPlatform {
	const {host, port} = settings.platform;
	return {
		store: HttpObjectStore.create(HttpClient.create(host, port)),
		list: HttpBoxList.create(HttpClient.create(host, port)),
		connector: HttpUpstreamConnector.create(),
	};
}

/**
 * Runs an entry box until the process gets a signal to stop, or the platform reclaims the box.
 *
 * @param file - Path of the settings file.
 * @returns The exit code.
 */
export async function serve(file: string): Promise<ExitCode> {
	const decoded = decodeSettings(readFileSync(file, 'utf8'));
	if (Result.isFailure(decoded)) {
		process.stderr.write(`${decoded.failure.map(fault => describeFault(file, fault)).join('\n')}\n`);
		return exitCode.invalid;
	}

	const settings = decoded.success;
	const log = BunyanEventLog.create(settings.box);
	const serving = Effect.gen(function * () {
		const stop = Latch.makeUnsafe(false);
		// A second signal must not end the process while requests are in progress.
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			onSignal(signal, () => {
				stop.openUnsafe();
			});
		}

		const box = yield * EntryBox.start(settings, createPlatform(settings), log);
		const stopped = stop.await.pipe(Effect.andThen(Effect.suspend(() => box.stop())));
		yield * Effect.raceFirst(stopped, box.untilReclaimed());
	});
	await Effect.runPromise(Effect.scoped(serving));
	return exitCode.done;
}
