/**
 * A stand-in for a replica, as a process of its own that can be killed. Arguments: its id, and which of its answers have no length (every nth; 0 for none).
 * Those end with their connection, as RULES.md allows. It tells its parent its port, each request that it runs, and the beginning and end of each answer
 * without a length.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {
	eventOf, eventsOf, halfOf, plainBody,
} from './contents.mjs';

const [id, unframedEvery] = process.argv.slice(2);
/** Milliseconds between the two halves of a plain answer, and between two events. */
const plainPause = 1200;
const eventPause = 60;
let answers = 0;

const piecesOf = ({attempt, url, after}) => url.startsWith('/plain/')
	? {type: 'text/plain', pieces: [halfOf(plainBody(id, attempt)), plainBody(id, attempt).slice(halfOf(plainBody(id, attempt)).length)], gap: plainPause}
	: {type: 'text/event-stream', pieces: Array.from({length: eventsOf - after}, (_, index) => eventOf(attempt, after + index + 1)), gap: eventPause};

const writeAll = async (stream, {pieces, gap}) => {
	for (const [index, piece] of pieces.entries()) {
		if (index > 0) {
			await pause(gap);
		}

		if (stream.destroyed) {
			return;
		}

		stream.write(piece);
	}

	stream.end();
};

const answer = async ({request: {headers, url, socket}, response}) => {
	const attempt = headers['attempt-id'];
	const content = piecesOf({attempt, url, after: Number(headers['last-event-id'] ?? 0)});
	const isPlain = url.startsWith('/plain/');
	const head = {'Attempt-Id': attempt, 'Server-Stamp': `stamp-${id}`, 'Content-Type': content.type};
	answers++;
	if (Number(unframedEvery) === 0 || answers % Number(unframedEvery) !== 0) {
		response.writeHead(200, {...head, ...(isPlain ? {'Content-Length': content.pieces.join('').length} : {})});
		await writeAll(response, content);
		return;
	}

	process.send({kind: 'begins', attempt});
	const lines = Object.entries({...head, Connection: 'close'}).map(([name, value]) => `${name}: ${value}\r\n`);
	socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
	await writeAll(socket, content);
	process.send({kind: 'ends', attempt});
};

const server = createServer((request, response) => {
	request.resume();
	request.once('end', () => {
		const {headers, url} = request;
		const attempt = headers['attempt-id'];
		const expected = headers['expect-instance'];
		if (attempt === undefined || (expected !== undefined && expected !== id)) {
			response.writeHead(attempt === undefined ? 400 : 421, {'Not-Executed': '1', ...(attempt === undefined ? {} : {'Attempt-Id': attempt})}).end();
			return;
		}

		process.send({kind: 'runs', attempt, url});
		answer({request, response});
	});
});

server.on('connection', socket => {
	socket.on('error', () => undefined);
});
server.listen(0, '127.0.0.1', () => {
	process.send({kind: 'listens', port: server.address().port});
});
process.once('disconnect', () => {
	process.exit(0);
});
