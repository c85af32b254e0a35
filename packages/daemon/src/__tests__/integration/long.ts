/** Which stories CI leaves to `npm run test:long`. */

/** Options of a story that CI leaves out, to stay under its six minutes. */
export const LONG = {tags: ['long']};

/** Returns the options of a story. */
export function storyOptions(isLong = false): {tags?: string[]} {
  return isLong ? LONG : {};
}
