import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import {ManualClock} from '../../../development/harness/manual-clock.js';
import {RecordingLog, until} from '../../../development/relay/relay-installation.js';
import {ReplicaStandin} from '../../../development/relay/replica-standin.js';
import {SystemClock, type Clock} from '../../base/clock.js';
import {Fingerprint} from '../../quarantine/fingerprint.js';
import {Quarantine} from '../../quarantine/quarantine.js';
import {Replica} from '../../replicas/replica.js';
import {ReplicaDirectory} from '../../replicas/replica-directory.js';
import {ConnectionRegistry} from '../connection-registry.js';
import {RelayMetrics} from '../relay-metrics.js';
import {CrashDetector} from '../crash-detector.js';
import {CrashSuspicion} from '../crash-suspicion.js';

const systemClock = SystemClock.create();
const first = {fingerprint: Fingerprint('first-first-'), ranFor: 60};
const second = {fingerprint: Fingerprint('second-secon'), ranFor: 60};

type DetectorSetup = {
	readonly quarantine: Quarantine;
	readonly standin: ReplicaStandin;
	readonly replica: Replica;
	readonly detector: CrashDetector;
	readonly log: RecordingLog;
	/** Replicas whose crash was to be sent to other boxes at once. */
	readonly reported: readonly unknown[];
	readonly close: () => Promise<void>;
};

type PartitionState = {readonly reachesAny: () => boolean; readonly isUnreachableElsewhere: boolean; readonly clock: Clock};

async function setUpDetector({reachesAny = () => true, isUnreachableElsewhere = false, clock = systemClock}: Partial<PartitionState> = {}): Promise<DetectorSetup> {
	const standin = await ReplicaStandin.start('i-1');
	const replica = Replica.create({
		id: 'i-1', bornAt: 7, software: '1', revision: 1, service: 's', host: '127.0.0.1', port: standin.port, dataCentre: 'a', slots: 8, isDraining: false, isReclaimable: false, leavesIn: undefined,
	}, clock);
	const log = new RecordingLog();
	const connections = ConnectionRegistry.create(clock, {maximumConnections: () => 100, boxes: () => 1});
	const replicas = ReplicaDirectory.create(clock, log);
	const quarantine = Quarantine.create({
		clock, log, replicas, isOwner: () => true, released: () => [],
	});
	const reported: unknown[] = [];
	const detector = CrashDetector.create({
		clock, log, metrics: RelayMetrics.create(), connections, quarantine, reach: {reachesAny: () => Effect.sync(reachesAny)}, isUnreachableElsewhere: () => isUnreachableElsewhere,
		onCrash: () => reported.push(replica.start),
	});
	const close = async () => {
		connections.close();
		await standin.close();
	};

	return {
		standin, replica, detector, quarantine, log, reported, close,
	};
}

const crashesIn = ({lines}: RecordingLog): readonly unknown[] => lines.filter(({eventName}) => eventName === 'replicaEnded').map(({suspects}) => suspects);

test('a cut connection is not reported as a crash while the replica still listens', async () => {
	const {standin, replica, detector, log, close} = await setUpDetector();
	detector.recordCut(replica, first);
	await until(() => standin.connections === 1);
	await pause(20);
	detector.recordGone(replica);
	assert.deepEqual(crashesIn(log), []);
	await close();
});

test('a replica that refuses the probe is reported as crashed, with all requests that were cut there', async () => {
	const {
		standin, replica, detector, log, reported,
	} = await setUpDetector();
	await standin.close();
	detector.recordCut(replica, first);
	detector.recordCut(replica, second);
	await until(() => crashesIn(log).length > 0);
	assert.deepEqual(crashesIn(log), [`${first.fingerprint} ${second.fingerprint}`]);
	assert.deepEqual(reported, [replica.start], 'other boxes are told at once');
});

test('a replica that is leaving exits as planned, and no request is suspected', async () => {
	const {standin, replica, detector, log} = await setUpDetector();
	await standin.close();
	replica.markLeaving();
	detector.recordCut(replica, first);
	await pause(60);
	assert.deepEqual(crashesIn(log), []);
});

