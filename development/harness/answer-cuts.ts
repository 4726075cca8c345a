/**
 * Answers that end early: cut after each byte of head and body, for each way to mark the end of a body. Development only.
 */
import {Buffer} from 'node:buffer';
import {ScriptedServer, type AnswerScript} from './scripted-server.js';
import {createRandom} from './seeded-random.js';

/** What marks the end of a body: its length, chunks, or only the end of the connection. */
export const framings = ['length', 'chunks', 'connection'] as const;
export type Framing = (typeof framings)[number];

/** Connections on which the ways to cut are tried at once. */
const lanes = 16;
/** Milliseconds after which a call counts as hanging; longer than the time-outs of all clients. */
const maxCallMs = 10_000;
const crlf = '\r\n';
const endings = ['close', 'reset', 'late-reset'] as const;
const deliveries = [false, true].flatMap(isReused => ([1, 2] as const).map(segments => ({isReused, segments})));

/** An answer, complete. */
export type WholeAnswer = {
	readonly status: string;
	readonly contentType: string;
	/** One character for each byte. */
	readonly body: string;
};

/** An answer of which only the first bytes are sent. */
export type CutAnswer = {
	readonly framing: Framing;
	readonly ending: 'close' | 'reset' | 'late-reset';
	/** Whether another answer was received on the connection before. */
	readonly isReused: boolean;
	/** Segments in which the bytes are sent. */
	readonly segments: 1 | 2;
	/** Bytes that are sent. */
	readonly sentBytes: number;
	/** Bytes of the body that are sent, without its framing. */
	readonly sentBody: string;
	/** Whether the head is complete and neither framing nor ending shows that the body is not. */
	readonly isEndOfBody: boolean;
	readonly script: AnswerScript;
};

/** Makes calls to one server. */
export type AnswerReader = {
	/** @returns What the caller got. */
	readonly call: () => Promise<string>;
	readonly close: () => void;
};

const headOf = ({status, contentType}: WholeAnswer, framing: string): string => `HTTP/1.1 ${status}${crlf}Content-Type: ${contentType}${crlf}${framing}${crlf}`;

/** @returns The body in two chunks and a trailer. */
function inChunks(body: string): string {
	const middle = Math.ceil(body.length / 2);
	const chunks = [body.slice(0, middle), body.slice(middle)].filter(part => part !== '');
	return `${chunks.map(part => `${part.length.toString(16)}${crlf}${part}${crlf}`).join('')}0${crlf}X: y${crlf}${crlf}`;
}

/**
 * @param answer - The answer.
 * @param framing - What marks the end of its body.
 * @returns Its head and its body with the framing.
 */
export function frame(answer: WholeAnswer, framing: Framing): {readonly head: string; readonly body: string} {
	switch (framing) {
		case 'length': {
			return {head: headOf(answer, `Content-Length: ${answer.body.length}${crlf}`), body: answer.body};
		}

		case 'chunks': {
			return {head: headOf(answer, `Transfer-Encoding: chunked${crlf}`), body: inChunks(answer.body)};
		}

		case 'connection': {
			return {head: headOf(answer, ''), body: answer.body};
		}
	}
}

/** @returns The content of the chunks in the beginning of a body. */
function contentOf(framed: string, framing: Framing): string {
	if (framing !== 'chunks') {
		return framed;
	}

	const [line = ''] = framed.split(crlf, 1);
	const size = Number.parseInt(line, 16);
	const start = line.length + crlf.length;
	return framed.length < start || size === 0 || Number.isNaN(size)
		? ''
		: framed.slice(start, start + size) + contentOf(framed.slice(start + size + crlf.length), framing);
}

type Way = Pick<CutAnswer, 'framing' | 'ending' | 'isReused' | 'segments' | 'sentBytes'>;

function cut(answer: WholeAnswer, way: Way): CutAnswer {
	const {framing, ending, segments, sentBytes} = way;
	const {head, body} = frame(answer, framing);
	const sent = (head + body).slice(0, sentBytes);
	const middle = Math.floor(sentBytes / 2);
	return {
		...way,
		sentBody: contentOf(sent.slice(head.length), framing),
		isEndOfBody: framing === 'connection' && ending === 'close' && sentBytes >= head.length,
		script: {pieces: (segments === 1 ? [sent] : [sent.slice(0, middle), sent.slice(middle)]).map(piece => Buffer.from(piece, 'latin1')), ending},
	};
}

/**
 * @param answer - The answer.
 * @param seed - Draws for each cut whether its connection is reused and the number of its segments; `undefined` for all combinations.
 * @returns The answer cut after each of its bytes, for each framing and ending.
 */
export function cutsOf(answer: WholeAnswer, seed?: number): readonly CutAnswer[] {
	const random = seed === undefined ? undefined : createRandom(seed);
	const places = framings.flatMap(framing => {
		const {head, body} = frame(answer, framing);
		return Array.from({length: head.length + body.length}, (_, sentBytes) => ({framing, sentBytes}));
	});
	const ends = places.flatMap(place => endings.map(ending => ({...place, ending})));
	return ends.flatMap(end => {
		const drawn = random && deliveries[Math.floor(random() * deliveries.length)]!;
		return (drawn ? [drawn] : deliveries).map(delivery => cut(answer, {...end, ...delivery}));
	});
}

/**
 * Makes one call for each cut answer, on several connections at once.
 *
 * @param cuts - The answers.
 * @param whole - The answer to the call before, on connections that are reused.
 * @param createReader - Creates the caller of the server on a port.
 * @param check - Called with what the caller got.
 */
export async function tryCuts(cuts: readonly CutAnswer[], whole: WholeAnswer, createReader: (port: number) => AnswerReader, check: (outcome: string, cut: CutAnswer) => void): Promise<void> {
	const {head, body} = frame(whole, 'length');
	const remaining = [...cuts];
	const runLane = async () => {
		const server = await ScriptedServer.create();
		const reader = createReader(server.port);
		try {
			for (let next = remaining.pop(); next; next = remaining.pop()) {
				if (next.isReused) {
					server.script = {pieces: [Buffer.from(head + body, 'latin1')], ending: 'open'};
					await reader.call();
				}

				server.script = next.script;
				check(await endOf(reader.call()), next);
			}
		} finally {
			reader.close();
			server.close();
		}
	};

	await Promise.all(Array.from({length: lanes}, async () => runLane()));
}

/** @returns What the caller got, or that its call did not end. */
async function endOf(call: Promise<string>): Promise<string> {
	let timer: NodeJS.Timeout | undefined;
	const hanging = new Promise<string>(resolve => {
		timer = setTimeout(() => {
			resolve('hangs');
		}, maxCallMs);
	});
	try {
		return await Promise.race([call, hanging]);
	} finally {
		clearTimeout(timer);
	}
}

/**
 * @param cut - A cut answer.
 * @returns Its description for a failed assertion.
 */
export const describeCut = ({framing, ending, isReused, segments, sentBytes}: CutAnswer): string => `${framing}, ${ending}, ${sentBytes} bytes in ${segments}${isReused ? ', reused' : ''}`;
