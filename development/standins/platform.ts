/**
 * Stand-in for the platform: Object API, box list, reclaim notices and Cloud API, with fault injection.
 * One process; state in memory. Development only.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Server} from 'node:http';
import type {Box} from '../../src/external/box-list.js';
import {
	portOf, sendJson, startStandin, type StandinRequest,
} from './standin-server.js';

/** Rate limits of the platform's API, from its specification. */
const writesPerSecond = 100;
const readsPerSecond = 2000;

/** Injected faults, set by `POST /control/faults`. */
type Faults = {
	/** All APIs are unavailable: connections are cut. */
	readonly outage: boolean;
	/** Only the Object API is unavailable; the box list still answers. */
	readonly objectOutage: boolean;
	/** Milliseconds by which each call is delayed. */
	readonly delay: number;
	/** Number of following writes that take effect but get no response. */
	readonly loseAnswers: number;
	/** Milliseconds by which the box list lags. */
	readonly boxListLag: number;
	/** Requests to start a box are refused. */
	readonly refuseStarts: boolean;
};

type Entry = {readonly version: number; readonly value: string};

/** A token bucket: refills continuously at its rate, holds one second's tokens; each call takes one token. */
class RateLimit {
	private tokens: number;
	private refilledAt = performance.now();

	constructor(private readonly rate: number) {
		this.tokens = rate;
	}

	tryAcquire(): boolean {
		const now = performance.now();
		this.tokens = Math.min(this.rate, this.tokens + ((now - this.refilledAt) / 1000 * this.rate));
		this.refilledAt = now;
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}

/** Callers that wait for a change of state. */
class Waiters {
	private waiting = new Set<() => void>();

	wake(): void {
		const woken = this.waiting;
		this.waiting = new Set();
		for (const resume of woken) {
			resume();
		}
	}

	async wait(milliseconds: number): Promise<void> {
		let resume: () => void = () => undefined;
		const changed = new Promise<void>(resolve => {
			resume = resolve;
		});
		this.waiting.add(resume);
		const timer = setTimeout(resume, milliseconds);
		await changed;
		clearTimeout(timer);
		this.waiting.delete(resume);
	}
}

/** The stand-in for the platform. */
export class PlatformStandin {
	/**
	 * @param port - TCP port, or zero for any.
	 * @returns The stand-in, listening.
	 */
	static async create(port: number): Promise<PlatformStandin> {
		const standin = new PlatformStandin();
		standin.server = await startStandin(port, async request => standin.answer(request));
		return standin;
	}

	server!: Server;
	/** Number of calls by type, for measurements. */
	readonly calls = {reads: 0, writes: 0, throttled: 0};
	private readonly objects = new Map<string, Entry>();
	private readonly boxes = new Map<string, Box>();
	private readonly spares: Box[] = [];
	private readonly startTokens = new Map<string, Box>();
	private readonly notices: Array<{readonly box: string; readonly endsAt: number}> = [];
	private readonly waiters = new Waiters();
	private readonly writeLimit = new RateLimit(writesPerSecond);
	private readonly readLimit = new RateLimit(readsPerSecond);
	private faults: Faults = {
		outage: false, objectOutage: false, delay: 0, loseAnswers: 0, boxListLag: 0, refuseStarts: false,
	};

	private version = 0;
	private boxVersion = 0;
	private listing: {version: number; boxes: Box[]} = {version: 0, boxes: []};

	private constructor() {
		// Use create().
	}

	get port(): number {
		return portOf(this.server);
	}

	close(): void {
		this.waiters.wake();
		this.server.close();
		this.server.closeAllConnections();
	}

	private async answer(request: StandinRequest): Promise<void> {
		const {pathname} = request.url;
		if (pathname.startsWith('/control/')) {
			this.answerControl(request);
			return;
		}

		if (this.faults.outage || (this.faults.objectOutage && pathname.startsWith('/objects'))) {
			request.incoming.socket.destroy();
			return;
		}

		const limit = request.method === 'GET' ? this.readLimit : this.writeLimit;
		if (!limit.tryAcquire()) {
			this.calls.throttled++;
			sendJson(request.response, 429, {error: 'rate limit'});
			return;
		}

		this.calls[request.method === 'GET' ? 'reads' : 'writes']++;
		await delay(this.faults.delay);
		if (pathname.startsWith('/objects')) {
			await this.answerObject(request);
		} else if (pathname === '/boxes') {
			await this.answerBoxes(request);
		} else if (pathname === '/notices') {
			await this.answerNotices(request);
		} else if (pathname.startsWith('/cloud/boxes')) {
			this.answerCloud(request);
		} else {
			sendJson(request.response, 404);
		}
	}

