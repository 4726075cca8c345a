/**
 * Stand-in for a model engine: OpenAI-style chat completions with continuous batching, a bounded prefix cache,
 * a delayed load report, resumption, cancellation, KV export and import, cache events with gaps, fenced
 * orders and departure. Development only.
 */
import type {Server, ServerResponse} from 'node:http';
import {createRandom} from '../harness/seeded-random.js';
import {EventWriter, type WritingTraits} from './event-writer.js';
import {
	portOf, sendJson, startStandin, type StandinRequest,
} from './standin-server.js';
import {
	blockTokens, countPromptTokens, promptBlocks, seedOf, tokenAt, tokenEvent, type ChatMessage,
} from './tokens.js';

/** How an engine behaves. */
export type EngineTraits = {
	/** Milliseconds between two steps; each running request past its prompt generates one token per step. */
	readonly step: number;
	/** Maximum number of requests that run concurrently; further requests queue. */
	readonly batch: number;
	/** Prompt tokens processed per step, over all requests. */
	readonly prefill: number;
	/** Capacity of the prefix cache in blocks. */
	readonly cacheBlocks: number;
	/** Interval of the load report and delay of cache events, in milliseconds. */
	readonly lag: number;
	/** Whether orders of an older generation than the last accepted one are refused. */
	readonly isFenced: boolean;
	/** How events are split into pieces, and how often the connection breaks inside one. */
	readonly writing: WritingTraits;
};

/** Traits of a small engine, for test machines. */
export const defaultEngineTraits: EngineTraits = {
	step: 10, batch: 16, prefill: 256, cacheBlocks: 512, lag: 500, isFenced: true, writing: {seed: 1, mostPieces: 1, broken: 0},
};

type CompletionInput = {
	readonly model: string;
	readonly messages: readonly ChatMessage[];
	readonly max_tokens?: number;
	readonly stream?: boolean;
	readonly stream_options?: {readonly include_usage?: boolean};
	readonly priority?: number;
	readonly request_id?: string;
	readonly resume?: {readonly offset: number};
};

type Sequence = {
	readonly id: string;
	readonly input: CompletionInput;
	readonly response: ServerResponse;
	readonly writer: EventWriter;
	readonly seed: number;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly end: number;
	prefillLeft: number;
	position: number;
	text: string;
};

type CacheEvent = {readonly sequence: number; readonly kind: 'stored' | 'evicted'; readonly block: number};

/** Tokens of a response whose request has no `max_tokens`. */
const defaultMaximumTokens = 16;
/** Each cache event whose sequence number is a multiple of this is lost. */
const gapEvery = 50;

/** The stand-in for a model engine. */
export class ModelEngineStandin {
	/**
	 * @param port - TCP port, or zero for any.
	 * @param traits - How it behaves.
	 * @returns The stand-in, listening.
	 */
	static async create(port: number, traits: EngineTraits = defaultEngineTraits): Promise<ModelEngineStandin> {
		const engine = new ModelEngineStandin(traits);
		engine.server = await startStandin(port, async request => engine.answer(request));
		return engine;
	}

	server!: Server;
	/** Counters for test oracles and measurements; `prefilled`, `cached` and `generated` count tokens. */
	readonly totals = {
		prefilled: 0, cached: 0, generated: 0, started: 0, cancelled: 0, orders: 0,
	};

	private readonly running = new Set<Sequence>();
	private readonly queue: Sequence[] = [];
	private readonly cache = new Map<number, true>();
	private readonly imported = new Map<string, number>();
	private readonly exportable = new Map<string, number>();
	private readonly cacheEvents: CacheEvent[] = [];
	private readonly timers: NodeJS.Timeout[];
	private load = {running: 0, queued: 0, isLeaving: false};
	private isLeaving = false;
	private generation = 0;

	private constructor(private readonly traits: EngineTraits) {
		this.timers = [
			setInterval(() => {
				this.step();
			}, traits.step),
			setInterval(() => {
				this.load = {running: this.running.size, queued: this.queue.length, isLeaving: this.isLeaving};
			}, traits.lag),
		];
	}

