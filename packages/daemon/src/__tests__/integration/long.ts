/** Marks tests that CI leaves to `npm run test:long`. */

/** Options of a test that CI skips to stay under its limit of six minutes. */
export const LONG = {tags: ['long']};

/** Returns the options of a test. */
export function testOptions(isLong = false): {tags?: string[]} {
  return isLong ? LONG : {};
}
