/**
 * `waydrift relay`: a proxy between the platform's balancer and its replicas.
 */
import process from 'node:process';
import * as Effect from 'effect/Effect';
import * as Latch from 'effect/Latch';
import * as Schedule from 'effect/Schedule';
import {settingsVariable} from '../../platform/settings.js';
import {BoundedEventLog} from '../base/bounded-event-log.js';
import {RelayNode} from '../node/relay-node.js';
import {RelayMetrics} from '../relay/relay-metrics.js';
import {exitCode, type ExitCode} from './exit-code.js';
import {createPlatformLink} from './create-platform-link.js';
import {SettingsFile} from './settings-file.js';
import {onSignal} from './signals.js';

/** Interval between two reads of the settings file, in milliseconds. The file may change without a signal. */
const settingsPollInterval = 1000;

/**
 * Runs a relay until the process gets a signal to stop.
 *
 * @param file - Path of the settings file; by default the path in the platform's environment variable.
 * @returns The exit code.
 */
export async function relay(file: string | undefined): Promise<ExitCode> {
	const metrics = RelayMetrics.create();
	const log = BoundedEventLog.create(process.stdout, () => {
		metrics.droppedLogLines.inc();
	});
	const settings = SettingsFile.create(file ?? process.env[settingsVariable] ?? '', log);
	const polling = Effect.sync(() => {
		settings.poll();
	});
	const serving = Effect.gen(function * () {
		onSignal('SIGHUP', () => {
			settings.reload();
		});
		const stop = Latch.makeUnsafe(false);
		let signalledAt: number | undefined;
		const requestStop = () => {
			signalledAt ??= performance.now();
			stop.openUnsafe();
		};

		// A signal during the start counts, and a second one must not end the process while requests are in progress.
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			onSignal(signal, requestStop);
		}

		yield * Effect.forkScoped(Effect.repeat(polling, Schedule.spaced(settingsPollInterval)));
		settings.reload();
		yield * Effect.raceFirst(untilSettings(settings), stop.await);
		const {current} = settings;
		if (!current) {
			return;
		}

		log.setBoxName(current.node);
		const node = yield * RelayNode.start({
			settings: () => settings.current!, link: createPlatformLink(current), log, metrics,
		});
		process.once('exit', () => {
			node.abort();
		});
		yield * stop.await;
		yield * node.stop(performance.now() - (signalledAt ?? performance.now()));
	});
	await Effect.runPromise(Effect.scoped(serving));
	return exitCode.done;
}

/** Invalid settings do not end the process: it waits until they are corrected. */
const untilSettings = (settings: SettingsFile): Effect.Effect<void> => Effect.suspend(() => settings.current
	? Effect.void
	: Effect.sleep(settingsPollInterval).pipe(Effect.andThen(untilSettings(settings))));
