/**
 * Baseline of the relay benchmark: a proxy that uses only Node's `http`, without authorisation, routing, limits or records.
 * It forwards to the port given as its parameter, prints its own port as JSON, and exits when its standard input ends.
 */
import process from 'node:process';
import {Agent, createServer, request} from 'node:http';
import type {AddressInfo} from 'node:net';

const target = Number(process.argv[2]);
const agent = new Agent({keepAlive: true});

const server = createServer((incoming, response) => {
	const outgoing = request({
		host: '127.0.0.1', port: target, path: incoming.url, method: incoming.method, headers: incoming.headers, agent,
	}, answer => {
		response.writeHead(answer.statusCode ?? 502, answer.headers);
		answer.pipe(response);
	});
	outgoing.once('error', () => response.destroy());
	response.once('close', () => outgoing.destroy());
	incoming.pipe(outgoing);
});
server.keepAliveTimeout = 60_000;
server.listen(0, '127.0.0.1', () => {
	process.stdout.write(`${JSON.stringify({port: (server.address() as AddressInfo).port})}\n`);
});
process.stdin.once('end', () => {
	process.exit(0);
}).resume();
