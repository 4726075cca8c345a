import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RelayInstallation, until} from '../../../development/relay/relay-installation.js';

test('a relay that joins a fleet does not charge a client account for requests that were admitted long before', async () => {
	const installation = await RelayInstallation.start({relays: 2, replicas: ['i-1'], tenant: {rate_per_s: 100, burst: 60}});
	const [first, second] = installation.relays;
	try {
		for (const relay of [first!, second!]) {
			for (let batch = 0; batch < 8; batch++) {
				const views = await Promise.all(Array.from({length: 30}, async () => installation.call({path: '/calls/x'}, relay)));
				assert.ok(views.every(({status}) => status === 200));
				await new Promise(resolve => {
					setTimeout(resolve, 400);
				});
			}
		}

		const late = await installation.addRelay('relay-3');
		await until(() => late.log.lines.filter(({eventName}) => eventName === 'memberHeard').length >= 2);
		for (let batch = 0; batch < 20; batch++) {
			const view = await installation.call({path: '/calls/x'}, late);
			assert.equal(view.status, 200, `request ${batch}`);
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}
	} finally {
		await installation.close();
	}
});

test('a request with a negative token count gives its client account no quota back', async () => {
	const installation = await RelayInstallation.start({
		relays: 1, replicas: ['i-1'], tenant: {
			rate_per_s: 1, burst: 1000, unit: 'token_count', plain_tokens: 100,
		},
	});
	try {
		const ask = async (tokens: string) => installation.call({path: '/calls/x', headers: {'Token-Count': tokens}});
		const statuses: number[] = [];
		for (let turn = 0; turn < 10; turn++) {
			await ask('-1000000,0');
			const {status} = await ask('500,0');
			statuses.push(status);
		}

		assert.equal(statuses[0], 200);
		assert.ok(statuses.filter(status => status === 429).length >= 6, statuses.join(' '));
	} finally {
		await installation.close();
	}
});