	get port(): number {
		return portOf(this.server);
	}

	close(): void {
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		this.server.close();
		this.server.closeAllConnections();
	}

	private async answer(request: StandinRequest): Promise<void> {
		const {url, body, response} = request;
		switch (url.pathname) {
			case '/v1/chat/completions': {
				this.accept(request);
				break;
			}

			case '/load': {
				sendJson(response, 200, this.load);
				break;
			}

			case '/cache-events': {
				const after = Number(url.searchParams.get('after') ?? 0);
				sendJson(response, 200, {events: this.cacheEvents.filter(event => event.sequence > after && event.sequence % gapEvery !== 0)});
				break;
			}

			case '/kv/export': {
				const tokens = this.exportable.get(url.searchParams.get('request') ?? '');
				sendJson(response, tokens === undefined ? 404 : 200, {tokens});
				break;
			}

			case '/kv/import': {
				await this.importCache(JSON.parse(body) as {readonly request: string; readonly host: string; readonly port: number}, response);
				break;
			}

			case '/orders': {
				this.handleOrder(JSON.parse(body) as {readonly generation: number}, response);
				break;
			}

			case '/control/leave': {
				this.leave((JSON.parse(body) as {readonly notice?: number}).notice);
				sendJson(response, 200, {});
				break;
			}

			case '/control/totals': {
				sendJson(response, 200, this.totals);
				break;
			}

			default: {
				sendJson(response, 404);
			}
		}
	}

	private accept({body, response}: StandinRequest): void {
		if (this.isLeaving) {
			sendJson(response, 503, {error: {code: 'leaving', message: 'this engine is leaving'}});
			return;
		}

		const input = JSON.parse(body) as CompletionInput;
		const id = input.request_id ?? `${Date.now()}-${this.totals.started}`;
		const offset = input.resume?.offset ?? 0;
		const promptTokens = countPromptTokens(input.messages);
		const cachedTokens = this.cachedTokens(id, input.messages, promptTokens + offset);
		const sequence: Sequence = {
			id,
			input,
			response,
			writer: EventWriter.create(response, this.traits.writing, createRandom(this.traits.writing.seed + this.totals.started)),
			promptTokens,
			cachedTokens,
			seed: seedOf(input.messages),
			end: input.max_tokens ?? defaultMaximumTokens,
			prefillLeft: promptTokens + offset - cachedTokens,
			position: offset,
			text: '',
		};
		this.totals.started++;
		this.totals.cached += cachedTokens;
		this.queue.push(sequence);
		this.queue.sort((left, right) => (left.input.priority ?? 0) - (right.input.priority ?? 0));
		response.once('close', () => {
			this.drop(sequence);
		});
	}

	/** Counts the prompt tokens that need no prefill, from the prefix cache or from a KV import for this request, and caches the blocks of the prompt. */
	private cachedTokens(id: string, messages: readonly ChatMessage[], needed: number): number {
		const blocks = promptBlocks(messages);
		const missing = blocks.findIndex(block => !this.cache.has(block));
		const cached = (missing === -1 ? blocks.length : missing) * blockTokens;
		for (const block of blocks) {
			this.store(block);
		}

		return Math.min(needed, Math.max(cached, this.imported.get(id) ?? 0));
	}

	private store(block: number): void {
		if (this.cache.delete(block)) {
			this.cache.set(block, true);
			return;
		}

		this.cache.set(block, true);
		this.publish('stored', block);
		if (this.cache.size > this.traits.cacheBlocks) {
			const [oldest] = this.cache.keys();
			this.cache.delete(oldest!);
			this.publish('evicted', oldest!);
		}
	}

	private publish(kind: CacheEvent['kind'], block: number): void {
		setTimeout(() => {
			this.cacheEvents.push({sequence: this.cacheEvents.length + 1, kind, block});
		}, this.traits.lag).unref();
	}

	private drop(sequence: Sequence): void {
		const index = this.queue.indexOf(sequence);
		if (index !== -1) {
			this.queue.splice(index, 1);
		}

		if (this.running.delete(sequence) || index !== -1) {
			this.totals.cancelled++;
			this.exportable.set(sequence.id, sequence.promptTokens + sequence.position);
		}
	}

