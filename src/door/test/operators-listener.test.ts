/**
 * Guards against answers to operators that cannot be told from cut ones: without a length, an answer to an HTTP/1.0 client ends with its connection.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import {ampleResources} from '../../../development/harness/ample-resources.js';
import {Metrics} from '../../base/metrics.js';
import {openOperatorsListener} from '../operators-listener.js';

const paths = ['/metrics', '/healthz', '/readyz', '/status', '/unknown'];
const scope = Effect.runSync(Scope.make());
let port: number;

before(async () => {
	const services = {
		metrics: Metrics.create(), resources: ampleResources(), readiness: () => ({isReady: true, detail: 'prêt'}), status: () => ({box: 'é'}),
	};
	port = await Effect.runPromise(openOperatorsListener(services, '127.0.0.1', 0).pipe(Effect.provideService(Scope.Scope, scope)));
});

after(async () => Effect.runPromise(Scope.close(scope, Exit.void)));

/** Requests a path and reads until the connection closes. */
async function get(path: string, version: string): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		const socket = connect(port, '127.0.0.1', () => {
			socket.write(`GET ${path} HTTP/${version}\r\nHost: box\r\nConnection: close\r\n\r\n`);
		});
		socket.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		}).on('error', reject).on('close', () => {
			resolve(Buffer.concat(chunks));
		});
	});
}

for (const version of ['1.0', '1.1']) {
	test(`each answer to operators over HTTP/${version} states the length of its body`, async () => {
		for (const path of paths) {
			const answer = Buffer.from(await get(path, version));
			const bodyStart = answer.indexOf('\r\n\r\n') + 4;
			const length = /^content-length: (?<length>\d+)\r$/imv.exec(answer.subarray(0, bodyStart).toString())?.groups?.length;
			assert.equal(length, String(answer.length - bodyStart), path);
		}
	});
}
