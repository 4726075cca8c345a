/** Guards against streams that hold events from replicas of two software versions. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {
	RelayInstallation, routeTo, until, type ClientView,
} from '../../../development/relay/relay-installation.js';

const versions = {
	'i-1': 'v1', 'i-2': 'v1', 'i-3': 'v2', 'i-4': 'v2',
} as const;
const streams = 16;
const path = '/stream/x';
const events = 30;
/** Milliseconds between two events; a stream takes fifteen times the time after which its relay is killed. */
const gap = 20;
/** Milliseconds within which a stream that cannot go on must be refused. */
const refusalTime = 100;
/** Milliseconds within which a begun stream that cannot go on must be cut; far below its deadline. */
const cutTime = 1000;
/** Milliseconds for which a removed replica may still get requests as a last resort. */
const leavingGrace = 700;

/** Starts relays and two replicas of each of two versions. */
async function startVersions(context: TestContext, relays: number): Promise<RelayInstallation> {
	const installation = await RelayInstallation.start({
		relays,
		replicas: [],
		routes: [routeTo('/stream/', {
			kind: 'streaming', resumable: true, timeout_ms: 8000, max_attempts: 4,
		})],
	});
	context.after(async () => installation.close());
	installation.prepareReplicas(replica => {
		replica.behave({delay: 10, events, gap});
	});
	await Promise.all(Object.entries(versions).map(async ([id, version]) => installation.addReplica(id, {version})));
	await installation.untilAllHeard();
	await until(() => installation.relays.every(({log}) => log.lines.filter(({eventName}) => eventName === 'replicaListed').length >= 4));
	return installation;
}

/** @returns The version of the replica that ran each request, by id of the request; `undefined` for one that none ran. */
function versionsByRequest({replicas}: RelayInstallation): ReadonlyMap<string, string> {
	return new Map([...replicas].flatMap(([id, replica]) => replica.runs.map(run => [run.id, versions[id as keyof typeof versions]] as const)));
}

const lastEventIn = ({body}: ClientView): string | undefined => [...body.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)?.groups?.id;

/** Kills the first relay while streams run there, and takes all of them up at the second. */
async function takeUpElsewhere(installation: RelayInstallation): Promise<{readonly first: readonly ClientView[]; readonly second: readonly ClientView[]}> {
	const [one, other] = installation.relays;
	const first = Array.from({length: streams}, async (_, index) => installation.call({
		path, method: 'POST', body: `stream ${index}`, headers: {'Attempt-Id': `first-${index}`},
	}, one));
	await until(() => versionsByRequest(installation).size === streams);
	await pause(gap * 5);
	await one!.kill();
	const cut = await Promise.all(first);
	const second = await Promise.all(cut.map(async (view, index) => installation.call({
		path, method: 'POST', body: `stream ${index}`, headers: {'Attempt-Id': `second-${index}`, 'Last-Event-Id': lastEventIn(view) ?? '', Resumes: `first-${index}`},
	}, other)));
	return {first: cut, second};
}

/** Guards against a stream that its client takes up at another box, where it goes on at whichever replica is free. */
test('a stream that a client takes up at another box goes on at the software version that began it', async context => {
	const installation = await startVersions(context, 3);
	const {second} = await takeUpElsewhere(installation);
	const ran = versionsByRequest(installation);
	const joined = second.filter((_, index) => ran.has(`second-${index}`) && ran.get(`second-${index}`) !== ran.get(`first-${index}`));
	assert.equal(joined.length, 0, `${joined.length} of ${streams} streams went on at another version`);
	assert.ok(second.filter(({status, isWhole}) => status === 200 && isWhole).length >= streams * 0.98, JSON.stringify(second.map(({status}) => status)));
});

/** Guards against a retry within an answer at another version. */
test('a stream that its replica cuts goes on at the software version that began it, or is cut', async context => {
	const installation = await startVersions(context, 1);
	const answers = Array.from({length: streams}, async (_, index) => installation.call({
		path, method: 'POST', body: `stream ${index}`, headers: {'Attempt-Id': `first-${index}`},
	}));
	await until(() => versionsByRequest(installation).size === streams);
	await pause(gap * 5);
	const began = versionsByRequest(installation);
	const runsOf = () => [...installation.replicas].flatMap(([id, replica]) => replica.runs.map(run => ({id: run.id, version: versions[id as keyof typeof versions]})));
	const [first, second] = ['i-1', 'i-2'].map(id => installation.replicas.get(id)!).sort((left, right) => right.runs.length - left.runs.length);
	await first!.close();
	await until(() => runsOf().length > streams);
	await second!.close();
	await Promise.all(answers);
	const joined = runsOf().filter(({id, version}) => version !== began.get(id));
	assert.equal(joined.length, 0, `${joined.length} runs at another version`);
});

