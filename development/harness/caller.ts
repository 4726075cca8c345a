/**
 * A client that follows docs/CALLERS.md: it sends an idempotency key with each request, resumes streams, retries after
 * the time in `Retry-After`, and compares every response with the deterministic output of the stand-ins.
 */
import {
	Agent, request, type IncomingMessage,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	expectedAnswer, seedOf, tokenEvent, type ChatMessage, type TokenFrame,
} from '../standins/tokens.js';

/** The outcome of a request, as its caller classifies it. */
export type Judgement =
	| {readonly kind: 'answered'}
	| {readonly kind: 'refused'; readonly reason: string; readonly verdict: string}
	/** The request was accepted but never answered. */
	| {readonly kind: 'lost'; readonly detail: string}
	/** The response belongs to another request, or has missing or duplicate parts. */
	| {readonly kind: 'misdelivered'; readonly detail: string};

/** Latencies of a request. */
export type Timing = {
	/** Milliseconds from the start of the request to the first token. */
	readonly firstToken: number;
	/** Milliseconds between tokens. */
	readonly tokenIntervals: readonly number[];
};

/** The outcome of a request with its measurements. */
export type Result = {
	readonly judgement: Judgement;
	readonly timing: Timing;
	/** Number of attempts, including the first. */
	readonly tries: number;
	/** Number of times a partial response was discarded and requested again from the beginning. */
	readonly restarts: number;
};

/** A chat completion request. */
export type Chat = {
	readonly model: string;
	readonly messages: readonly ChatMessage[];
	readonly maximumTokens: number;
	readonly isStreamed: boolean;
	readonly key: string;
};

/** A call of a plain service. */
export type Call = {
	readonly service: string;
	readonly path: string;
	readonly key: string;
	readonly body: string;
};

type Problem = {readonly reason: string; readonly verdict: string; readonly retryAfter?: number};

type Head = {readonly incoming: IncomingMessage};

const agent = new Agent({keepAlive: true, maxSockets: Infinity});
/** Maximum number of attempts for a request, after which it counts as lost. */
const maxAttempts = 30;
/** Maximum number of polls for a response that another box is producing. */
const maxPolls = 100;
/** Milliseconds before the next attempt after a broken connection. */
const reconnectDelay = 100;
/** Upper bound in milliseconds on the delay that `Retry-After` asks for. */
const maxRetryDelay = 2000;
const blankLine = '\n\n';
const doneEvent = `data: [DONE]${blankLine}`;
const errorStart = 'event: error\n';

/** Sends requests to the entry boxes in turn, as a load balancer does. */
export class Caller {
	/**
	 * @param apiKey - API key of the client account.
	 * @param ports - Returns the client-facing TCP ports of the ready boxes; called for each attempt.
	 * @returns The caller.
	 */
	static create(apiKey: string, ports: () => readonly number[]): Caller {
		return new Caller(apiKey, ports);
	}

	private requestCount = 0;

	private constructor(private readonly apiKey: string, private readonly ports: () => readonly number[]) {}

	/**
	 * Requests a chat completion and retries until it is answered or permanently refused.
	 *
	 * @param chat - The request.
	 * @returns How it ended.
	 */
	async chat(chat: Chat): Promise<Result> {
		const receiver = new StreamReceiver(chat);
		for (let tries = 1; tries <= maxAttempts; tries++) {
			const ended = await this.attemptChat(chat, receiver);
			if (ended) {
				return {
					judgement: ended, timing: receiver.timing, tries, restarts: receiver.restarts,
				};
			}
		}

		return {
			judgement: {kind: 'lost', detail: `no outcome after ${maxAttempts} attempts`}, timing: receiver.timing, tries: maxAttempts, restarts: receiver.restarts,
		};
	}

	/**
	 * Calls a plain service; retries after a refusal only if it says that the call did not run.
	 *
	 * @param call - The call.
	 * @returns How it ended.
	 */
	async call(call: Call): Promise<Result> {
		const startedAt = performance.now();
		const result = (judgement: Judgement, tries: number): Result => ({
			judgement, tries, restarts: 0, timing: {firstToken: performance.now() - startedAt, tokenIntervals: []},
		});
		for (let tries = 1; tries <= maxAttempts; tries++) {
			const answer = await this.send(`/v1/services/${call.service}${call.path}`, call.body, {'Idempotency-Key': call.key});
			if (!answer) {
				await delay(reconnectDelay);
				continue;
			}

			const text = await readText(answer.incoming);
			if (text === undefined) {
				continue;
			}

			if (answer.incoming.statusCode === 200) {
				return result(judgeCall(call, text), tries);
			}

			const problem = JSON.parse(text) as Problem;
			if (!await waitForRetry(problem, answer.incoming)) {
				return result({kind: 'refused', reason: problem.reason, verdict: problem.verdict}, tries);
			}
		}

		return result({kind: 'lost', detail: `no outcome after ${maxAttempts} attempts`}, maxAttempts);
	}

