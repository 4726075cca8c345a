/**
 * Ranks boxes by their capacity for an aggregator's work. Boxes with more capacity become aggregators first: on an overloaded
 * aggregator, the sums over all boxes are late, and so are the requests that it serves itself.
 */
import type {BoxLimits} from '../settings/relay-settings.js';

/** CPU cores that an aggregator of about a hundred boxes uses (docs/CAPACITY.md, "The exchange"). */
const aggregatorCores = 0.08;
/** Megabits per second that it sends; it receives about as much. */
const aggregatorMegabits = 3;
/** Maximum result, in doublings of an aggregator's work; capacity beyond it makes no difference. */
const maxDoublings = 3;

/**
 * @param limits - CPU and network limits that the platform sets for the box.
 * @returns How many times an aggregator's work could double before it exceeds the limits of the box: a whole number, so that
 * boxes with similar limits get the same value; zero where no limit is known.
 */
export function aggregatorCapacity({processor, link}: BoxLimits): number {
	const times = [
		...(processor === undefined ? [] : [processor / aggregatorCores]),
		...(link === undefined ? [] : [link / aggregatorMegabits]),
	];
	return times.length === 0 ? 0 : Math.min(maxDoublings, Math.max(0, Math.floor(Math.log2(Math.min(...times)))));
}
