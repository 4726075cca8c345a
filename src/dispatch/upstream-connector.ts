/**
 * Creates clients for upstreams; tests replace it by fakes.
 */
import {HttpClient} from '../base/http-client.js';
import type {Box} from '../external/box-list.js';
import {HttpModelEngine} from '../upstream/http-model-engine.js';
import {HttpPlainService} from '../upstream/http-plain-service.js';
import type {ModelEngine} from '../upstream/model-engine.js';
import type {PlainService} from '../upstream/plain-service.js';

/** Creates clients for upstreams. */
export abstract class UpstreamConnector {
	/**
	 * @param box - A box with the role `model-engine`.
	 * @returns A client of the engine on that box; the caller has to close it.
	 */
	abstract engine(box: Box): ModelEngine;

	/**
	 * @param box - A box with the role `plain-service`.
	 * @returns A client of the service on that box; the caller has to close it.
	 */
	abstract service(box: Box): PlainService;
}

/** Creates HTTP clients. */
export class HttpUpstreamConnector extends UpstreamConnector {
	/** @returns The connector. */
	static create(): HttpUpstreamConnector {
		return new HttpUpstreamConnector();
	}

	override engine(box: Box): ModelEngine {
		return HttpModelEngine.create(HttpClient.create(box.host, box.port));
	}

	override service(box: Box): PlainService {
		return HttpPlainService.create(HttpClient.create(box.host, box.port));
	}
}
