/**
 * The software version that a stream is bound to: the one that began it, whether at this box, at another, or for an earlier attempt of the client.
 */
import * as Effect from 'effect/Effect';
import type {Clock} from '../base/clock.js';
import type {EventFields} from '../base/event-log.js';
import type {SuspensionMeter} from '../base/suspension-meter.js';
import type {Replica} from '../replicas/replica.js';
import type {HistoryBasis, VersionHistory} from '../stream-versions/version-history.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {StreamContinuation, StreamOrigin, StreamOrigins} from './stream-origins.js';

/** Dependencies of the version. */
export type StreamVersionServices = {
	readonly clock: Clock;
	readonly suspensions: SuspensionMeter;
	readonly origins: StreamOrigins;
	readonly versions: Pick<VersionHistory, 'areSeveral' | 'mayBegin' | 'mayBeginSoon' | 'isRecorded' | 'basis'>;
	readonly request: () => AdmittedRequest;
};

/** The version of one request's stream. */
export class StreamVersion {
	/**
	 * @param services - Its dependencies.
	 * @returns A version that is not known yet.
	 */
	static create(services: StreamVersionServices): StreamVersion {
		return new StreamVersion(services);
	}

	/** The version; `undefined` while any may begin the stream, and for requests that are no stream. */
	software: string | undefined;
	/** What the version of a stream that the client takes up is known by; `undefined` for other requests. */
	source: Extract<StreamContinuation, {readonly kind: 'version'}>['source'] | 'origin' | 'unknown' | undefined;

	/** Milliseconds from the moment at which the version was learnt, or asked for, to the decision; `undefined` for streams that are not taken up. */
	private age: number | undefined;
	/** The history of versions when the stream was taken up, or begun; `undefined` before. */
	private basis: HistoryBasis | undefined;
	/** Whether the history had the version as the stream began; `undefined` before, and for streams that were taken up. */
	private wasRecorded: boolean | undefined;

	private constructor(private readonly services: StreamVersionServices) {}

	/** Fields for the log record of the request: what its version was known by and for how long, and what the box knew of the history of versions. */
	get fields(): EventFields {
		return {
			versionSource: this.source,
			versionAge: this.age === undefined ? undefined : Math.round(this.age),
			...(this.isTakenUp ? this.suspensionFields : {}),
			versionRecorded: this.wasRecorded,
			historyAge: this.basis?.age === undefined ? undefined : Math.round(this.basis.age),
			historyComplete: this.basis?.isComplete,
		};
	}

	/** @returns An effect that yields whether the request may run: a new stream always, one that the client takes up if its version is known. */
	resolve(): Effect.Effect<boolean> {
		return Effect.gen({self: this}, function * () {
			const {origins, request} = this.services;
			const {head, service, requiredSoftware} = request();
			if (!this.isTakenUp) {
				return true;
			}

			this.basis = this.services.versions.basis;
			if (requiredSoftware !== undefined) {
				this.software = requiredSoftware;
				this.source = 'origin';
				return true;
			}

			const {resumedAttempt: attempt} = head;
			const {clock} = this.services;
			const name = attempt === undefined ? undefined : {clientAccount: this.clientAccount, attempt};
			const knownAt = (name && origins.knownAt(name)) ?? clock.monotonic();
			const continuation = yield * origins.resolve(name, service, this.timeToGoal);
			this.age = clock.monotonic() - knownAt;
			if (continuation.kind === 'unknown') {
				this.source = 'unknown';
				return false;
			}

			this.software = continuation.software;
			this.source = continuation.source;
			return true;
		});
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether the stream may begin or go on there. Replicas without a version may differ if others have one.
	 */
	accepts(replica: Replica): boolean {
		const {software, services: {versions}} = this;
		const {entry} = replica;
		return software === undefined
			? !this.mayNotBegin(replica)
			: entry.software === software && (software !== '' || !versions.areSeveral(entry.service));
	}

	/**
	 * @param replica - A replica.
	 * @returns Whether a new stream may begin there soon, once the store has its version.
	 */
	isPending(replica: Replica): boolean {
		return this.mayNotBegin(replica) && this.services.versions.mayBeginSoon(replica.entry);
	}

	/**
	 * Records that a replica of this box began the stream or goes on with it. To be called before the first event is sent to the client.
	 *
	 * @param software - Version of the replica.
	 */
	recordFirstEvent(software: string): void {
		this.software ??= software;
		const {origin, services: {origins, versions}} = this;
		if (origin) {
			this.basis = versions.basis;
			this.wasRecorded = versions.isRecorded(origin.service, origin.software);
			origins.record(origin);
		}
	}

	/**
	 * Records what the box that the request was forwarded through tells of its replica.
	 *
	 * @param software - Version of the replica; `undefined` if the box does not tell.
	 */
	recordForwarded(software: string | undefined): void {
		this.software ??= software;
		const {origin} = this;
		if (origin) {
			this.services.origins.apply([origin]);
		}
	}

	/** The stream under the name by which its client may take it up; `undefined` if it may not, or has a name from an earlier attempt. */
	private get origin(): StreamOrigin | undefined {
		const {software, services: {request}} = this;
		const {head: {id: attempt}, route, service} = request();
		return route.isResumable && attempt !== undefined && software !== undefined && !this.isTakenUp
			? {
				clientAccount: this.clientAccount, attempt, service, software,
			}
			: undefined;
	}

	/** Whether a new stream may not begin at a replica, since a fleet that restarts would not know its version. */
	private mayNotBegin({entry}: Replica): boolean {
		const {software, services: {versions, request}} = this;
		return software === undefined && request().route.isResumable && !versions.mayBegin(entry);
	}

	/** For how long the process last stood still, and how long ago that ended. */
	private get suspensionFields(): EventFields {
		const {clock, suspensions: {last}} = this.services;
		return last
			? {suspendedFor: Math.round(Math.max(last.steady, last.wall)), sinceSuspension: Math.round(clock.monotonic() - last.endedAt)}
			: {};
	}

	private get timeToGoal(): number {
		const {clock, request} = this.services;
		const {route, receivedAt, deadlineAt} = request();
		return Math.max(0, Math.min(receivedAt + route.goal, deadlineAt) - clock.monotonic());
	}

	private get clientAccount(): string {
		return this.services.request().clientAccount?.name ?? '';
	}

	/** Whether the client has events of the stream from an earlier attempt. */
	private get isTakenUp(): boolean {
		const {head: {lastEventId}, route} = this.services.request();
		return route.isResumable && Number(lastEventId) > 0;
	}
}
