/**
 * The memory and the connections that one process uses for others, with their limits and metrics.
 */
import type {Server} from 'node:http';
import type {Registry} from 'prom-client';
import type {Clock} from '../base/clock.js';
import {sumOf} from '../base/sum.js';
import {AnswerBodies} from './answer-bodies.js';
import {OutgoingConnections} from './outgoing-connections.js';
import {RequestBodies} from './request-bodies.js';
import {
	divideResources, type GrantedResources, type ListenerName, type ResourceLimits,
} from './resource-limits.js';
import {ResourceMetrics} from './resource-metrics.js';
import {ServerConnections} from './server-connections.js';

/** Listeners that share the memory for heads. */
const listenerCount = 4;

/** The resources of one process. */
export class ProcessResources {
	/**
	 * @param clock - Measures progress.
	 * @param granted - Resources of the process.
	 * @param registry - Serves the metrics.
	 * @returns The resources, none of them used.
	 */
	static create(clock: Clock, granted: GrantedResources, registry: Registry): ProcessResources {
		return new ProcessResources(clock, granted, registry);
	}

	readonly limits: ResourceLimits;
	/** Bodies of requests. */
	readonly requestBodies: RequestBodies;
	/** Answers that are not sent yet. */
	readonly answers: AnswerBodies;
	/** Connections to replicas. */
	readonly outgoing: OutgoingConnections;
	private readonly metrics: ResourceMetrics;
	private readonly servers = new Map<ListenerName, ServerConnections>();

	private constructor(private readonly clock: Clock, granted: GrantedResources, registry: Registry) {
		this.limits = divideResources(granted);
		const {limits, servers} = this;
		this.requestBodies = RequestBodies.create(clock, limits.requestBodies, reason => {
			this.metrics.givenUp.inc({part: 'request-bodies', reason});
		});
		this.answers = AnswerBodies.create(clock, limits.answers, () => {
			this.metrics.givenUp.inc({part: 'answers', reason: 'no-memory'});
		});
		this.outgoing = OutgoingConnections.create(limits.replicaConnections);
		const {requestBodies, answers, outgoing} = this;
		this.metrics = ResourceMetrics.create(registry, {
			memory: () => ({'request-bodies': requestBodies.used, answers: answers.used, heads: sumOf([...servers.values()].map(({headBytes}) => headBytes))}),
			memoryLimits: () => ({
				program: limits.program, 'request-bodies': limits.requestBodies, answers: limits.answers, heads: limits.heads,
			}),
			waiting: () => ({'request-bodies': requestBodies.waiting, answers: answers.waiting}),
			connections: () => ({...Object.fromEntries([...servers].map(([name, {count}]) => [name, count])), replicas: outgoing.count}),
			connectionLimits: () => ({...limits.connections, replicas: limits.replicaConnections}),
		});
	}

	/**
	 * Limits the connections of a listener.
	 *
	 * @param name - The listener.
	 * @param server - Its server, which has not accepted a connection yet.
	 * @param maxHead - Maximum bytes of the head of a request.
	 * @returns Its connections.
	 */
	limitServer(name: ListenerName, server: Server, maxHead: number): ServerConnections {
		const {limits, clock} = this;
		const connections = ServerConnections.limit({
			server,
			clock,
			limits: {connections: limits.connections[name], heads: limits.heads / listenerCount, maxHead},
			onClosed: reason => {
				this.metrics.connectionsClosed.inc({listener: name, reason});
			},
		});
		this.servers.set(name, connections);
		return connections;
	}
}
