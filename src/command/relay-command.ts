/**
 * `waydrift relay`: a box between the platform's balancer and its replicas.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import * as Effect from 'effect/Effect';
import * as Result from 'effect/Result';
import * as Schedule from 'effect/Schedule';
import {settingsVariable} from '../../platform/settings.js';
import {BoundedEventLog} from '../base/bounded-event-log.js';
import type {EventLog} from '../base/event-log.js';
import {describeFaults} from '../base/faults.js';
import {RelayNode} from '../node/relay-node.js';
import {RelayMetrics} from '../relay/relay-metrics.js';
import {decodeRelaySettings, type RelaySettings} from '../settings/relay-settings.js';
import {exitCode, type ExitCode} from './exit-code.js';
import {reachPlatform} from './reach-platform.js';
import {onSignal, signalled} from './signals.js';

/** Milliseconds between two looks at the settings file, which may change without a signal. */
const settingsInterval = 1000;

/** Reads the file; one that cannot be used leaves what was in force. */
class SettingsFile {
	current: RelaySettings | undefined;
	private text = '';

	constructor(private readonly file: string, private readonly log: EventLog) {}

	read(): void {
		try {
			const text = readFileSync(this.file, 'utf8');
			if (text === this.text) {
				return;
			}

			this.text = text;
			const decoded = decodeRelaySettings(text);
			if (Result.isFailure(decoded)) {
				this.log.write('settingsInvalid', {file: this.file, detail: describeFaults(this.file, decoded.failure)});
				return;
			}

			this.log.write('settingsApplied', {file: this.file, isReload: this.current !== undefined});
			this.current = decoded.success;
		} catch (error) {
			this.log.write('settingsInvalid', {file: this.file, detail: String(error)});
		}
	}
}

/**
 * Relays until the process is asked to stop.
 *
 * @param file - Settings file; by default the one that the platform names.
 * @returns The exit code.
 */
export async function relay(file: string | undefined): Promise<ExitCode> {
	const metrics = RelayMetrics.create();
	const log = BoundedEventLog.create(process.stdout, () => {
		metrics.linesLeftOut.inc();
	});
	const settings = new SettingsFile(file ?? process.env[settingsVariable] ?? '', log);
	const reading = Effect.sync(() => {
		settings.read();
	});
	const serving = Effect.gen(function * () {
		yield * onSignal('SIGHUP', () => {
			settings.read();
		});
		// A second one must not cut what the first one lets end.
		yield * onSignal('SIGTERM', ignore);
		yield * Effect.forkScoped(Effect.repeat(reading, Schedule.spaced(settingsInterval)));
		settings.read();
		// Bad settings end nothing: they may be mended while the process waits.
		while (!settings.current) {
			yield * Effect.sleep(settingsInterval);
		}

		log.name(settings.current.node);
		const node = yield * RelayNode.start({
			settings: () => settings.current!, link: reachPlatform(settings.current), log, metrics,
		});
		yield * Effect.raceFirst(signalled('SIGTERM'), signalled('SIGINT'));
		yield * node.stop();
	});
	await Effect.runPromise(Effect.scoped(serving));
	return exitCode.done;
}

const ignore = () => undefined;
