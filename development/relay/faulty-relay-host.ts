/**
 * Runs relays as processes whose network and clock can be disturbed. Development only.
 */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {boxHookOptions, soundCondition, type BoxCondition} from './box-hooks.js';
import {createPlaces, ProcessRelayHost} from './relay-host.js';
import type {RelayInstallation} from './relay-installation.js';

/** Runs each relay as a process with hooks. */
export class FaultyRelayHost extends ProcessRelayHost {
	/**
	 * @param installation - The deployment.
	 * @param names - Names of its relays.
	 * @returns The host.
	 */
	static override async create(installation: RelayInstallation, names: readonly string[]): Promise<FaultyRelayHost> {
		return new FaultyRelayHost(installation, await createPlaces(installation, names));
	}

	/**
	 * @param name - Name of a relay.
	 * @param changes - How its condition differs from a sound one, from now on.
	 */
	setCondition(name: string, changes: Partial<BoxCondition> = {}): void {
		writeFileSync(this.fileOf(name), JSON.stringify({...soundCondition, ...changes}));
	}

	protected override nodeOptionsOf(name: string): readonly string[] {
		this.setCondition(name);
		return boxHookOptions(this.fileOf(name));
	}

	private fileOf(name: string): string {
		return path.join(this.folder, `${name}.condition`);
	}
}
