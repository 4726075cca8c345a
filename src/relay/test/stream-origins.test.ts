/** Guards against streams that go on at another software version than the one that began them, and against streams that needlessly end. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {createRandom} from '../../../development/harness/seeded-random.js';
import {SilentEventLog} from '../../base/event-log.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import {ServiceVersions} from '../../replicas/service-versions.js';
import {
	copiesFor, StreamOrigins, type StreamContinuation, type StreamName, type StreamOrigin, type StreamOriginsServices,
} from '../stream-origins.js';

const service = 's';
/** Milliseconds between two repetitions of what was told, and rounds of a question. */
const repetitionInterval = 100;
const rounds = 4;

type Box = {readonly origins: StreamOrigins; readonly directory: ReplicaDirectory};

/** @returns The versions that a box has seen, without a history in the store. */
const versionsOf = (directory: ReplicaDirectory, clock: ManualClock): StreamOriginsServices['versions'] => {
	const seen = ServiceVersions.create(directory, clock);
	return {
		areSeveral: name => seen.areSeveral(name),
		of: name => seen.of(name),
		only: name => seen.only(name),
		onlyRecorded: () => undefined,
		confirm: () => Effect.succeed(false),
		get isCertain() {
			return seen.isCertain;
		},
	};
};

/** Boxes that exchange origins over a network that loses messages. */
class OriginFleet {
	readonly clock = new ManualClock(100_000);
	lost = 0;
	isStoreSilent = false;
	/** Boxes that reach no other box, by number. */
	cutOff: ReadonlySet<number> = new Set();
	private readonly random = createRandom(5);
	private boxes: Box[] = [];

	/** @param count - Number of boxes. */
	constructor(count: number) {
		this.boxes = Array.from({length: count}, (_, index) => this.createBox(index));
	}

	/** @returns A box. */
	box(index: number): Box {
		return this.boxes[index]!;
	}

	/** @param index - Number of a box that is killed and starts again without its memory. */
	restart(index: number): void {
		const {directory} = this.box(index);
		this.boxes[index] = this.createBox(index);
		for (const {entry} of directory.all) {
			this.box(index).directory.put(entry);
		}
	}

	/** Lists a replica at all boxes that are not cut off. */
	list(id: string, software: string, revision = 1): void {
		for (const {directory} of this.boxes.filter((_, index) => !this.cutOff.has(index))) {
			directory.put({
				id, bornAt: undefined, software, revision, service, host: '127.0.0.1', port: 1, dataCentre: 'a', slots: 4, isDraining: false, isReclaimable: false, leavesIn: undefined,
			});
		}
	}

	/** Removes a replica at all boxes. */
	unlist(id: string): void {
		for (const {directory} of this.boxes) {
			directory.remove(id, 9);
		}
	}

	/** Lets time pass, with the repetitions that fall in it. */
	advance(time: number): void {
		for (let passed = 0; passed < time; passed += repetitionInterval) {
			this.clock.now += Math.min(repetitionInterval, time - passed);
			for (const {origins} of this.boxes) {
				origins.repeat();
			}
		}
	}

	/** @returns Where a box lets a stream go on. */
	async resolve(index: number, name: StreamName | undefined): Promise<StreamContinuation> {
		return Effect.runPromise(this.box(index).origins.resolve(name, service));
	}

	private createBox(index: number): Box {
		const {clock} = this;
		const directory = ReplicaDirectory.create(clock, SilentEventLog.create());
		const others = () => this.boxes.filter((_, other) => other !== index && !this.cutOff.has(index) && !this.cutOff.has(other));
		const arrives = () => this.random() >= this.lost;
		const origins = StreamOrigins.create({
			clock,
			versions: versionsOf(directory, clock),
			isStoreSilent: () => this.isStoreSilent,
			tell(told: readonly StreamOrigin[]) {
				const copies = Array.from({length: copiesFor(others().length)}, () => others()).flat();
				for (const other of copies.filter(() => arrives())) {
					other.origins.apply(told);
				}
			},
			lookUp: question => Effect.sync(() => {
				const reached = others().filter(() => Array.from({length: rounds}, () => arrives() && arrives()).includes(true));
				return {answers: reached.map(other => other.origins.answerTo(question)), haveAllAnswered: reached.length + 1 === this.boxes.length, isIsolated: this.boxes.length > 1 && reached.length === 0};
			}),
			readRecord: () => Effect.void,
			onSize: () => undefined,
		});
		return {origins, directory};
	}
}

const nameOf = (attempt: string): StreamName => ({clientAccount: 'basin', attempt});
const originOf = (attempt: string, software: string): StreamOrigin => ({...nameOf(attempt), service, software});

test('a stream goes on at its version at any box, also if the box that began it is killed at once and one message in three is lost', async () => {
	for (const boxes of [4, 8]) {
		const fleet = new OriginFleet(boxes);
		fleet.list('i-1', 'v1');
		fleet.list('i-2', 'v2');
		fleet.lost = 1 / 3;
		const streams = 500;
		const outcomes = await Promise.all(Array.from({length: streams}, async (_, index) => {
			const software = index % 2 === 0 ? 'v1' : 'v2';
			fleet.box(0).origins.record(originOf(`a-${index}`, software));
			fleet.restart(0);
			const continuation = await fleet.resolve(index % boxes, nameOf(`a-${index}`));
			return continuation.kind === 'version' ? continuation.software === software : undefined;
		}));
		assert.equal(outcomes.filter(outcome => outcome === false).length, 0);
		assert.ok(outcomes.filter(Boolean).length >= streams * 0.98, `${outcomes.filter(Boolean).length} of ${streams} with ${boxes} boxes`);
	}
});

