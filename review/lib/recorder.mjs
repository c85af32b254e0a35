/** The record of what was sent, answered and run. */

import {writeFileSync} from 'node:fs';

/** Creates a record whose lines carry the milliseconds since its creation. */
export function createRecorder() {
  const startedAt = performance.now();
  const lines = [];
  return {
    now: () => performance.now() - startedAt,
    add: (kind, text) => {
      const at = (performance.now() - startedAt).toFixed(1).padStart(9);
      lines.push(`${at} ${kind} ${text}`);
    },
    save: path => writeFileSync(path, `${lines.join('\n')}\n`),
  };
}