/** Guards against a box that does not know at which version another box began its stream. */
test('a stream that is forwarded through another box goes on at the software version that began it when that box stops', async context => {
	const installation = await startVersions(context, 3);
	const [cut, ...others] = installation.relays;
	cut!.network.state = 'refuse';
	await installation.call({path: '/stream/first', method: 'POST', body: 'x'}, cut);
	await until(() => cut!.log.lines.some(({eventName}) => eventName === 'replicasUnreachable'));
	const answers = Array.from({length: streams}, async (_, index) => installation.call({
		path, method: 'POST', body: `stream ${index}`, headers: {'Attempt-Id': `first-${index}`},
	}, cut));
	await until(() => [...versionsByRequest(installation).keys()].filter(id => id.startsWith('first-')).length === streams);
	await pause(gap * 5);
	await others[0]!.kill();
	await Promise.all(answers);
	const runs = [...installation.replicas].flatMap(([id, replica]) => replica.runs.map(run => ({id: run.id, version: versions[id as keyof typeof versions]})));
	const joined = runs.filter(({id, version}) => runs.some(other => other.id === id && other.version !== version));
	assert.equal(joined.length, 0, `${joined.length} runs at another version`);
	assert.ok(runs.filter(({id}) => id.startsWith('first-')).length > streams, 'no stream was retried');
});

/** Guards against a refusal that comes late, or that lets a stream go on at the wrong version. */
test('a stream is refused at once when no replica of its software version is left, or no box knows it', async context => {
	const installation = await startVersions(context, 2);
	const [relay] = installation.relays;
	const begun = await installation.call({
		path, method: 'POST', body: 'x', headers: {'Attempt-Id': 'begun'},
	}, relay);
	const software = versionsByRequest(installation).get('begun');
	for (const id of Object.keys(versions).filter(replica => versions[replica as keyof typeof versions] === software)) {
		installation.unlist(id);
	}

	await until(() => relay!.log.lines.filter(({eventName}) => eventName === 'replicaGone').length === 2);
	await pause(leavingGrace);
	const refusals = await Promise.all(['begun', 'unknown'].map(async attempt => {
		const sentAt = performance.now();
		const view = await installation.call({
			path, method: 'POST', body: 'x', headers: {'Attempt-Id': `second-${attempt}`, 'Last-Event-Id': '3', Resumes: attempt},
		}, relay);
		return {status: view.status, isInTime: performance.now() - sentAt < refusalTime};
	}));
	assert.equal(begun.status, 200);
	assert.deepEqual(refusals, [{status: 503, isInTime: true}, {status: 503, isInTime: true}]);
	assert.ok(!versionsByRequest(installation).has('second-begun') && !versionsByRequest(installation).has('second-unknown'));
});

/** Guards against a client that is kept waiting for a version which may never come back. */
test('a stream that has begun is cut at once when no replica of its software version is left', async context => {
	const installation = await startVersions(context, 1);
	installation.prepareReplicas(replica => {
		replica.behave({delay: 10, events: events * 10, gap});
	});
	const endedAt = new Map<string, number>();
	const answers = Array.from({length: streams}, async (_, index) => {
		const id = `first-${index}`;
		const {status, isWhole} = await installation.call({
			path, method: 'POST', body: `stream ${index}`, headers: {'Attempt-Id': id, 'Deadline-Ms': '7000'},
		});
		endedAt.set(id, performance.now());
		return {id, status, isWhole};
	});
	await until(() => versionsByRequest(installation).size === streams);
	installation.unlist('i-1');
	installation.unlist('i-2');
	await pause(leavingGrace);
	const closedAt = performance.now();
	await Promise.all(['i-1', 'i-2'].map(async id => installation.replicas.get(id)!.close()));
	const began = versionsByRequest(installation);
	const ofGone = (await Promise.all(answers)).filter(({id}) => began.get(id) === 'v1');
	assert.ok(ofGone.length > 0);
	assert.deepEqual(ofGone.filter(({id, isWhole}) => isWhole || endedAt.get(id)! - closedAt > cutTime), []);
});
