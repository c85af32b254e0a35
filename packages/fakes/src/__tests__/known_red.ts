import {readFileSync} from 'node:fs';
import {it} from 'vitest';

const LIST = new URL('../../../../KNOWN-RED.txt', import.meta.url);

/** Declares a test, or prints and skips it if KNOWN-RED.txt lists it. */
export function knownRed(name: string, fn: () => void): void {
  const entry = readFileSync(LIST, 'utf8')
    .split('\n')
    .find(line => !line.startsWith('#') && line.includes(name));
  if (entry === undefined) {
    it(name, fn);
    return;
  }
  console.warn(`KNOWN RED, skipped: ${entry}`);
  it.skip(name, fn);
}