test('a replica whose entry is removed after a cut is reported as crashed, without a result of the probe', async () => {
	const {standin, replica, detector, log, close} = await setUpDetector();
	detector.recordCut(replica, first);
	// The probe has not completed yet.
	detector.recordGone(replica);
	assert.deepEqual(crashesIn(log), [first.fingerprint]);
	await pause(40);
	assert.equal(standin.connections, 0, 'a replica whose entry is removed is not probed');
	await close();
});

test('a replica that refuses the probe of a box that reaches no replica is not reported as crashed until its entry is removed', async () => {
	const {standin, replica, detector, log} = await setUpDetector({reachesAny: () => false});
	await standin.close();
	detector.recordCut(replica, first);
	await pause(100);
	assert.deepEqual(crashesIn(log), []);
	detector.recordGone(replica);
	assert.deepEqual(crashesIn(log), [first.fingerprint]);
});

test('a crash is reported although this box reaches no replica if no other box does either', async () => {
	const {standin, replica, detector, log} = await setUpDetector({reachesAny: () => false, isUnreachableElsewhere: true});
	await standin.close();
	detector.recordCut(replica, first);
	await until(() => crashesIn(log).length > 0);
	assert.deepEqual(crashesIn(log), [first.fingerprint]);
});

test('a crash during a partition of this box is reported once the partition has ended', async () => {
	let isPartitioned = true;
	const {standin, replica, detector, log} = await setUpDetector({reachesAny: () => !isPartitioned});
	await standin.close();
	detector.recordCut(replica, first);
	await pause(500);
	assert.deepEqual(crashesIn(log), []);
	isPartitioned = false;
	await until(() => crashesIn(log).length > 0);
	assert.deepEqual(crashesIn(log), [first.fingerprint]);
});

test('a replica that is cut again after its probes were given up is probed again', async () => {
	let isPartitioned = true;
	const clock = new ManualClock(10_000);
	const {standin, replica, detector, log} = await setUpDetector({reachesAny: () => !isPartitioned, clock});
	await standin.close();
	detector.recordCut(replica, first);
	await pause(100);
	clock.now += 10_000;
	await pause(500);
	isPartitioned = false;
	detector.recordCut(replica, second);
	await until(() => crashesIn(log).length > 0);
	assert.deepEqual(crashesIn(log), [second.fingerprint]);
	assert.equal(detector.isProbePending(second.fingerprint), false);
});

/** A request whose answer has begun, while another request with its part was at a crash. */
function beginSuspected({quarantine, detector, replica}: DetectorSetup): CrashSuspicion {
	const other = Replica.create({...replica.entry, id: 'i-2'}, systemClock);
	quarantine.recordCrash(other, [{...first, parts: [quarantine.partFingerprint('s', 'shared')]}], systemClock.monotonic());
	const suspicion = CrashSuspicion.create({
		clock: systemClock, quarantine, crashDetector: detector, identity: () => ({
			method: 'POST', target: '/x', clientAccount: undefined, body: new Uint8Array(),
		}), prompt: () => ({service: 's', sharedParts: ['shared']}),
	});
	suspicion.beginAttempt(replica);
	suspicion.recordAnswerStart();
	return suspicion;
}

test('an answer that only the end of its connection delimits is no completion if the replica has crashed', async () => {
	const setup = await setUpDetector();
	const suspicion = beginSuspected(setup);
	await setup.standin.close();
	suspicion.recordUndelimitedEnd(setup.replica);
	await until(() => crashesIn(setup.log).length === 1);
	assert.deepEqual(crashesIn(setup.log), [suspicion.fingerprint]);
	assert.deepEqual(setup.quarantine.collectUpdate(true, 10)?.completions, []);
});

test('an answer that only the end of its connection delimits is a completion if the replica listens', async () => {
	const setup = await setUpDetector();
	const suspicion = beginSuspected(setup);
	suspicion.recordUndelimitedEnd(setup.replica);
	await until(() => (setup.quarantine.collectUpdate(true, 10)?.completions.length ?? 0) > 0);
	assert.deepEqual(crashesIn(setup.log), []);
	await setup.close();
});
