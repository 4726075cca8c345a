/**
 * Sample table of the demo: five client accounts of the two organisations that use Waydrift.
 */
import {createHash} from 'node:crypto';
import type {Table} from '../../src/table/table.js';

/** A kind of request that the demo sends. */
export type SampleKind = {
	readonly account: string;
	readonly service: string;
	readonly kind: string;
	readonly type: 'model' | 'plain';
	readonly share: number;
	readonly ceiling: number;
	readonly priority: number;
	readonly repeatable: boolean;
	/** Requests per second, on average. */
	readonly rate: number;
	/** Tokens of a response; zero for a plain service. */
	readonly tokens: number;
	readonly isStreamed: boolean;
};

const chat = (account: string, kind: string, sent: Pick<SampleKind, 'priority' | 'rate' | 'tokens' | 'isStreamed'>): SampleKind => ({
	account, service: 'assistant', kind, type: 'model', share: 1, ceiling: 100_000, repeatable: true, ...sent,
});

const call = (account: string, kind: string, rate: number, repeatable: boolean): SampleKind => ({
	account, service: 'orders', kind, type: 'plain', share: 1, ceiling: 500, priority: 1, repeatable, rate, tokens: 0, isStreamed: false,
});

/** The kinds of request of all client accounts. */
export const sampleKinds: readonly SampleKind[] = [
	chat('control-rooms', 'bulletin', {
		priority: 1, rate: 1, tokens: 600, isStreamed: true,
	}),
	chat('dam-operators', 'question', {
		priority: 2, rate: 3, tokens: 60, isStreamed: true,
	}),
	chat('sarpanches', 'reading-tag', {
		priority: 5, rate: 4, tokens: 12, isStreamed: false,
	}),
	chat('pharmacists', 'interaction-review', {
		priority: 1, rate: 2, tokens: 100, isStreamed: true,
	}),
	chat('pharmacists', 'order-note', {
		priority: 3, rate: 2, tokens: 40, isStreamed: false,
	}),
	chat('customers', 'stock-reply', {
		priority: 4, rate: 4, tokens: 16, isStreamed: true,
	}),
	chat('customers', 'pickup-code', {
		priority: 2, rate: 2, tokens: 8, isStreamed: false,
	}),
	call('customers', 'locker-release', 3, false),
	call('control-rooms', 'alert', 1, false),
	call('pharmacists', 'stock-look-up', 3, true),
];

/**
 * @param account - A client account of the sample table.
 * @returns Its API key. It is not secret, since only the demo accepts it.
 */
export const sampleKey = (account: string): string => `demo-key-of-${account}`;

/** @returns The sample table, with services, client accounts and a row for each kind of request. */
export function sampleTable(): Table {
	const accounts = [...new Set(sampleKinds.map(({account}) => account))];
	return {
		services: [
			{
				name: 'assistant', type: 'model', pool: 'engines', deadline: 60, latencyWeight: 1,
			},
			{
				name: 'orders', type: 'plain', pool: 'orders', deadline: 20, latencyWeight: 1,
			},
		],
		accounts: accounts.map(name => ({
			name, keyHashes: [`sha256:${createHash('sha256').update(sampleKey(name)).digest('hex')}`],
		})),
		rows: sampleKinds.map(({account, kind, service, share, ceiling, priority, repeatable}) => ({
			account, kind, service, share, ceiling, priority, repeatable,
		})),
	} as unknown as Table;
}
