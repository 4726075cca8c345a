/**
 * The settings file of a relay, which may change while the process runs.
 */
import {readFileSync} from 'node:fs';
import * as Result from 'effect/Result';
import type {EventLog} from '../base/event-log.js';
import {describeFaults} from '../base/faults.js';
import {decodeRelaySettings, type RelaySettings} from '../settings/relay-settings.js';

/** Reads the file. A file that is missing or invalid leaves the settings in force unchanged. */
export class SettingsFile {
	/**
	 * @param file - Path of the file.
	 * @param log - Receives an event for each change and each fault.
	 * @returns The settings file, not yet read.
	 */
	static create(file: string, log: EventLog): SettingsFile {
		return new SettingsFile(file, log);
	}

	/** The settings in force; `undefined` until valid settings have been read. */
	current: RelaySettings | undefined;
	/** The text that was last decoded, valid or not. */
	private decodedText = '';
	/** The text that the last poll read. */
	private polledText: string | undefined;

	private constructor(private readonly file: string, private readonly log: EventLog) {}

	/** Reads the file and applies it at once; called after a signal that it has changed. */
	reload(): void {
		this.apply(this.read());
	}

	/**
	 * Checks whether the file has changed; to be called at intervals. A partly written file may be valid settings too, so a change is
	 * applied only after two consecutive polls have read the same text. The first settings are applied at once.
	 */
	poll(): void {
		const text = this.read();
		const isSettled = this.current === undefined || text === this.polledText;
		this.polledText = text;
		if (isSettled) {
			this.apply(text);
		}
	}

	private read(): string | undefined {
		try {
			return readFileSync(this.file, 'utf8');
		} catch (error) {
			this.log.write('settingsInvalid', {file: this.file, detail: String(error)});
			return undefined;
		}
	}

	private apply(newText: string | undefined): void {
		if (newText === undefined || newText === this.decodedText) {
			return;
		}

		this.decodedText = newText;
		const decoded = decodeRelaySettings(newText);
		if (Result.isFailure(decoded)) {
			this.log.write('settingsInvalid', {file: this.file, detail: describeFaults(this.file, decoded.failure)});
			return;
		}

		this.log.write('settingsApplied', {file: this.file, isReload: this.current !== undefined});
		this.current = decoded.success;
	}
}