test('a stream that began before a second version appeared is told when it appears', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	fleet.box(0).origins.record(originOf('a', 'v1'));
	fleet.advance(3000);
	fleet.list('i-2', 'v2');
	fleet.advance(200);
	fleet.restart(0);
	assert.deepEqual(await fleet.resolve(1, nameOf('a')), {kind: 'version', software: 'v1', source: 'box'});
});

test('a stream of which no box knows the version goes on nowhere, unless only one version has served', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	assert.deepEqual(await fleet.resolve(1, nameOf('unknown')), {kind: 'unknown'}, 'a version that has just left is not listed');
	fleet.advance(61_000);
	assert.deepEqual(await fleet.resolve(1, nameOf('unknown')), {kind: 'version', software: 'v1', source: 'only-version'});
	fleet.restart(1);
	assert.deepEqual(await fleet.resolve(1, nameOf('another')), {kind: 'version', software: 'v1', source: 'only-version'}, 'a box that has just started knows it by the others');
	fleet.list('i-2', 'v2');
	assert.deepEqual(await fleet.resolve(1, nameOf('third')), {kind: 'unknown'});
	assert.deepEqual(await fleet.resolve(1, undefined), {kind: 'unknown'});
	fleet.unlist('i-2');
	fleet.advance(1000);
	assert.deepEqual(await fleet.resolve(1, nameOf('third')), {kind: 'unknown'}, 'a stream of the removed version may still be taken up');
	fleet.advance(61_000);
	assert.deepEqual(await fleet.resolve(1, nameOf('unknown')), {kind: 'version', software: 'v1', source: 'only-version'});
});

test('a stream of a removed version does not go on at the version that is left', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	fleet.list('i-2', 'v2');
	fleet.box(0).origins.record(originOf('a', 'v2'));
	fleet.unlist('i-2');
	assert.deepEqual(await fleet.resolve(1, nameOf('a')), {kind: 'version', software: 'v2', source: 'box'});
	fleet.restart(1);
	assert.deepEqual(await fleet.resolve(1, nameOf('a')), {kind: 'version', software: 'v2', source: 'peer'});
});

test('a box that is cut off does not take the only version that it knows for the one that began a stream elsewhere', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	fleet.advance(61_000);
	fleet.cutOff = new Set([3]);
	fleet.list('i-2', 'v2');
	fleet.box(0).origins.record(originOf('a', 'v2'));
	fleet.advance(1000);
	assert.deepEqual(await fleet.resolve(3, nameOf('a')), {kind: 'unknown'});
});

test('while the store does not answer, a stream goes on at the only version if all boxes know it alone, and is refused if one does not answer', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	fleet.advance(61_000);
	assert.deepEqual(await fleet.resolve(1, nameOf('a')), {kind: 'version', software: 'v1', source: 'only-version'});
	fleet.cutOff = new Set([0]);
	assert.deepEqual(await fleet.resolve(1, nameOf('b')), {kind: 'unknown'});
});

test('a stream that a killed box began while the store does not answer goes on, also if only one version serves', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	fleet.advance(61_000);
	fleet.box(0).origins.record(originOf('before', 'v1'));
	fleet.isStoreSilent = true;
	fleet.advance(200);
	fleet.box(0).origins.record(originOf('after', 'v1'));
	fleet.cutOff = new Set([0]);
	assert.deepEqual(await fleet.resolve(1, nameOf('before')), {kind: 'version', software: 'v1', source: 'box'});
	assert.deepEqual(await fleet.resolve(2, nameOf('after')), {kind: 'version', software: 'v1', source: 'box'});
});

test('one box that knows a second version keeps the others from taking the only one that they know for it', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	fleet.advance(61_000);
	fleet.cutOff = new Set([1]);
	fleet.list('i-2', 'v2');
	fleet.unlist('i-2');
	fleet.restart(3);
	fleet.cutOff = new Set();
	assert.deepEqual(await fleet.resolve(1, nameOf('a')), {kind: 'unknown'});
});

test('a stream keeps its first version, and one of another client account is not found', async () => {
	const fleet = new OriginFleet(4);
	fleet.list('i-1', 'v1');
	fleet.list('i-2', 'v2');
	const {origins} = fleet.box(0);
	origins.record(originOf('a', 'v1'));
	origins.record(originOf('a', 'v2'));
	origins.record({...originOf('a', 'v2'), clientAccount: 'other'});
	assert.equal(origins.softwareOf(nameOf('a')), 'v1');
	assert.equal(origins.softwareOf({clientAccount: 'other', attempt: 'a'}), 'v2');
	assert.deepEqual(await fleet.resolve(2, {clientAccount: 'third', attempt: 'a'}), {kind: 'unknown'});
});

test('names that are too long are not remembered, and no more than 20,000 streams are', () => {
	const fleet = new OriginFleet(1);
	const {origins} = fleet.box(0);
	origins.record(originOf('x'.repeat(129), 'v1'));
	assert.equal(origins.softwareOf(nameOf('x'.repeat(129))), undefined);
	for (let index = 0; index <= 20_000; index++) {
		origins.apply([originOf(`a-${index}`, 'v1')]);
	}

	assert.equal(origins.softwareOf(nameOf('a-0')), undefined);
	assert.equal(origins.softwareOf(nameOf('a-20000')), 'v1');
});
