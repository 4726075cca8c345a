/**
 * Minimal streaming upstream for benchmarks of relays: a process that sends tokens at a fixed interval. It
 * implements the interface of a model engine and always reports an empty queue.
 */
import process from 'node:process';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Milliseconds between two tokens of a stream. */
const tokenInterval = 4;
const chunk = 'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}\n\n';
const usage = 'data: {"choices":[],"usage":{"prompt_tokens":8,"completion_tokens":1,"total_tokens":9}}\n\n';

type Stream = {readonly response: ServerResponse; left: number; readonly isIdle: boolean};

const streams = new Set<Stream>();

setInterval(() => {
	for (const stream of streams) {
		advance(stream);
	}
}, tokenInterval);

/** Sends the next token, and ends the stream after the last. An idle stream stays open without further tokens after its first. */
function advance(stream: Stream): void {
	stream.response.write(chunk);
	stream.left--;
	if (stream.isIdle) {
		streams.delete(stream);
	} else if (stream.left === 0) {
		streams.delete(stream);
		stream.response.end(`${usage}data: [DONE]\n\n`);
	}
}

const server = createServer((incoming, response) => {
	const parts: string[] = [];
	incoming.setEncoding('utf8').on('data', (part: string) => parts.push(part)).once('end', () => {
		if (incoming.url === '/load') {
			response.end('{"running":0,"queued":0,"isLeaving":false}');
			return;
		}

		const body = JSON.parse(parts.join('')) as {readonly max_tokens: number; readonly idle?: boolean};
		const stream: Stream = {response, left: body.max_tokens, isIdle: body.idle === true};
		response.writeHead(200, {'Content-Type': 'text/event-stream'});
		response.once('close', () => {
			streams.delete(stream);
		});
		// The first token is sent immediately, so that the time to it is the latency of the relay.
		advance(stream);
		if (stream.left > 0 && !stream.isIdle) {
			streams.add(stream);
		}
	});
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
	process.stdout.write(`${JSON.stringify({port: (server.address() as AddressInfo).port})}\n`);
});
process.stdin.once('end', () => {
	process.exit(0);
}).resume();
