/**
 * The settings file of a relay, which may change while the process runs.
 */
import {readFileSync} from 'node:fs';
import * as Result from 'effect/Result';
import type {EventLog} from '../base/event-log.js';
import {describeFaults} from '../base/faults.js';
import {decodeRelaySettings, type RelaySettings} from '../settings/relay-settings.js';

/** Reads the file; one that cannot be used leaves what was in force. */
export class SettingsFile {
	/**
	 * @param file - Path of the file.
	 * @param log - Where changes and faults are told.
	 * @returns The file, not read.
	 */
	static create(file: string, log: EventLog): SettingsFile {
		return new SettingsFile(file, log);
	}

	/** What is in force; `undefined` before the first settings that can be used. */
	current: RelaySettings | undefined;
	/** The text that was last decoded. */
	private text = '';
	/** Another text that the last look found. */
	private seen: string | undefined;

	private constructor(private readonly file: string, private readonly log: EventLog) {}

	/** Reads the file, which somebody said has changed. */
	reload(): void {
		this.take(this.read());
	}

	/**
	 * Looks whether the file has changed without a word; to be called now and then. A part of a file may be settings as well, so
	 * that a change is taken once two looks in a row found the same.
	 */
	look(): void {
		const text = this.read();
		const isSettled = this.current === undefined || text === this.seen;
		this.seen = text;
		if (isSettled) {
			this.take(text);
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

	private take(text: string | undefined): void {
		if (text === undefined || text === this.text) {
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
	}
}
