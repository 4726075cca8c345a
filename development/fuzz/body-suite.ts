/**
 * Invariants of the memory of request bodies: it stays under its limit, each body is read whole or refused as not run, none waits for ever, and everything is
 * freed. Clients send any number of bytes, in known and unknown lengths, and stop anywhere.
 */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {RequestBodies} from '../../src/resources/request-bodies.js';
import {BodyRequest} from '../harness/body-request.js';
import {step, type Suite} from './suite.js';
import {VirtualClock, type VirtualTime} from './virtual-time.js';

const limit = 1_000_000;
const maxSize = 300_000;
/** Milliseconds after which no body waits for memory any more, since each has been assigned its memory or was refused. */
const maxWait = 60_000;

/** One client. */
type Client = {readonly request: BodyRequest; readonly length: number; readonly isKnown: boolean; hasEnded: boolean};

class BodyWorld {
	faults = 0;
	readonly bodies: RequestBodies;
	readonly clients: Client[] = [];

	constructor(readonly time: VirtualTime) {
		this.bodies = RequestBodies.create(VirtualClock.create(time), limit, () => {
			this.faults++;
		});
	}

	begin(length: number, isKnown: boolean): void {
		const request = BodyRequest.create(this.bodies, isKnown ? length : undefined).read(maxSize);
		this.clients.push({
			request, length, isKnown, hasEnded: false,
		});
	}

	/** Sends bytes of a client that is being read; a connection that is not read delivers none. */
	send(index: number, bytes: number): void {
		const client = this.clients.at(index % Math.max(1, this.clients.length));
		if (!client || client.hasEnded || !client.request.body.isReceiving) {
			return;
		}

		const {request, length} = client;
		const count = Math.min(bytes, length - request.pushed);
		request.push(count);
		if (request.pushed === length) {
			client.hasEnded = true;
			request.end();
		}

		this.check();
	}

	release(index: number): void {
		this.clients.at(index % Math.max(1, this.clients.length))?.request.body.release();
		this.check();
	}

	check(): void {
		assert.ok(this.bodies.used <= limit, `${this.bodies.used} bytes are in use`);
		for (const {request, length} of this.clients) {
			assert.ok(request.outcome === 'none' || request.outcome === `${length} bytes` || request.outcome.endsWith('not-run'), request.outcome);
		}
	}
}

const index = fc.nat({max: 30});
const length = fc.oneof(fc.integer({min: 1, max: 2000}), fc.integer({min: 60_000, max: 70_000}), fc.integer({min: 100_000, max: maxSize + 10_000}));
const steps = fc.oneof(
	{
		weight: 4, arbitrary: fc.tuple(length, fc.boolean()).map(([bytes, isKnown]) => step<BodyWorld>(`a body of ${bytes} bytes, ${isKnown ? 'announced' : 'in chunks'}`, world => {
			world.begin(bytes, isKnown);
		})),
	},
	{
		weight: 8, arbitrary: fc.tuple(index, fc.integer({min: 1, max: 65_536})).map(([client, bytes]) => step<BodyWorld>(`client ${client} sends ${bytes} bytes`, world => {
			world.send(client, bytes);
		})),
	},
	{
		weight: 2, arbitrary: index.map(client => step<BodyWorld>(`request ${client} is answered`, world => {
			world.release(client);
		})),
	},
	{
		weight: 2, arbitrary: fc.integer({min: 1, max: 8000}).map(milliseconds => step<BodyWorld>(`${milliseconds} ms pass`, async ({time}) => time.advance(milliseconds))),
	},
);

/** Bodies of requests that share the memory of a process. */
export const bodySuite: Suite<BodyWorld> = {
	name: 'bodies',
	steps,
	create: time => new BodyWorld(time),
	async check(world, time) {
		await time.advance(maxWait);
		world.check();
		assert.equal(world.bodies.waiting, 0, 'bodies that wait');
		for (const {request} of world.clients) {
			request.body.release();
		}

		await time.settle();
		assert.equal(world.bodies.used, 0, 'bytes in use');
	},
	faults: world => world.faults,
};