	/** @returns The outcome, or `undefined` if another attempt is needed. */
	private async attemptChat(chat: Chat, receiver: StreamReceiver): Promise<Judgement | undefined> {
		const body = JSON.stringify({
			model: chat.model, messages: chat.messages, max_tokens: chat.maximumTokens, stream: chat.isStreamed,
		});
		const answer = await this.send('/v1/chat/completions', body, {
			'Idempotency-Key': chat.key,
			...(receiver.position > 0 ? {'Last-Event-ID': String(receiver.position)} : {}),
		});
		if (!answer) {
			await delay(reconnectDelay);
			return undefined;
		}

		const {incoming} = answer;
		if (incoming.statusCode !== 200) {
			const text = await readText(incoming);
			return text === undefined ? undefined : this.handleRefusal(JSON.parse(text) as Problem, incoming, chat, receiver);
		}

		if (!chat.isStreamed) {
			const text = await readText(incoming);
			return text === undefined ? undefined : judgeCompletion(chat, text);
		}

		const ended = await receiver.receive(incoming);
		if (ended !== 'done' && !receiver.hasFault) {
			await delay(reconnectDelay);
			return undefined;
		}

		return receiver.judge();
	}

	private async handleRefusal(problem: Problem, incoming: IncomingMessage, chat: Chat, receiver: StreamReceiver): Promise<Judgement | undefined> {
		if (problem.reason === 'record-lost') {
			// Discards the partial response and requests it again: a record may be lost if its box stops without notice.
			receiver.restart();
			return undefined;
		}

		if (!await waitForRetry(problem, incoming)) {
			return {kind: 'refused', reason: problem.reason, verdict: problem.verdict};
		}

		return problem.reason === 'moved-to-peer' && !chat.isStreamed ? this.collect(chat, receiver) : undefined;
	}

	/** Polls for a response that another box is producing. */
	private async collect(chat: Chat, receiver: StreamReceiver): Promise<Judgement | undefined> {
		for (let polls = 0; polls < maxPolls; polls++) {
			const answer = await this.send(`/v1/requests/${chat.key}`, undefined, {});
			const text = answer && await readText(answer.incoming);
			if (text !== undefined && answer?.incoming.statusCode === 200) {
				const status = JSON.parse(text) as {readonly state: string; readonly answer?: unknown};
				if (status.state === 'finished') {
					return judgeCompletion(chat, JSON.stringify(status.answer));
				}
			}

			await delay(reconnectDelay);
		}

		receiver.restart();
		return undefined;
	}

	private async send(path: string, body: string | undefined, headers: Readonly<Record<string, string>>): Promise<Head | undefined> {
		const ports = this.ports();
		this.requestCount++;
		const port = ports[this.requestCount % Math.max(1, ports.length)];
		if (port === undefined) {
			return undefined;
		}

		return new Promise(resolve => {
			request({
				host: '127.0.0.1',
				port,
				path,
				method: body === undefined ? 'GET' : 'POST',
				agent,
				headers: {...headers, Authorization: `Bearer ${this.apiKey}`, 'Content-Type': 'application/json'},
			}, incoming => {
				resolve({incoming});
			}).once('error', () => {
				resolve(undefined);
			}).end(body);
		});
	}
}

/** Assembles one stream from any number of connections. */
class StreamReceiver {
	position = 0;
	restarts = 0;
	readonly timing: {firstToken: number; readonly tokenIntervals: number[]} = {firstToken: Number.NaN, tokenIntervals: []};
	private answerId: string | undefined;
	private readonly frame: Omit<TokenFrame, 'id'>;
	private fault: string | undefined;
	private readonly startedAt = performance.now();
	private lastAt = 0;

	constructor(private readonly chat: Chat) {
		// A client may append the kind to the service name; engines receive the service name alone.
		const [model = ''] = chat.model.split(':', 1);
		this.frame = {model, seed: seedOf(chat.messages), end: chat.maximumTokens};
	}

