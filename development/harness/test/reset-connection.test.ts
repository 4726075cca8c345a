/*
 * Guards against a test process that does not exit. A stand-in reset a TCP connection while the connection was ending. After all tests had passed, Node.js
 * looped for nine minutes, at 75 % of a core, in its clean-up of handles (`uv_run` below `CleanupHandles`) on that socket, which was no longer connected.
 */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const helper = fileURLToPath(new URL('../reset-connection.js', import.meta.url));
/** A program that ends a connection and resets it at once. */
const program = `
import {connect, createServer} from 'node:net';
import {resetConnection} from ${JSON.stringify(helper)};
const server = createServer(socket => {
	socket.on('error', () => undefined);
	socket.end('x');
	resetConnection(socket);
});
server.listen(0, '127.0.0.1', () => {
	const client = connect(server.address().port, '127.0.0.1');
	client.on('error', () => undefined).resume().on('close', () => server.close());
});
`;
/** Milliseconds after which a process that has not exited is killed. */
const exitTimeout = 20_000;

test('a process exits by itself after it resets a connection that is ending', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '-e', program], {stdio: 'ignore'});
	const timer = setTimeout(() => child.kill('SIGKILL'), exitTimeout);
	const exit: readonly unknown[] = await once(child, 'exit');
	clearTimeout(timer);
	assert.equal(exit[0], 0);
});
