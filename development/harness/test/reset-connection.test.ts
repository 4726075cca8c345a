/*
 * The process of a soak's test did not end for nine minutes, at three quarters of a core, though all its tests had passed: it stood in Node's clean-up of handles
 * (`uv_run` below `CleanupHandles`) and held one TCP socket that was no longer connected. A stand-in had reset a connection in the moment in which it was being ended.
 */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const helper = fileURLToPath(new URL('../reset-connection.js', import.meta.url));
/** Ends a connection and resets it at once. */
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
/** Milliseconds after which a process that does not end by itself is ended. */
const patience = 20_000;

test('a process that resets a connection which is being ended ends by itself', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '-e', program], {stdio: 'ignore'});
	const timer = setTimeout(() => child.kill('SIGKILL'), patience);
	const exit: readonly unknown[] = await once(child, 'exit');
	clearTimeout(timer);
	assert.equal(exit[0], 0);
});
