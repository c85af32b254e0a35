/** Assertions of conditions that only a defect can violate. */

/**
 * Throws when a condition does not hold.
 *
 * @throws Error with the message; the process logs it and stops.
 */
export function invariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) {
    throw new Error(`Invariant broken: ${message}`);
  }
}
