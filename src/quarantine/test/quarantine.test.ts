import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {SilentEventLog} from '../../base/event-log.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import type {Replica, ReplicaEntry} from '../../replicas/replica.js';
import {Fingerprint} from '../fingerprint.js';
import {Quarantine} from '../quarantine.js';

const [x, a] = ['x', 'a'].map(letter => Fingerprint(letter.repeat(12))) as [Fingerprint, Fingerprint];

/** Milliseconds after a crash within which all boxes report it. */
const reportTime = 7000;

class Fixture {
	readonly clock = new ManualClock(10_000);
	readonly released: string[] = [];
	isOwner = true;
	readonly replicas = ReplicaDirectory.create(this.clock, SilentEventLog.create());
	readonly quarantine = Quarantine.create({
		clock: this.clock, log: SilentEventLog.create(), replicas: this.replicas, isOwner: () => this.isOwner, released: () => this.released,
	});

	private starts = 0;

	list(changes: Partial<ReplicaEntry> = {}): Replica {
		this.starts++;
		const entry: ReplicaEntry = {
			id: `i-${this.starts}`, bornAt: this.starts, software: '1', revision: this.starts, service: 's', host: '127.0.0.1', port: 1,
			dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined, ...changes,
		};
		this.replicas.put(entry);
		return this.replicas.byId(entry.id)!;
	}

	bounded(fingerprint: Fingerprint, candidates: readonly Replica[]): readonly Replica[] {
		return this.quarantine.eligibleReplicas(fingerprint, this.quarantine.statusOf(fingerprint), candidates);
	}

	/** Crashes a new replica, which stays listed. */
	crash(...suspects: readonly Fingerprint[]): Replica {
		const replica = this.list();
		this.clock.now += 1000;
		this.quarantine.recordCrash(replica, suspects.map(fingerprint => ({fingerprint, ranFor: 60})), this.clock.now);
		return replica;
	}
}

test('the status of a request gets worse with each replica that it crashes, and that of bystanders does not', () => {
	const fixture = new Fixture();
	const statuses = [1, 2, 3, 4].map(count => {
		fixture.crash(x, Fingerprint(`bystander-${count}`.padEnd(12, '-')));
		return fixture.quarantine.statusOf(x);
	});
	assert.deepEqual(statuses, ['suspect', 'trial', 'quarantined', 'quarantined']);
	assert.equal(fixture.quarantine.statusOf(Fingerprint('bystander-3-')), 'sound');
	assert.deepEqual(fixture.quarantine.quarantined, [x]);
});

test('of two requests that cannot be distinguished neither is quarantined before both had a trial', () => {
	const fixture = new Fixture();
	const statuses = [1, 2, 3, 4, 5].map(() => {
		fixture.crash(x, a);
		return [fixture.quarantine.statusOf(x), fixture.quarantine.statusOf(a)];
	});
	assert.deepEqual(statuses.slice(2), [['trial', 'trial'], ['trial', 'trial'], ['quarantined', 'quarantined']]);
	const other = new Fixture();
	other.crash(x, a);
	other.crash(x, a);
	other.crash(x);
	assert.deepEqual([other.quarantine.statusOf(x), other.quarantine.statusOf(a)], ['trial', 'sound'], 'another box may still report that `a` was at the third crash');
	const decided = other.clock.now + reportTime;
	other.clock.now = decided - 100;
	assert.equal(other.quarantine.statusOf(x), 'trial');
	other.clock.now = decided + 100;
	assert.deepEqual([other.quarantine.statusOf(x), other.quarantine.statusOf(a)], ['quarantined', 'sound']);
});

test('a fourth crash quarantines a request whose bystander was at two of the crashes, without waiting for reports', () => {
	const fixture = new Fixture();
	fixture.crash(x, a);
	fixture.crash(x, a);
	fixture.crash(x);
	fixture.crash(x);
	assert.deepEqual([fixture.quarantine.statusOf(x), fixture.quarantine.statusOf(a)], ['quarantined', 'sound']);
});

