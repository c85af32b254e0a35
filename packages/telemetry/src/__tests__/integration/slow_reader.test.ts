/** A reader of the log that stands still costs lines, not service. */

import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {expect, it} from 'vitest';

const FLOOD_MS = 10_000;
const CHILD = fileURLToPath(new URL('log_flood.js', import.meta.url));
/** Far below the time for which the reader stands still. */
const LONGEST_WRITE_MS = 1_000;
/** Far below what the lines would take, and below the budget of a daemon. */
const MAX_GROWTH_BYTES = 128 * 1024 * 1024;

interface Report {
  readonly written: number;
  readonly dropped: number;
  readonly longestWriteMs: number;
  readonly grownBytes: number;
}

it('that stands still for ten seconds of a flood costs counted lines, no time and little memory', async () => {
  const child = spawn(process.execPath, [CHILD, String(FLOOD_MS)], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  // Nothing reads the standard output of the child.
  child.stdout.pause();
  let text = '';
  child.stderr.on('data', (part: Buffer) => {
    text += part.toString();
  });
  const code = await new Promise(resolve => child.on('exit', resolve));
  expect(text).toMatch(/^\{/);
  const report = JSON.parse(text) as Report;
  expect(code).toBe(0);
  expect(report.dropped).toBeGreaterThan(report.written / 2);
  expect(report.longestWriteMs).toBeLessThan(LONGEST_WRITE_MS);
  expect(report.grownBytes).toBeLessThan(MAX_GROWTH_BYTES);
}, 60_000);
