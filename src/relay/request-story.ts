/**
 * What became of one request: told once, as a line of the log and in the metrics.
 */
import type {EventFields} from '../base/event-log.js';
import type {Refusal} from '../base/verdict.js';
import type {Route, ClientAccount} from '../routes/route-table.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {ClientAnswer} from './client-answer.js';
import type {RequestHead} from './relay-format.js';
import type {RelayRun} from './relay-run.js';
import type {RelayServices} from './relay-services.js';

/** What governs a request. */
export type Governed = {
	readonly route: Route;
	/** `undefined` where no key is needed. */
	readonly clientAccount: ClientAccount | undefined;
};

/** What a story begins with. */
export type StoryBeginning = {
	readonly services: RelayServices;
	readonly head: RequestHead;
	readonly client: ClientAnswer;
	/** Monotonic milliseconds. */
	readonly receivedAt: number;
};

const millisecondsPerSecond = 1000;

/** The story of one request; what is not known yet is absent. */
export class RequestStory {
	/**
	 * @param beginning - What it begins with.
	 * @returns A story that has only begun.
	 */
	static create(beginning: StoryBeginning): RequestStory {
		return new RequestStory(beginning);
	}

	governed: Governed | undefined;
	admitted: AdmittedRequest | undefined;
	run: RelayRun | undefined;

	private constructor(private readonly beginning: StoryBeginning) {}

	private get kind(): string {
		return this.governed?.route.kind ?? 'none';
	}

	/** Milliseconds from the request to the first byte of the answer that counts. */
	private get firstByte(): number | undefined {
		const at = this.run?.story.firstByteAt;
		return at === undefined ? undefined : at - this.beginning.receivedAt;
	}

	private get duration(): number {
		return this.beginning.services.clock.monotonic() - this.beginning.receivedAt;
	}

	/** Tells that the request was answered. */
	tellAnswered(): void {
		this.count('answered');
		this.beginning.services.log.write('requestAnswered', this.fields());
	}

	/** Tells that the client left. */
	tellLeft(): void {
		this.count('left');
		this.beginning.services.log.write('clientLeft', this.fields());
	}

	/** @param refusal - Why the request was given up on. */
	tellRefused(refusal: Refusal): void {
		const {reason, verdict, detail, retryAfter} = refusal;
		this.count('refused');
		this.beginning.services.metrics.refusals.inc({reason, verdict});
		this.beginning.services.log.write('requestRefused', {
			...this.fields(), ...this.quotaFields(refusal), reason, verdict, detail, retryAfter,
		});
	}

	private count(outcome: string): void {
		const {metrics} = this.beginning.services;
		const {kind, firstByte} = this;
		metrics.requests.inc({kind, outcome});
		metrics.duration.observe({kind}, this.duration / millisecondsPerSecond);
		if (firstByte !== undefined) {
			metrics.firstByte.observe({kind}, firstByte / millisecondsPerSecond);
		}
	}

	private fields(): EventFields {
		const {services: {table}, head, client} = this.beginning;
		const {firstByte} = this;
		return {
			request: head.id,
			route: this.governed?.route.name,
			clientAccount: this.governed?.clientAccount?.name,
			service: this.admitted?.service,
			units: this.admitted?.units,
			status: client.status,
			version: table.version,
			proofAge: Math.round(table.proofAge),
			firstByte: firstByte === undefined ? undefined : Math.round(firstByte),
			took: Math.round(this.duration),
			bytes: client.bytes,
			...this.runFields(),
		};
	}

	/** What a refusal for a quota rests on, and how old that is. */
	private quotaFields({reason}: Refusal): EventFields {
		const clientAccount = this.governed?.clientAccount;
		const basis = reason === 'ceiling-reached' && clientAccount ? this.beginning.services.quota.basisOf(clientAccount.name) : undefined;
		return basis
			? {
				quotaLevel: basis.level, quotaShare: basis.share, quotaToldAge: basis.toldAge, heardPart: basis.heardPart,
			}
			: {};
	}

	private runFields(): EventFields {
		const {run} = this;
		return run
			? {
				verdict: run.verdict,
				replica: run.story.replica,
				tries: run.story.tries,
				refusedConnections: run.story.refusedConnections === 0 ? undefined : run.story.refusedConnections,
				keptFrom: run.story.keptFrom === 0 ? undefined : run.story.keptFrom,
				missingFor: run.story.missingFor,
				failures: run.story.failures === '' ? undefined : run.story.failures,
				...run.streamFields,
				fingerprint: run.suspicion.told,
				standing: run.suspicion.standing === 'sound' ? undefined : run.suspicion.standing,
			}
			: {};
	}
}
