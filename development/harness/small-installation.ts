/**
 * The deployment that most tests use: entry boxes, model engines and plain services spread over data centres.
 */
import type {Table} from '../../src/table/table.js';
import {hashKey} from '../../src/door/authentication.js';
import type {EngineTraits} from '../standins/model-engine.js';
import {Caller} from './caller.js';
import {Installation, type Member} from './installation.js';

/** Number of processes of each type, assigned round-robin to the data centres `dc-1`, `dc-2` and so on. */
export type Shape = {
	readonly entries: number;
	readonly engines: number;
	readonly services: number;
	readonly dataCentres: number;
	readonly traits?: Partial<EngineTraits>;
};

/** API keys of the two client accounts of {@link testTable}. */
export const testKeys = {alpha: 'key-of-alpha', beta: 'key-of-beta'} as const;

const models = {
	service: 'assistant', share: 1, ceiling: 1_000_000, priority: 1,
} as const;
const calls = {
	service: 'orders', share: 1, ceiling: 10_000, priority: 1,
} as const;

/** @returns A table of two client accounts with the same rows: repeatable and non-repeatable kinds of a model and of a plain service. */
export function testTable(): Table {
	const accounts = ['alpha', 'beta'] as const;
	return {
		services: [
			{
				name: 'assistant', type: 'model', pool: 'engines', deadline: 120, latencyWeight: 1,
			},
			{
				name: 'orders', type: 'plain', pool: 'orders', deadline: 30, latencyWeight: 1,
			},
		],
		accounts: accounts.map(name => ({name, keyHashes: [hashKey(testKeys[name])]})),
		rows: accounts.flatMap(account => [
			{
				...models, account, kind: 'chat', repeatable: true,
			},
			{
				...models, account, kind: 'alert-text', repeatable: false,
			},
			{
				...calls, account, kind: 'release', repeatable: false,
			},
			{
				...calls, account, kind: 'look-up', repeatable: true,
			},
		]),
	} as unknown as Table;
}

/**
 * Starts a deployment and waits until it is ready.
 *
 * @param shape - Number of processes of each type.
 * @returns The deployment; the test has to close it.
 */
export async function startInstallation(shape: Shape): Promise<Installation> {
	const installation = await Installation.create();
	const dataCentre = (index: number) => `dc-${(index % shape.dataCentres) + 1}`;
	const each = async (count: number, add: (index: number) => Promise<Member>) => Promise.all(Array.from({length: count}, async (_, index) => add(index)));
	await installation.applyTable(testTable());
	await Promise.all([
		each(shape.engines, async index => installation.addEngine(`engine-${index + 1}`, {
			dataCentre: dataCentre(index), pool: 'engines', traits: shape.traits ?? {},
		})),
		each(shape.services, async index => installation.addService(`service-${index + 1}`, {dataCentre: dataCentre(index), pool: 'orders'})),
		each(shape.entries, async index => installation.addEntry(`entry-${index + 1}`, {dataCentre: dataCentre(index)})),
	]);
	await installation.untilReady();
	return installation;
}

/**
 * @param installation - A running deployment.
 * @param account - Client account that the requests belong to.
 * @returns A client that sends to all running entry boxes in turn.
 */
export function callerOf(installation: Installation, account: keyof typeof testKeys = 'alpha'): Caller {
	return Caller.create(testKeys[account], () => installation.entries.map(({box}) => box.port));
}

/**
 * @param members - Entry boxes.
 * @param account - Client account that the requests belong to.
 * @returns A client that sends to these boxes only, in turn.
 */
export function callerAt(members: readonly Member[], account: keyof typeof testKeys = 'alpha'): Caller {
	return Caller.create(testKeys[account], () => members.map(({box}) => box.port));
}
