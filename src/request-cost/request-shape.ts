/**
 * What is known of a request before it is sent, and what it is expected to cost.
 */

/** Whether a request generates text (`model`), or is a call of a plain service. */
export type RequestClass = 'model' | 'plain';

/** Properties of a request that its cost depends on. */
export type ShapeFields = {
	/** Name of the route. */
	readonly route: string;
	/** Prompt tokens that the replica does not have cached. */
	readonly unreadTokens: number;
	/** Maximum number of output tokens. */
	readonly outputTokens: number;
	/** The client's estimate of the output tokens, if it states one. */
	readonly hint: number | undefined;
	/** Bytes of the request's body. */
	readonly bodyBytes: number;
};

/** A request, as far as its cost depends on it. */
export class RequestShape implements ShapeFields {
	/**
	 * @param fields - Properties of the request. Numbers that are negative or not finite count as zero, and such a hint as absent.
	 * @returns The shape.
	 */
	static create({route, unreadTokens, outputTokens, hint, bodyBytes}: ShapeFields): RequestShape {
		return new RequestShape({
			route, unreadTokens: amountOf(unreadTokens), outputTokens: amountOf(outputTokens), bodyBytes: amountOf(bodyBytes),
			hint: hint !== undefined && amountOf(hint) > 0 ? hint : undefined,
		});
	}

	readonly route: string;
	readonly unreadTokens: number;
	readonly outputTokens: number;
	readonly hint: number | undefined;
	readonly bodyBytes: number;

	private constructor(fields: ShapeFields) {
		this.route = fields.route;
		this.unreadTokens = fields.unreadTokens;
		this.outputTokens = fields.outputTokens;
		this.hint = fields.hint;
		this.bodyBytes = fields.bodyBytes;
	}

	/** A request without unread prompt tokens and output tokens is a plain call. */
	get kind(): RequestClass {
		return this.unreadTokens === 0 && this.outputTokens === 0 ? 'plain' : 'model';
	}
}

/** Expected cost of a request at a replica. */
export type RequestCost = {
	/** Milliseconds until the first event, without waiting. For a plain call, its whole duration. */
	readonly reading: number;
	/** Milliseconds from the first event to the end. */
	readonly generating: number;
	/** The 0.9 quantile of the sum of the two, in milliseconds. */
	readonly high: number;
	/** Tokens of the replica's memory. */
	readonly memory: number;
};

/** What a request took, as seen by the box. */
export type Observation = {
	/** Milliseconds from sending to the first event, including an unknown time of waiting at the replica. */
	readonly firstEvent: number;
	/** Milliseconds from sending to the end of the response. */
	readonly total: number;
	/** Output tokens that were generated. */
	readonly outputTokens: number;
	/** Other requests known to be at the replica when the request was sent. Counts only where `aheadTokens` is absent. */
	readonly concurrent: number;
	/** Unread prompt tokens of other requests known to be ahead of the request at the replica. */
	readonly aheadTokens?: number;
};

/** Work of requests at a replica, as boxes report it to each other. */
export type ReportedWork = {
	/** Requests in progress. */
	readonly requests: number;
	/** Their prompt tokens that are neither cached nor read yet. */
	readonly unreadTokens: number;
};

/** The same work in the units of the cost model. */
export type ConvertedWork = {
	/** Milliseconds of reading. */
	readonly reading: number;
	/** Tokens of memory. */
	readonly memory: number;
};

const amountOf = (value: number): number => Number.isFinite(value) && value > 0 ? value : 0;
