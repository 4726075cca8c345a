/**
 * The platform's spelling of names.
 */

/**
 * @param value - Content with names in camel case.
 * @returns The same with the names that the platform's pages use.
 */
export const wire = value => {
	if (Array.isArray(value)) {
		return value.map(item => wire(item));
	}

	return value !== null && typeof value === 'object'
		? Object.fromEntries(Object.entries(value).map(([name, content]) => [name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`), wire(content)]))
		: value;
};

/** Limits of a small deployment. */
export const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/**
 * @param name - Name of a service.
 * @returns The service as in a small deployment.
 */
export const service = name => ({
	name, healthPath: '/healthz', maxConns: 250, protocol: 'h1', tls: false,
});

/**
 * @param pathPrefix - Prefix of the path.
 * @param changes - Fields that differ from those of an idempotent route.
 * @returns A route.
 */
export const route = (pathPrefix, changes) => ({
	name: `r${pathPrefix.replaceAll('/', '-')}`,
	host: 'ficu95.example',
	pathPrefix,
	kind: 'idempotent',
	timeoutMs: 3000,
	goalMs: 1000,
	priority: 2,
	maxAttempts: 2,
	public: false,
	sticky: false,
	resumable: false,
	...changes,
});
