/**
 * Adds numbers up; the linter forbids `reduce`.
 */

/**
 * @param numbers - Any numbers.
 * @returns Their sum; zero where there are none.
 */
export function sumOf(numbers: Iterable<number>): number {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
}
