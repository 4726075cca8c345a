/**
 * How well a box would bear an aggregator's work. Where boxes differ, those that bear it easily are aggregators first: on one
 * that bears it hardly, all that is summed over boxes is late, and so are the requests that it serves itself.
 */
import type {BoxLimits} from '../settings/relay-settings.js';

/** Cores that an aggregator of some hundred boxes uses (docs/CAPACITY.md, "The exchange"). */
const aggregatorProcessor = 0.08;
/** Megabits a second that it sends, or hears. */
const aggregatorLink = 3;
/** Beyond this many doublings more makes no difference. */
const mostDoublings = 3;

/**
 * @param limits - What the platform gives the box.
 * @returns How many times an aggregator's work could double before the box bears it no more: a whole number, alike for boxes
 * that hardly differ; zero where nothing is known.
 */
export function aggregatorCapacity({processor, link}: BoxLimits): number {
	const times = [
		...(processor === undefined ? [] : [processor / aggregatorProcessor]),
		...(link === undefined ? [] : [link / aggregatorLink]),
	];
	return times.length === 0 ? 0 : Math.min(mostDoublings, Math.max(0, Math.floor(Math.log2(Math.min(...times)))));
}
