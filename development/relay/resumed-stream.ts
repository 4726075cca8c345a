/**
 * A client that begins a stream and takes it up after it broke off. Development only.
 */
import {request, type ClientRequest} from 'node:http';
import {testHost, testKey} from './relay-installation.js';

/** What a client received for one attempt. */
export type StreamPiece = {
	readonly attempt: string;
	/** Monotonic milliseconds at which the request was sent. */
	readonly sentAt: number;
	/** Monotonic milliseconds of the first event; `undefined` before. */
	readonly firstEventAt: number | undefined;
	/** Monotonic milliseconds at which the response or its connection ended; `undefined` before. */
	readonly endedAt: number | undefined;
	/** HTTP status; 0 if the connection failed before the response began. */
	readonly status: number;
	readonly body: string;
	/** Whether the response ended as its framing announced, so that its client takes it for complete. */
	readonly isWhole: boolean;
	/** Relay that the client sent it to. */
	readonly relay: string;
};

/** Where a client sends a request. */
export type StreamTarget = {readonly name: string; readonly port: number};

type Writable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

const path = '/stream/x';
/** Longest time that a client allows for a stream, in milliseconds. */
const deadline = 60_000;

/** A stream, from its beginning to its last continuation. */
export class ResumedStream {
	/**
	 * @param name - Names the stream; no other has the name.
	 * @returns A stream that has not begun.
	 */
	static create(name: string): ResumedStream {
		return new ResumedStream(name);
	}

	/** The attempts in order: the first begins the stream, the others take it up. */
	readonly pieces: StreamPiece[] = [];
	private open: ClientRequest | undefined;

	private constructor(readonly name: string) {}

	/** Software versions that wrote the events. */
	get versions(): ReadonlySet<string> {
		return new Set(this.pieces.filter(({status}) => status === 200).flatMap(({body}) => [...body.matchAll(/^data: \S+@(?<version>\S+) for /gmv)].map(({groups}) => groups!.version!)));
	}

	/** Whether the ids of the events rise by one. */
	get isConsecutive(): boolean {
		return this.eventIds.every((id, index) => id === index + 1);
	}

	/** Ids of the events that were received completely. */
	get eventIds(): readonly number[] {
		return this.pieces.filter(({status}) => status === 200).flatMap(({body}) => body.split('\n\n').slice(0, -1).map(event => Number(/^id: (?<id>\d+)$/mv.exec(event)?.groups?.id)));
	}

	/** Whether the client has an event of the stream. */
	get hasBegun(): boolean {
		return this.eventIds.length > 0;
	}

	/**
	 * Begins the stream, or takes it up after its last event.
	 *
	 * @param target - Relay to send to.
	 * @returns The attempt, once the response has its first event or has ended.
	 */
	async send(target: StreamTarget): Promise<StreamPiece> {
		const attempt = `${this.name}.${this.pieces.length}`;
		const last = this.eventIds.at(-1);
		const taken: Readonly<Record<string, string>> = last === undefined ? {} : {'Last-Event-Id': String(last), Resumes: this.pieces.find(({firstEventAt}) => firstEventAt !== undefined)!.attempt};
		const piece: Writable<StreamPiece> = {
			attempt, relay: target.name, sentAt: performance.now(), firstEventAt: undefined, endedAt: undefined, status: 0, body: '', isWhole: false,
		};
		this.pieces.push(piece);
		return new Promise(resolve => {
			const end = () => {
				piece.endedAt ??= performance.now();
				resolve(piece);
			};

			const outgoing = request({
				host: '127.0.0.1', port: target.port, path, method: 'POST', agent: false, headers: {
					Host: testHost, Authorization: `Bearer ${testKey}`, 'Attempt-Id': attempt, 'Deadline-Ms': String(deadline), ...taken,
				},
			});
			this.open = outgoing;
			outgoing.on('error', end);
			outgoing.once('response', answer => {
				piece.status = answer.statusCode ?? 0;
				answer.setEncoding('utf8');
				answer.on('data', (text: string) => {
					piece.body += text;
					if (piece.status === 200 && piece.body.includes('\n\n')) {
						piece.firstEventAt ??= performance.now();
						resolve(piece);
					}
				});
				answer.on('error', () => undefined);
				answer.once('close', () => {
					piece.isWhole = answer.complete;
					end();
				});
			});
			outgoing.end(`stream ${this.name}`);
		});
	}

	/** Gives the stream up. */
	close(): void {
		this.open?.destroy();
	}
}
