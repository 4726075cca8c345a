import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MovedClock} from '../../../development/harness/moved-clock.js';
import {EventLog, type EventFields} from '../../base/event-log.js';
import {ExchangeTraffic} from '../exchange-traffic.js';

class KeepingLog extends EventLog {
	readonly lines: EventFields[] = [];

	override write(_name: string, fields: EventFields = {}): void {
		this.lines.push(fields);
	}
}

test('rates are logged every five seconds, and counting restarts then', () => {
	const clock = new MovedClock(1000);
	const log = new KeepingLog();
	const traffic = ExchangeTraffic.create(clock, log);
	const surroundings = {boxes: 86, heard: 85, isAggregator: true};
	traffic.note('sent', 4000);
	traffic.note('sent', 6000);
	traffic.note('heard', 500);
	clock.now += 4900;
	traffic.tell(surroundings);
	assert.equal(log.lines.length, 0);
	clock.now += 100;
	traffic.tell(surroundings);
	assert.deepEqual(log.lines.at(-1), {
		...surroundings, sentMessages: 0, sentBytes: 2000, heardMessages: 0, heardBytes: 100,
	});
	clock.now += 5000;
	traffic.tell(surroundings);
	assert.equal(log.lines.at(-1)?.sentBytes, 0);
});
