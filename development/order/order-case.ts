/**
 * Disturbances of a fleet while its clients read streams. Development only.
 */
import {setTimeout as pause} from 'node:timers/promises';
import type {OrderFleet} from './order-fleet.js';
import type {Isolation} from './order-relay.js';

const oldIds = ['i-1', 'i-2'];
const newIds = ['i-3', 'i-4'];
const oldVersion: Readonly<Record<string, string>> = {'i-1': 'v1', 'i-2': 'v1'};
const bothVersions: Readonly<Record<string, string>> = {...oldVersion, 'i-3': 'v2', 'i-4': 'v2'};
/** Milliseconds of undisturbed reading before the first disturbance. */
const leadTime = 2000;
/** Milliseconds for which streams begin, by default and in the classes that last longer. */
const arrivalTime = 6000;
const longArrivalTime = 9000;
const longestArrivalTime = 10_500;

/** A class of disturbances; the variant is drawn by the seed. */
export abstract class OrderCase {
	/** Software version of each replica at the start, by id. */
	readonly versions: Readonly<Record<string, string>> = bothVersions;
	/** Whether replicas damage the heads of their answers. */
	get cutsHeads(): boolean {
		return false;
	}

	/** Milliseconds for which streams begin. */
	get duration(): number {
		return arrivalTime;
	}

	/**
	 * @param fleet - The fleet to disturb.
	 * @param variant - Number of the variant.
	 */
	abstract disturb(fleet: OrderFleet, variant: number): Promise<void>;
}

async function addNewVersion(fleet: OrderFleet): Promise<void> {
	await Promise.all(newIds.map(async id => fleet.add(id, 'v2')));
}

/** Replicas cut streams; no relay is disturbed. */
class Cuts extends OrderCase {
	override async disturb(): Promise<void> {
		// The replicas cut streams from the start.
	}
}

/** Replicas damage the heads of answers; no relay is disturbed. */
class DamagedHeads extends Cuts {
	override get cutsHeads(): boolean {
		return true;
	}
}

/** All relays are killed at once while versions change. */
class Loss extends OrderCase {
	override async disturb(fleet: OrderFleet, variant: number): Promise<void> {
		await pause(leadTime);
		await Promise.all(fleet.relays.map(async relay => relay.kill()));
		if (variant % 2 === 0) {
			await fleet.remove(oldIds);
		} else {
			fleet.replace(oldIds, 'v2');
		}

		for (const relay of fleet.relays) {
			relay.start();
		}
	}
}

/** All relays are killed at once, and the only version is replaced by another one. */
class Replacement extends Loss {
	override readonly versions = oldVersion;

	override async disturb(fleet: OrderFleet): Promise<void> {
		await super.disturb(fleet, 1);
	}
}

/** A relay is cut off while a version joins and the other one leaves. */
class CutOff extends OrderCase {
	override readonly versions = oldVersion;

	override async disturb(fleet: OrderFleet, variant: number): Promise<void> {
		const relay = fleet.relays.at(-1)!;
		const isolations: readonly Isolation[] = [{store: true, boxes: false}, {store: false, boxes: true}, {store: true, boxes: true}];
		const isolate = (isolation: Isolation) => {
			relay.isolate(isolation);
			fleet.updateBoxNetwork();
		};

		await pause(leadTime);
		isolate(isolations[variant % isolations.length]!);
		fleet.preferred = relay;
		await addNewVersion(fleet);
		await pause(1000);
		await fleet.remove(oldIds);
		await pause(2000);
		isolate({store: false, boxes: false});
	}
}

/** A relay starts late after the loss of all, and is cut off while a version joins. */
class LateStart extends OrderCase {
	override readonly versions = oldVersion;
	override get duration(): number {
		return longestArrivalTime;
	}

	override async disturb(fleet: OrderFleet): Promise<void> {
		const [late, ...others] = fleet.relays.toReversed();
		await pause(leadTime);
		await Promise.all(fleet.relays.map(async relay => relay.kill()));
		await addNewVersion(fleet);
		for (const relay of others) {
			relay.start();
		}

		await pause(2300);
		late!.start();
		await pause(1000);
		late!.isolate({store: false, boxes: true});
		fleet.updateBoxNetwork();
		await pause(3000);
		fleet.preferred = late;
		await Promise.all(others.map(async relay => relay.kill()));
		await pause(1500);
		late!.isolate({store: false, boxes: false});
		fleet.updateBoxNetwork();
		for (const relay of others) {
			relay.start();
		}
	}
}

/** A relay is cut off from the others and restarts, so that it finds only the newer version listed. */
class RestartCutOff extends OrderCase {
	override readonly versions = oldVersion;

	override async disturb(fleet: OrderFleet): Promise<void> {
		const relay = fleet.relays.at(-1)!;
		await pause(leadTime);
		await relay.kill();
		relay.isolate({store: false, boxes: true});
		fleet.updateBoxNetwork();
		await addNewVersion(fleet);
		await pause(400);
		await fleet.remove(oldIds);
		relay.start();
		fleet.preferred = relay;
		await pause(3500);
		relay.isolate({store: false, boxes: false});
		fleet.updateBoxNetwork();
	}
}

/** A relay is suspended while a version joins and the other one may leave. */
class Suspension extends OrderCase {
	override readonly versions = oldVersion;

	override async disturb(fleet: OrderFleet, variant: number): Promise<void> {
		const durations = [500, 1500, 3000, 4500];
		const relay = fleet.relays.at(-1)!;
		await pause(leadTime);
		relay.signal('SIGSTOP');
		fleet.preferred = relay;
		await addNewVersion(fleet);
		await pause(200);
		if (variant % 2 === 0) {
			await fleet.remove(oldIds);
		}

		await pause(durations[variant % durations.length]);
		relay.signal('SIGCONT');
	}
}

/** Relays are stopped and killed in series while a version joins and another one leaves. */
class Series extends OrderCase {
	override get duration(): number {
		return longArrivalTime;
	}

	override async disturb(fleet: OrderFleet, variant: number): Promise<void> {
		await pause(leadTime);
		for (const [index, relay] of fleet.relays.entries()) {
			await ((index + variant) % 2 === 0 ? relay.stop() : relay.kill());
			relay.start();
			if (index === 1) {
				await Promise.all(['i-5', 'i-6'].map(async id => fleet.add(id, 'v3')));
			}

			if (index === 2) {
				await fleet.remove(oldIds);
			}

			await pause(600);
		}
	}
}

/** All classes by name. */
export const orderCases: Readonly<Record<string, OrderCase>> = {
	cuts: new Cuts(),
	loss: new Loss(),
	replacement: new Replacement(),
	'cut-off': new CutOff(),
	'late-start': new LateStart(),
	'restart-cut-off': new RestartCutOff(),
	suspension: new Suspension(),
	series: new Series(),
	heads: new DamagedHeads(),
};
