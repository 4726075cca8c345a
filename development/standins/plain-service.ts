/**
 * Stand-in for a plain service: counts executions per idempotency key and echoes each executed call. Development only.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Server} from 'node:http';
import {
	portOf, sendJson, startStandin, type StandinRequest,
} from './standin-server.js';

/** Delays and faults of calls; set by `POST /control/faults`. */
type Faults = {
	/** Milliseconds between the arrival of a call and its execution. */
	readonly before: number;
	/** Milliseconds between the execution and the response. */
	readonly after: number;
	/** Number of following calls whose connection is cut after execution. */
	readonly cutAnswers: number;
};

/** The stand-in for a plain service. */
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
	/** Number of executions by idempotency key: the test oracle for at-most-once execution. */
	readonly executions = new Map<string, number>();
	private faults: Faults = {before: 2, after: 0, cutAnswers: 0};
	private isLeaving = false;
	private running = 0;

	private constructor() {
		// Use create().
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
