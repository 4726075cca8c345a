import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {endLingering} from '../lingering-close.js';

test('a client that continues sending after its request was refused still reads the whole answer', async () => {
	const server = createServer((incoming, response) => {
		response.shouldKeepAlive = false;
		response.writeHead(413, {'Content-Length': '7'}).write('refused');
		endLingering(incoming, response);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	let failure: Error | undefined;
	socket.setEncoding('utf8');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	socket.once('error', error => {
		failure = error;
	});
	const closed = once(socket, 'close');
	const size = 8_000_000;
	socket.write(`POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${size}\r\n\r\n`);
	const part = 'x'.repeat(500_000);
	for (let sent = 0; sent < size; sent += part.length) {
		socket.write(part);
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	await closed;
	assert.equal(failure, undefined);
	assert.match(text, /^HTTP\/1.1 413 .*refused$/sv);
	server.close();
});
