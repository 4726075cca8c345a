/**
 * The kinds of routes of a test deployment that treat a failed attempt differently. Development only.
 */

/** The kinds, each with a path of its routes. */
export const routeKinds = [
	{
		name: 'a call that may be repeated', path: '/calls/', isStream: false, mayRepeat: true,
	},
	{
		name: 'a call that must not be repeated', path: '/once/', isStream: false, mayRepeat: false,
	},
	{
		name: 'a stream that may be resumed', path: '/stream/', isStream: true, mayRepeat: true,
	},
	{
		name: 'a stream that may not be resumed', path: '/whole/', isStream: true, mayRepeat: false,
	},
] as const;

/** One of them. */
export type RouteKind = typeof routeKinds[number];
