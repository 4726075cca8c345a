/**
 * Opens the way to an upstream; tests put fakes in its place.
 */
import {HttpClient} from '../base/http-client.js';
import type {Box} from '../external/box-list.js';
import {HttpModelEngine} from '../upstream/http-model-engine.js';
import {HttpPlainService} from '../upstream/http-plain-service.js';
import type {ModelEngine} from '../upstream/model-engine.js';
import type {PlainService} from '../upstream/plain-service.js';

/** Opens the way to an upstream. */
export abstract class UpstreamConnector {
	/**
	 * @param box - A box with the role `model-engine`.
	 * @returns The engine there; close it when done.
	 */
	abstract engine(box: Box): ModelEngine;

	/**
	 * @param box - A box with the role `plain-service`.
	 * @returns The service there; close it when done.
	 */
	abstract service(box: Box): PlainService;
}

/** Reaches upstreams over HTTP. */
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
