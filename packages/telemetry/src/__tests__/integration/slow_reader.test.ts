/**
 * Guards against a log reader that stops reading: writes must not block, memory
 * must stay bounded, the dropped lines are counted, and the process can exit.
 */

import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {expect, it} from 'vitest';

const FLOOD_MS = 10_000;
const CHILD = fileURLToPath(new URL('log_flood.js', import.meta.url));
/** Far below the time for which the reader is blocked. */
const MAX_WRITE_MS = 1_000;
/** Far below the size of all lines, and below a daemon's memory budget. */
const MAX_GROWTH_BYTES = 128 * 1024 * 1024;

interface Report {
  readonly written: number;
  readonly dropped: number;
  readonly longestWriteMs: number;
  readonly grownBytes: number;
}

it('drops and counts lines without blocking or unbounded memory when the log is not read for ten seconds', async () => {
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
  expect(report.longestWriteMs).toBeLessThan(MAX_WRITE_MS);
  expect(report.grownBytes).toBeLessThan(MAX_GROWTH_BYTES);
}, 60_000);
