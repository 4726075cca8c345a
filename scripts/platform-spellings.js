/** Spellings of the users' platform that only the adapter at the root may hold; a test compares them with its names. */
export const platformSpellings = (
	'attempt-id deadline-ms expect-version pin-ms kv-backup kv-from kv-fetch token-count prompt-prefix not-executed expect-instance request-urgency server-stamp server-limit server-leaving '
	+ 'server-brittle server-load length-hint duty-holder fence-token store-era /api/readyz /api/objects/ /usage /scale'
).split(' ');