	/** Runs one step of the batch: spends the prefill budget on prompts and generates a token for each request that is past its prompt. */
	private step(): void {
		while (this.running.size < this.traits.batch && this.queue.length > 0) {
			this.running.add(this.queue.shift()!);
		}

		let budget = this.traits.prefill;
		for (const sequence of this.running) {
			const part = Math.min(budget, sequence.prefillLeft);
			sequence.prefillLeft -= part;
			budget -= part;
			this.totals.prefilled += part;
			if (sequence.prefillLeft === 0) {
				this.emit(sequence);
			}
		}
	}

	private emit(sequence: Sequence): void {
		if (sequence.position < sequence.end) {
			const token = tokenAt(sequence.seed, sequence.position);
			sequence.position++;
			this.totals.generated++;
			this.send(sequence, token);
		}

		if (sequence.position >= sequence.end) {
			this.running.delete(sequence);
			this.finish(sequence);
		}
	}

	private send(sequence: Sequence, token: string): void {
		if (!sequence.input.stream) {
			sequence.text += token;
			return;
		}

		this.begin(sequence);
		sequence.writer.write(tokenEvent({...this.nameOf(sequence), seed: sequence.seed, end: sequence.end}, sequence.position - 1));
	}

	private begin({response}: Sequence): void {
		if (!response.headersSent) {
			response.writeHead(200, {'Content-Type': 'text/event-stream', 'Cache-Control': 'no-store'});
		}
	}

	private nameOf({id, input}: Sequence) {
		return {id: `chatcmpl-${id}`, model: input.model};
	}

	private frame(sequence: Sequence, object: string) {
		const {id, model} = this.nameOf(sequence);
		return {
			id, object, created: 0, model,
		};
	}

	private finish(sequence: Sequence): void {
		const {response} = sequence;
		const usage = {
			prompt_tokens: sequence.promptTokens,
			completion_tokens: sequence.end,
			total_tokens: sequence.promptTokens + sequence.end,
			prompt_tokens_details: {cached_tokens: sequence.cachedTokens},
		};
		if (!sequence.input.stream) {
			sendJson(response, 200, {
				...this.frame(sequence, 'chat.completion'),
				choices: [{index: 0, message: {role: 'assistant', content: sequence.text}, finish_reason: 'length'}],
				usage,
			});
			return;
		}

		this.begin(sequence);
		if (sequence.input.stream_options?.include_usage) {
			sequence.writer.write(`data: ${JSON.stringify({...this.frame(sequence, 'chat.completion.chunk'), choices: [], usage})}\n\n`);
		}

		sequence.writer.end('data: [DONE]\n\n');
	}

	private async importCache(from: {readonly request: string; readonly host: string; readonly port: number}, response: ServerResponse): Promise<void> {
		const tokens = await fetchExportedTokens(from);
		if (tokens !== undefined) {
			this.imported.set(from.request, tokens);
		}

		sendJson(response, tokens === undefined ? 502 : 200, {tokens});
	}

	private handleOrder(order: {readonly generation: number}, response: ServerResponse): void {
		if (this.traits.isFenced && order.generation < this.generation) {
			sendJson(response, 409, {error: 'a newer generation has given orders'});
			return;
		}

		this.generation = Math.max(this.generation, order.generation);
		this.totals.orders++;
		sendJson(response, 200, {});
	}

	private leave(notice: number | undefined): void {
		this.isLeaving = true;
		if (notice !== undefined) {
			setTimeout(() => {
				this.close();
			}, notice).unref();
		}
	}
}

/** @returns Number of tokens that another engine has cached for a request; `undefined` if it gives no complete response. */
async function fetchExportedTokens({host, port, request}: {readonly request: string; readonly host: string; readonly port: number}): Promise<number | undefined> {
	try {
		const answer = await fetch(`http://${host}:${port}/kv/export?request=${encodeURIComponent(request)}`);
		const {tokens} = await answer.json() as {readonly tokens?: number};
		return tokens;
	} catch {
		return undefined;
	}
}