test('an innocent request is not quarantined before another box has reported the poison request at the third crash', () => {
	const fixture = new Fixture();
	fixture.crash(x, a);
	fixture.crash(x, a);
	const third = fixture.crash(a);
	assert.equal(fixture.quarantine.statusOf(a), 'trial');
	fixture.clock.now += 700;
	assert.equal(fixture.quarantine.statusOf(a), 'trial');
	const {start, entry: {service, software}} = third;
	fixture.quarantine.merge({
		crashes: [{
			start, service, software, suspects: [{fingerprint: x, ranFor: 20}], age: 700,
		}], completions: [],
	});
	fixture.clock.now += reportTime;
	assert.deepEqual([fixture.quarantine.statusOf(x), fixture.quarantine.statusOf(a)], ['trial', 'trial']);
	fixture.crash(x);
	assert.deepEqual([fixture.quarantine.statusOf(x), fixture.quarantine.statusOf(a)], ['quarantined', 'sound']);
});

test('a request that completed is sound again', () => {
	const fixture = new Fixture();
	fixture.crash(x);
	fixture.crash(x);
	fixture.clock.now += 100;
	fixture.quarantine.recordCompletion(x);
	assert.equal(fixture.quarantine.statusOf(x), 'sound');
	assert.equal(fixture.quarantine.hasSuspects, false);
});

test('a replica that answers after its crash was reported is alive, and the crash is attributed to no request', () => {
	const fixture = new Fixture();
	const replicas = [1, 2, 3].map(() => fixture.crash(x));
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	fixture.clock.now += 1000;
	for (const replica of replicas) {
		replica.recordData();
	}

	fixture.clock.now += 200;
	assert.equal(fixture.quarantine.statusOf(x), 'sound');
});

test('answers of a replica that restarted under the same id do not contradict the crash of its previous start', () => {
	const fixture = new Fixture();
	const [first] = [1, 2, 3].map(() => fixture.crash(x));
	fixture.replicas.remove(first!.entry.id, 50);
	const restarted = fixture.list({id: first!.entry.id, bornAt: 99, revision: 60});
	fixture.clock.now += 1000;
	restarted.recordData();
	fixture.clock.now += 200;
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
});

test('a quarantined request gets one trial once all replicas run new software, but not while one still runs the old software', () => {
	const fixture = new Fixture();
	for (const replica of [1, 2, 3].map(() => fixture.crash(x))) {
		fixture.replicas.remove(replica.entry.id, 50);
	}

	fixture.list({id: 'old', software: '1', revision: 60});
	fixture.list({id: 'new', software: '2', revision: 61});
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	fixture.replicas.remove('old', 62);
	fixture.clock.now += 200;
	assert.equal(fixture.quarantine.statusOf(x), 'trial');
	fixture.quarantine.recordCrash(fixture.replicas.byId('new')!, [{fingerprint: x, ranFor: 60}], fixture.clock.now);
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
});

test('where replicas crash for other reasons all the time, three crashes are not enough for the quarantine', () => {
	const fixture = new Fixture();
	for (const index of [1, 2, 3, 4, 5].keys()) {
		fixture.list();
		fixture.crash(Fingerprint(`other-${index}`.padEnd(12, '-')));
	}

	for (const _ of [1, 2, 3]) {
		fixture.crash(x);
	}

	assert.equal(fixture.quarantine.statusOf(x), 'quarantined', 'five other crashes among a dozen replicas do not raise the threshold');
	for (const replica of fixture.replicas.all.slice(2)) {
		fixture.replicas.remove(replica.entry.id, 90);
	}

	fixture.clock.now += 200;
	assert.equal(fixture.quarantine.statusOf(x), 'trial');
	fixture.crash(x);
	fixture.crash(x);
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
});

test('crashes whose requests have all completed since still count as crashes for other reasons', () => {
	const fixture = new Fixture();
	for (const index of [1, 2, 3, 4, 5, 6].keys()) {
		const other = Fingerprint(`other-${index}`.padEnd(12, '-'));
		const replica = fixture.crash(other);
		fixture.clock.now += 100;
		fixture.quarantine.recordCompletion(other);
		fixture.replicas.remove(replica.entry.id, 90);
	}

	fixture.list();
	const statuses = [1, 2, 3, 4, 5].map(() => {
		const replica = fixture.crash(x);
		fixture.replicas.remove(replica.entry.id, 90);
		return fixture.quarantine.statusOf(x);
	});
	assert.deepEqual(statuses, ['suspect', 'trial', 'trial', 'trial', 'quarantined']);
});

