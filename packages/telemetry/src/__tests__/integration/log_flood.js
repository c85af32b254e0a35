/** Floods the log for a given time, then reports the cost on standard error. */

import {createSystemRuntime} from '@lacewingroad/runtime';
import {
  createHlc,
  createRecorder,
  createStdoutDestination,
} from '@lacewingroad/telemetry';

const FLOOD_MS = Number(process.argv[2]);
const LINES_PER_TURN = 500;
const runtime = createSystemRuntime();
const recorder = createRecorder({
  host: 'a-1',
  hlc: createHlc(runtime),
  now: runtime.now,
  level: 'info',
  linesPerSecond: 0,
  destination: createStdoutDestination(runtime),
});
const startBytes = process.memoryUsage().rss;
const endAt = runtime.now() + FLOOD_MS;
let longestWriteMs = 0;
let written = 0;

async function finish() {
  const text = await recorder.metrics.readText();
  const dropped = /lost_total\{reason="slow_reader"\} (\d+)/.exec(text);
  const report = {
    written,
    dropped: Number(dropped?.[1] ?? 0),
    longestWriteMs,
    grownBytes: process.memoryUsage().rss - startBytes,
  };
  process.stderr.write(`${JSON.stringify(report)}\n`);
  await recorder.flush();
  process.exit(0);
}

function flood() {
  const beganAt = runtime.now();
  for (let line = 0; line < LINES_PER_TURN; line++) {
    written++;
    recorder.record({
      type: 'record',
      level: 'info',
      event: 'request_not_run',
      fields: {
        request: `r${written}`,
        reason: 'queue_full',
        note: 'x'.repeat(200),
      },
    });
  }
  const now = runtime.now();
  longestWriteMs = Math.max(longestWriteMs, now - beganAt);
  if (now >= endAt) {
    void finish();
    return;
  }
  runtime.at(now + 5, flood);
}

flood();
