/**
 * Sums numbers; the linter forbids `reduce`.
 */

/**
 * @param numbers - Numbers to add.
 * @returns Their sum; zero if there are none.
 */
export function sumOf(numbers: Iterable<number>): number {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
}
