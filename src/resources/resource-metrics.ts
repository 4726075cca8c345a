/**
 * Metrics of the memory and the connections that a process uses for others.
 */
import {Counter, Gauge, type Registry} from 'prom-client';

/** Reads values by their label. */
type Values = () => Readonly<Record<string, number>>;

/** What the gauges show when they are collected. */
export type ResourceReadings = {
	/** Bytes by part. */
	readonly memory: Values;
	/** Limits of the memory in bytes by part. */
	readonly memoryLimits: Values;
	/** Bodies that wait for memory, by part. */
	readonly waiting: Values;
	/** Open connections by listener. */
	readonly connections: Values;
	/** Limits of the connections by listener. */
	readonly connectionLimits: Values;
};

/** The counters of one process. */
export class ResourceMetrics {
	/**
	 * @param registry - Serves the metrics.
	 * @param readings - Values of the gauges.
	 * @returns The counters.
	 */
	static create(registry: Registry, readings: ResourceReadings): ResourceMetrics {
		const gauge = (name: string, help: string, label: string, read: Values): void => {
			const created: Gauge = new Gauge({
				name, help, labelNames: [label], registers: [registry], collect() {
					for (const [value, amount] of Object.entries(read())) {
						created.set({[label]: value}, amount);
					}
				},
			});
		};

		gauge('waydrift_memory_bytes', 'Bytes buffered for others, by part.', 'part', readings.memory);
		gauge('waydrift_memory_limit_bytes', 'Limits of the parts of the memory.', 'part', readings.memoryLimits);
		gauge('waydrift_memory_waiting', 'Bodies that wait for memory, by part.', 'part', readings.waiting);
		gauge('waydrift_open_connections', 'Open connections by listener; replicas: opened by the process.', 'listener', readings.connections);
		gauge('waydrift_connection_limit', 'Limits of the open connections.', 'listener', readings.connectionLimits);
		return new ResourceMetrics(registry);
	}

	readonly givenUp: Counter<'part' | 'reason'>;
	readonly connectionsClosed: Counter<'listener' | 'reason'>;

	private constructor(registry: Registry) {
		this.givenUp = new Counter({
			name: 'waydrift_memory_given_up_total', help: 'Bodies given up for want of memory, by part and reason.', labelNames: ['part', 'reason'], registers: [registry],
		});
		this.connectionsClosed = new Counter({
			name: 'waydrift_connections_closed_total', help: 'Connections closed because of a limit, by listener and reason.', labelNames: ['listener', 'reason'], registers: [registry],
		});
	}
}