test('later crashes for other reasons do not lift the quarantine', () => {
	const fixture = new Fixture();
	for (const _ of [1, 2, 3]) {
		const replica = fixture.crash(x);
		fixture.replicas.remove(replica.entry.id, 90);
	}

	fixture.list();
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	for (const index of [1, 2, 3, 4, 5].keys()) {
		const replica = fixture.crash(Fingerprint(`other-${index}`.padEnd(12, '-')));
		fixture.replicas.remove(replica.entry.id, 90);
	}

	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
});

test('a quarantined request gets further trials, from one box only, after growing delays', () => {
	const fixture = new Fixture();
	for (const _ of [1, 2, 3]) {
		fixture.crash(x);
	}

	const first = fixture.quarantine.timeUntilTrial(x);
	assert.ok(first >= 20_000 && first <= 40_000);
	fixture.clock.now += first - 100;
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	fixture.clock.now += 200;
	assert.equal(fixture.quarantine.statusOf(x), 'trial');
	fixture.isOwner = false;
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	fixture.isOwner = true;
	fixture.crash(x);
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	const second = fixture.quarantine.timeUntilTrial(x);
	assert.ok(second >= 10 * first);
	fixture.clock.now += second - 100;
	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	fixture.clock.now += 200;
	assert.equal(fixture.quarantine.statusOf(x), 'trial');
});

test('a request that an operator released runs', () => {
	const fixture = new Fixture();
	for (const _ of [1, 2, 3]) {
		fixture.crash(x);
	}

	fixture.released.push(x);
	assert.equal(fixture.quarantine.statusOf(x), 'sound');
});

test('requests that are not sound run on different replicas where possible, and a trial runs once at a time', () => {
	const fixture = new Fixture();
	for (const _ of [1, 2]) {
		fixture.crash(x, a);
		fixture.crash(a);
	}

	const [one, two] = [fixture.list(), fixture.list()];
	const bystander = Fingerprint('bystander---');
	fixture.crash(bystander);
	const endRun = fixture.quarantine.begin(x, one.start);
	assert.deepEqual(fixture.bounded(a, [one, two]), [two]);
	assert.deepEqual(fixture.bounded(a, [one]), [], 'a trial waits where there is no other replica');
	assert.deepEqual(fixture.bounded(bystander, [one]), [one], 'a request with a single crash does not wait');
	assert.deepEqual(fixture.bounded(Fingerprint('sound-sound-'), [one, two]), [one, two]);
	assert.equal(fixture.quarantine.isRunning(x), true);
	endRun();
	assert.equal(fixture.quarantine.isRunning(x), false);
});

test('a trial runs at a replica with few requests, and trials of different requests are spread over these replicas', () => {
	const fixture = new Fixture();
	const names = Array.from({length: 40}, (_, index) => Fingerprint(`tried-${index}`.padEnd(12, '-')));
	fixture.crash(...names);
	fixture.crash(...names);
	const replicas = Array.from({length: 8}, () => fixture.list());
	for (const replica of replicas.slice(4)) {
		replica.begin(0);
	}

	const chosen = names.map(name => fixture.bounded(name, replicas)).map(([replica]) => replicas.indexOf(replica!));
	assert.ok(chosen.every(index => index < 4));
	assert.equal(new Set(chosen).size, 4);
});

const [first, bad] = ['first', 'bad'].map(name => Fingerprint(name)) as [Fingerprint, Fingerprint];
const [ownAccount, otherAccount] = ['own', 'other'].map(name => Fingerprint(name)) as [Fingerprint, Fingerprint];

/** Crashes a new replica under a new request with these parts. */
function crashOnParts(fixture: Fixture, parts: readonly Fingerprint[], clientAccount = ownAccount): Replica {
	const replica = fixture.list();
	fixture.clock.now += 1000;
	fixture.quarantine.recordCrash(replica, [{
		fingerprint: Fingerprint(`request-${replica.start}`), ranFor: 60, parts, clientAccount,
	}], fixture.clock.now);
	return replica;
}