	/** Whether the stream contained anything that a correct stream never contains. */
	get hasFault(): boolean {
		return this.fault !== undefined;
	}

	restart(): void {
		this.restarts++;
		this.position = 0;
		this.answerId = undefined;
	}

	async receive(incoming: IncomingMessage): Promise<'done' | 'error' | 'cut'> {
		let rest = '';
		let ended: 'done' | 'error' | 'cut' = 'cut';
		incoming.setEncoding('utf8');
		return new Promise(resolve => {
			incoming.on('data', (chunk: string) => {
				const parts = (rest + chunk).split(blankLine);
				rest = parts.pop()!;
				for (const part of parts) {
					if (ended !== 'cut') {
						this.fault ??= `event after the end of the stream: "${part}"`;
					}

					ended = this.handleEvent(part + blankLine) ?? ended;
				}
			});
			incoming.once('close', () => {
				// A complete HTTP response must end with the final event; only a broken connection may leave a partial event.
				if (incoming.complete && (ended === 'cut' || rest !== '')) {
					this.fault ??= `HTTP response complete after event ${this.position}, without the final event; unparsed rest: "${rest}"`;
				}

				resolve(ended);
			});
			incoming.once('error', () => {
				resolve('cut');
			});
		});
	}

	judge(): Judgement {
		if (this.fault !== undefined) {
			return {kind: 'misdelivered', detail: this.fault};
		}

		return this.position === this.chat.maximumTokens
			? {kind: 'answered'}
			: {kind: 'misdelivered', detail: `expected ${this.chat.maximumTokens} tokens, got ${this.position}`};
	}

	private handleEvent(event: string): 'done' | 'error' | undefined {
		if (event === doneEvent) {
			return 'done';
		}

		if (event.startsWith(errorStart)) {
			return 'error';
		}

		// The engine chooses the response id, which is the same in all events; the rest of each event is known in advance.
		this.answerId ??= /"id":"(?<id>chatcmpl-[\w\-]+)"/v.exec(event)?.groups?.id;
		const expected = `id: ${this.position + 1}\n${tokenEvent({...this.frame, id: this.answerId ?? ''}, this.position)}`;
		if (event !== expected) {
			this.fault ??= `unexpected event after event ${this.position}: ${JSON.stringify(event)}`;
		}

		this.position++;
		this.recordTokenTime();
		return undefined;
	}

	private recordTokenTime(): void {
		const now = performance.now();
		if (this.lastAt === 0) {
			this.timing.firstToken = now - this.startedAt;
		} else {
			this.timing.tokenIntervals.push(now - this.lastAt);
		}

		this.lastAt = now;
	}
}

async function readText(incoming: IncomingMessage): Promise<string | undefined> {
	try {
		const chunks: string[] = [];
		incoming.setEncoding('utf8');
		for await (const chunk of incoming) {
			chunks.push(chunk as string);
		}

		return chunks.join('');
	} catch {
		return undefined;
	}
}

/** Waits for the time in `Retry-After`, with jitter. @returns Whether to retry. */
async function waitForRetry(problem: Problem, incoming: IncomingMessage): Promise<boolean> {
	const seconds = Number(incoming.headers['retry-after'] ?? Number.NaN);
	const isWorthwhile = problem.verdict === 'not-run' || problem.reason === 'claim-held' || problem.reason === 'moved-to-peer';
	if (!isWorthwhile || Number.isNaN(seconds)) {
		return false;
	}

	await delay(Math.min(maxRetryDelay, seconds * 1000) * (0.5 + (Math.random() / 2)));
	return true;
}

function judgeCompletion(chat: Chat, text: string): Judgement {
	const {choices} = JSON.parse(text) as {readonly choices: ReadonlyArray<{readonly message: {readonly content: string}}>};
	const {content} = choices[0]!.message;
	return content === expectedAnswer(chat.messages, chat.maximumTokens)
		? {kind: 'answered'}
		: {kind: 'misdelivered', detail: `got "${content.slice(0, 60)}"`};
}

function judgeCall(call: Call, text: string): Judgement {
	const {key, body} = JSON.parse(text) as {readonly key: string; readonly body: string};
	return key === call.key && body === call.body
		? {kind: 'answered'}
		: {kind: 'misdelivered', detail: `sent key ${call.key}, response has key ${key}`};
}