	private async answerObject({method, url, body, response, incoming}: StandinRequest): Promise<void> {
		if (url.pathname === '/objects') {
			const prefix = url.searchParams.get('prefix') ?? '';
			sendJson(response, 200, {keys: [...this.objects.keys()].filter(key => key.startsWith(prefix))});
			return;
		}

		const key = decodeURIComponent(url.pathname.slice('/objects/'.length));
		if (method === 'PUT') {
			const expected = Number(url.searchParams.get('expected'));
			if ((this.objects.get(key)?.version ?? 0) !== expected) {
				sendJson(response, 409, {});
				return;
			}

			this.version++;
			const {version} = this;
			this.objects.set(key, {version, value: body});
			this.waiters.wake();
			if (this.faults.loseAnswers > 0) {
				this.faults = {...this.faults, loseAnswers: this.faults.loseAnswers - 1};
				incoming.socket.destroy();
				return;
			}

			sendJson(response, 200, {version});
			return;
		}

		const after = url.searchParams.get('after');
		const isPast = () => (this.objects.get(key)?.version ?? 0) > Number(after);
		if (after !== null && !await this.waitFor(isPast, url)) {
			sendJson(response, 204);
			return;
		}

		const entry = this.objects.get(key);
		sendJson(response, entry ? 200 : 404, {
			version: 0, value: '', ...entry, storeTime: Date.now(),
		});
	}

	private async waitFor(isDone: () => boolean, url: URL): Promise<boolean> {
		const endsAt = performance.now() + Number(url.searchParams.get('wait') ?? 0);
		while (!isDone() && performance.now() < endsAt && !this.faults.outage) {
			await this.waiters.wait(endsAt - performance.now());
		}

		return isDone();
	}

	private async answerBoxes({url, response}: StandinRequest): Promise<void> {
		const after = Number(url.searchParams.get('after') ?? 0);
		const isPast = () => this.listing.version > after;
		if (await this.waitFor(isPast, url)) {
			sendJson(response, 200, this.listing);
		} else {
			sendJson(response, 204);
		}
	}

	private async answerNotices({url, response}: StandinRequest): Promise<void> {
		const after = Number(url.searchParams.get('after') ?? 0);
		const isPast = () => this.notices.length > after;
		await this.waitFor(isPast, url);
		sendJson(response, 200, {
			position: this.notices.length,
			notices: this.notices.slice(after).map(({box, endsAt}) => ({box, remaining: Math.max(0, endsAt - performance.now())})),
		});
	}

	/** Starts and stops boxes; a start is idempotent by its token. */
	private answerCloud({method, url, body, response}: StandinRequest): void {
		if (method === 'DELETE') {
			this.boxes.delete(url.pathname.slice('/cloud/boxes/'.length));
			this.publishBoxes();
			sendJson(response, 204);
			return;
		}

		const wanted = JSON.parse(body) as {readonly token: string; readonly pool: string; readonly dataCentre: string};
		const index = this.spares.findIndex(box => box.pool === wanted.pool && box.dataCentre === wanted.dataCentre);
		const box = this.startTokens.get(wanted.token) ?? (this.faults.refuseStarts ? undefined : this.spares.splice(index, index === -1 ? 0 : 1)[0]);
		if (!box) {
			sendJson(response, 503, {error: 'no capacity'});
			return;
		}

		this.startTokens.set(wanted.token, box);
		this.boxes.set(box.id, box);
		this.publishBoxes();
		sendJson(response, 201, box);
	}

	private answerControl({url, body, response}: StandinRequest): void {
		const input = (body === '' ? {} : JSON.parse(body)) as Record<string, unknown>;
		switch (url.pathname) {
			case '/control/faults': {
				this.faults = {...this.faults, ...input};
				this.waiters.wake();
				break;
			}

			case '/control/boxes': {
				const box = input as unknown as Box;
				this.boxes.set(box.id, box);
				this.publishBoxes();
				break;
			}

			case '/control/spares': {
				this.spares.push(input as unknown as Box);
				break;
			}

			case '/control/remove': {
				this.boxes.delete(input.box as string);
				this.publishBoxes();
				break;
			}

			case '/control/reclaim': {
				this.reclaim(input.box as string, input.notice as number);
				break;
			}

			case '/control/calls': {
				sendJson(response, 200, this.calls);
				return;
			}

			default: {
				sendJson(response, 404);
				return;
			}
		}

		sendJson(response, 200, {});
	}

	private reclaim(id: string, notice: number): void {
		const box = this.boxes.get(id);
		if (!box) {
			return;
		}

		this.notices.push({box: id, endsAt: performance.now() + notice});
		this.boxes.set(id, {...box, state: 'leaving'});
		this.waiters.wake();
		this.publishBoxes();
	}

	/** Publishes the box list after the injected lag. */
	private publishBoxes(): void {
		this.boxVersion++;
		const listing = {version: this.boxVersion, boxes: [...this.boxes.values()]};
		setTimeout(() => {
			if (listing.version > this.listing.version) {
				this.listing = listing;
				this.waiters.wake();
			}
		}, this.faults.boxListLag).unref();
	}
}
