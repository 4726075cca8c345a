/**
 * Stand-in for a plain service: counts executions per key and answers with what it executed. Development only.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Server} from 'node:http';
import {
	portOf, sendJson, startStandin, type StandinRequest,
} from './standin-server.js';

/** What the service does with a call; set by `POST /control/faults`. */
type Faults = {
	/** Milliseconds before a call executes. */
	readonly before: number;
	/** Milliseconds between execution and answer. */
	readonly after: number;
	/** How many of the next answers are cut off after execution. */
	readonly cutAnswers: number;
};

/** A plain service. */
export class PlainServiceStandin {
	/**
	 * @param port - TCP port, or zero for any.
	 * @returns The stand-in, listening.
	 */
	static async create(port: number): Promise<PlainServiceStandin> {
		const service = new PlainServiceStandin();
		service.server = await startStandin(port, async request => service.answer(request));
		return service;
	}

	server!: Server;
	/** Executions by key: the oracle for "at most once". */
	readonly executions = new Map<string, number>();
	private faults: Faults = {before: 2, after: 0, cutAnswers: 0};
	private isLeaving = false;
	private running = 0;

	private constructor() {
		// Made by create().
	}

	get port(): number {
		return portOf(this.server);
	}

	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async answer(request: StandinRequest): Promise<void> {
		const {url, body, response} = request;
		switch (url.pathname) {
			case '/control/faults': {
				this.faults = {...this.faults, ...JSON.parse(body) as Partial<Faults>};
				sendJson(response, 200, {});

				break;
			}

			case '/control/executions': {
				sendJson(response, 200, Object.fromEntries(this.executions));

				break;
			}

			case '/control/leave': {
				this.leave((JSON.parse(body) as {readonly notice?: number}).notice);
				sendJson(response, 200, {});

				break;
			}

			case '/load': {
				sendJson(response, 200, {running: this.running, queued: 0, isLeaving: this.isLeaving});

				break;
			}

			default: {
				await this.execute(request);
			}
		}
	}

	private async execute({url, body, headers, response, incoming}: StandinRequest): Promise<void> {
		if (this.isLeaving) {
			sendJson(response, 503, {error: {code: 'leaving'}});
			return;
		}

		this.running++;
		await delay(this.faults.before);
		const key = String(headers['idempotency-key'] ?? '');
		const count = (this.executions.get(key) ?? 0) + 1;
		this.executions.set(key, count);
		await delay(this.faults.after);
		this.running--;
		if (this.faults.cutAnswers > 0) {
			this.faults = {...this.faults, cutAnswers: this.faults.cutAnswers - 1};
			incoming.socket.destroy();
			return;
		}

		sendJson(response, 200, {
			key, path: url.pathname, executed: count, body,
		});
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
