/**
 * Records the load reports that one attempt at a replica receives, and compares the report that was known before with the time that the attempt took.
 */
import {promisedStart} from '../replica-load/promised-start.js';
import type {Replica} from '../replicas/replica.js';
import {defaultReadRate, defaultServiceTime} from '../replicas/replica-choice.js';
import type {AnswerHead} from './relay-format.js';
import type {RelayServices} from './relay-services.js';

/** Milliseconds until the first event of a prompt that is completely cached: the network and one generation step, about. */
const minReadTime = 10;
const millisecondsPerSecond = 1000;

/** What the observation depends on. */
export type LoadObservationServices = Pick<RelayServices, 'clock' | 'loads' | 'demands' | 'metrics' | 'scheduling'>;

/** The request of an attempt. */
export type ObservedRequest = {
	/** Whether the request generates text, so that it starts to answer when its prompt has been read. */
	readonly isGeneration: boolean;
	/** Prompt tokens that the replica has to read. */
	readonly unreadTokens: number;
};

/** The load reports of one attempt. */
export class LoadObservation {
	/**
	 * @param services - Dependencies.
	 * @param replica - The replica that the request is sent to now.
	 * @param request - The request.
	 * @returns An observation.
	 */
	static begin(services: LoadObservationServices, replica: Replica, request: ObservedRequest): LoadObservation {
		return new LoadObservation(services, replica, request);
	}

	private readonly sentAt: number;
	/** Milliseconds to the first byte that the load report promised; `undefined` without a report. */
	private readonly promised: number | undefined;

	private constructor(private readonly services: LoadObservationServices, private readonly replica: Replica, request: ObservedRequest) {
		this.sentAt = services.clock.monotonic();
		this.promised = this.readPromise(request);
	}

	/** @param load - The load that the replica states in the head of its answer. */
	recordHead(load: AnswerHead['load']): void {
		const {loads, metrics, scheduling} = this.services;
		const {entry: {id, service}, start, ownWork} = this.replica;
		if (load === 'unreadable') {
			metrics.unreadableLoadReports.inc({service});
			loads.recordUnreadable(service, start);
		} else if (load) {
			const expected = loads.pace(start);
			loads.record(service, start, load, ownWork.requests);
			if (load.pace !== undefined && scheduling.placesByCost(service)) {
				scheduling.backlogs.recordPace({id, start}, expected, load.pace);
			}
		}
	}

	/** Records that the answer starts now, and compares the time that it took with that promised. */
	recordStart(): void {
		const {clock, loads} = this.services;
		if (this.promised !== undefined) {
			loads.recordDuration(this.replica.start, clock.monotonic() - this.sentAt, this.promised);
		}
	}

	private readPromise({isGeneration, unreadTokens}: ObservedRequest): number | undefined {
		const {loads, demands, metrics} = this.services;
		const {entry: {service}, start} = this.replica;
		const report = loads.latest(start);
		if (!report) {
			return undefined;
		}

		metrics.loadReportAge.observe({service}, report.age / millisecondsPerSecond);
		const {duration, readRate} = demands.of(service);
		const occupancy = duration || defaultServiceTime;
		const readTime = minReadTime + (unreadTokens / ((readRate / millisecondsPerSecond) || defaultReadRate));
		return promisedStart(report.load, loads.pace(start), {ownWork: isGeneration ? readTime : occupancy, occupancy});
	}
}
