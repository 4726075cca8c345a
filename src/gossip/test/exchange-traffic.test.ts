import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {EventLog, type EventFields} from '../../base/event-log.js';
import {ExchangeTraffic} from '../exchange-traffic.js';

class RecordingLog extends EventLog {
	readonly lines: EventFields[] = [];

	override write(_name: string, fields: EventFields = {}): void {
		this.lines.push(fields);
	}
}

test('rates are logged every five seconds, and counting restarts then', () => {
	const clock = new ManualClock(1000);
	const log = new RecordingLog();
	const traffic = ExchangeTraffic.create(clock, log);
	const context = {boxes: 86, heard: 85, isAggregator: true};
	traffic.count('sent', 4000);
	traffic.count('sent', 6000);
	traffic.count('heard', 500);
	clock.now += 4900;
	traffic.logRates(context);
	assert.equal(log.lines.length, 0);
	clock.now += 100;
	traffic.logRates(context);
	assert.deepEqual(log.lines.at(-1), {
		...context, sentMessages: 0, sentBytes: 2000, heardMessages: 0, heardBytes: 100,
	});
	clock.now += 5000;
	traffic.logRates(context);
	assert.equal(log.lines.at(-1)?.sentBytes, 0);
});