const standing = (fixture: Fixture, parts: readonly Fingerprint[], clientAccount = ownAccount) => fixture.quarantine.standingOf({fingerprint: Fingerprint('new'), parts, clientAccount}).status;

test('requests with a part that crashed three replicas are quarantined, and those with only its companions are not', () => {
	const fixture = new Fixture();
	const statuses = [1, 2, 3].map(() => {
		crashOnParts(fixture, [first, bad]);
		return standing(fixture, [first, bad]);
	});
	assert.deepEqual(statuses, ['sound', 'trial', 'quarantined']);
	assert.equal(standing(fixture, [first]), 'sound');
});

test('a client account cannot get a part of another one quarantined', () => {
	const fixture = new Fixture();
	for (const _ of [1, 2, 3, 4]) {
		crashOnParts(fixture, [bad]);
	}

	assert.equal(standing(fixture, [bad]), 'quarantined');
	assert.equal(standing(fixture, [bad], otherAccount), 'trial');
	crashOnParts(fixture, [bad], otherAccount);
	assert.equal(standing(fixture, [bad], otherAccount), 'quarantined');
});

test('an answer on a part lifts its quarantine, an answer that began before the crashes does not', () => {
	const fixture = new Fixture();
	const before = fixture.clock.now;
	for (const _ of [1, 2, 3]) {
		crashOnParts(fixture, [bad]);
	}

	fixture.quarantine.recordPartCompletion([bad], fixture.clock.now + 1);
	assert.equal(standing(fixture, [bad]), 'sound');
	const other = new Fixture();
	for (const _ of [1, 2, 3, 4, 5]) {
		crashOnParts(other, [first, bad]);
	}

	other.quarantine.recordPartCompletion([first], other.clock.now + 1);
	other.quarantine.recordPartCompletion([bad], before);
	assert.equal(standing(other, [first, bad]), 'quarantined');
});

test('a part that is quarantined gets two trials after growing delays, and then none before the software is replaced', () => {
	const fixture = new Fixture();
	const [replica] = [1, 2, 3].map(() => crashOnParts(fixture, [first, bad]));
	fixture.quarantine.recordPartCompletion([first], fixture.clock.now + 1);
	for (const _ of [1, 2]) {
		fixture.clock.now += fixture.quarantine.timeUntilTrial(bad) + 100;
		assert.equal(standing(fixture, [first, bad]), 'trial');
		crashOnParts(fixture, [first, bad]);
		assert.equal(standing(fixture, [first, bad]), 'quarantined');
	}

	assert.equal(fixture.quarantine.timeUntilTrial(bad), Number.POSITIVE_INFINITY);
	for (const {entry} of fixture.replicas.all.filter(({entry: {id}}) => id !== replica!.entry.id)) {
		fixture.replicas.remove(entry.id, 90);
	}

	fixture.replicas.remove(replica!.entry.id, 91);
	fixture.list({software: '2', revision: 92});
	fixture.clock.now += 200;
	assert.equal(standing(fixture, [first, bad]), 'trial');
});

test('crashes that were far apart before the quarantine are no trials', () => {
	const fixture = new Fixture();
	for (const _ of [1, 2, 3]) {
		fixture.clock.now += 30_000;
		fixture.crash(x);
	}

	assert.equal(fixture.quarantine.statusOf(x), 'quarantined');
	assert.ok(Number.isFinite(fixture.quarantine.timeUntilTrial(x)));
});

test('another quarantine that receives the saved causes makes the same decision', () => {
	const fixture = new Fixture();
	for (const _ of [1, 2, 3]) {
		crashOnParts(fixture, [first, bad]);
	}

	fixture.quarantine.recordPartCompletion([first], fixture.clock.now + 1);
	const restarted = new Fixture();
	restarted.list();
	restarted.quarantine.merge(fixture.quarantine.causes);
	assert.equal(standing(restarted, [first, bad]), 'quarantined');
	assert.equal(standing(restarted, [first]), 'sound');
});
