/**
 * Writes a record to the caller as server-sent events. The id of an event is its position, so that the caller can resume with `Last-Event-ID`.
 */
import type {ServerResponse} from 'node:http';
import type {RecordListener, RequestRecord} from '../records/request-record.js';
import {problemOf, sendProblem} from './problem.js';

const doneEvent = 'data: [DONE]\n\n';

/** The record to write, and the options of the request. */
export type EventStreamPlan = {
	readonly record: RequestRecord;
	/** Number of events that the caller already has. */
	readonly from: number;
	/** Whether the caller asked for a usage event at the end. */
	readonly wantsUsage: boolean;
	/** Called when everything is written. */
	readonly onEnd: () => void;
};

/** Writes one record to one response. */
export class EventStream implements RecordListener {
	/**
	 * @param response - The response; its head must not have been sent.
	 * @param plan - The record to write, and the options of the request.
	 * @returns The stream, after writing the events that the record already holds.
	 */
	static create(response: ServerResponse, plan: EventStreamPlan): EventStream {
		const stream = new EventStream(response, plan);
		stream.begin();
		return stream;
	}

	private constructor(private readonly response: ServerResponse, private readonly plan: EventStreamPlan) {}

	onEvents(events: readonly string[], firstIndex: number): boolean {
		this.sendHead();
		const isReady = this.response.write(events.length === 1
			? `id: ${firstIndex + 1}\n${events[0]!}`
			: events.map((event, index) => `id: ${firstIndex + index + 1}\n${event}`).join(''));
		if (!isReady) {
			this.response.once('drain', () => {
				this.plan.record.notifyDrained();
			});
		}

		return isReady;
	}

	onEnd(): void {
		const {record, wantsUsage, onEnd} = this.plan;
		if (record.refusal) {
			this.sendRefusal();
		} else {
			this.sendHead();
			this.response.end(wantsUsage && record.usageEvent !== undefined ? record.usageEvent + doneEvent : doneEvent);
		}

		onEnd();
	}

	private begin(): void {
		const {record, from} = this.plan;
		const pending = record.events.slice(from);
		if (pending.length > 0) {
			this.onEvents(pending, from);
		}

		if (record.state === 'finished' || record.state === 'refused') {
			this.onEnd();
		}
	}

	private sendHead(): void {
		if (this.response.headersSent) {
			return;
		}

		this.response.writeHead(200, {
			'Content-Type': 'text/event-stream; charset=utf-8',
			'Cache-Control': 'no-store',
			'X-Accel-Buffering': 'no',
			'Waydrift-Request': this.plan.record.origin.key,
		});
	}

	private sendRefusal(): void {
		const refusal = this.plan.record.refusal!;
		if (this.response.headersSent) {
			this.response.end(`event: error\ndata: ${JSON.stringify({...problemOf(refusal), location: refusal.location, retryAfter: refusal.retryAfter})}\n\n`);
		} else {
			sendProblem(this.response, refusal);
		}
	}
}
