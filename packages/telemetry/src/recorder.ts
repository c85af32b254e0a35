/** Records events: stamps, logs, counts and keeps them. */

import {pino} from 'pino';
import type {ActionOf, FieldValue} from '@lacewingroad/core';
import {formatEventLine} from './event_line.js';
import type {EventLevel, TimelineEvent} from './event_line.js';
import {createEventRing} from './event_ring.js';
import type {Hlc} from './hlc.js';
import {createMetrics} from './metrics.js';
import type {Metrics} from './metrics.js';

/** Events that a process keeps for /events unless told otherwise. */
export const DEFAULT_RING_CAPACITY = 5_000;

/** Log bytes that wait for a slow reader; lines beyond are dropped. */
const MAX_BUFFERED_LOG_BYTES = 8 * 1024 * 1024;

/** Where log lines go; each has a line break at its end. */
export interface LogDestination {
  readonly write: (line: string) => void;
  /** Writes out at once what is still buffered. */
  readonly flushSync: () => void;
}

/** What a recorder is made of. */
export interface RecorderConfig {
  readonly host: string;
  readonly hlc: Hlc;
  /** Events below it are counted, but neither logged nor kept. */
  readonly level: EventLevel;
  readonly destination: LogDestination;
  readonly ringCapacity?: number;
  /** Whether to add the metrics of the process itself. */
  readonly withProcessMetrics?: boolean;
}

/** Records the events of one entry host. */
export interface Recorder {
  /** Performs a `record` action. */
  readonly record: (action: ActionOf<'record'>) => void;
  /** Returns the kept events with a higher `seq`, oldest first. */
  readonly readEvents: (afterSeq: number) => readonly TimelineEvent[];
  readonly metrics: Metrics;
  /** Writes out at once what is still buffered. */
  readonly flush: () => void;
}

const LEVEL_ORDER: Readonly<Record<EventLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

/** Returns a destination on the standard output, without a worker thread. */
export function createStdoutDestination(): LogDestination {
  const stream = pino.destination({
    fd: 1,
    sync: false,
    maxLength: MAX_BUFFERED_LOG_BYTES,
  });
  // Serving goes on when nobody reads the log any more.
  stream.on('error', () => undefined);
  return {
    write: line => {
      stream.write(line);
    },
    flushSync: () => stream.flushSync(),
  };
}

/** The stream that pino writes to; turns each event into key=value pairs. */
function createLineStream(destination: LogDestination) {
  return {
    // Makes pino set `lastObj`, so that the line is made from the event itself.
    [Symbol.for('pino.metadata')]: true,
    lastObj: null as TimelineEvent | null,
    write(_json: string): void {
      if (this.lastObj !== null) {
        destination.write(`${formatEventLine(this.lastObj)}\n`);
      }
    },
  };
}

/** Creates the recorder of one entry host. */
export function createRecorder(cfg: RecorderConfig): Recorder {
  const ring = createEventRing(cfg.ringCapacity ?? DEFAULT_RING_CAPACITY);
  const metrics = createMetrics(cfg.withProcessMetrics ?? false);
  const stream = createLineStream(cfg.destination);
  const logger = pino({level: cfg.level, base: null, timestamp: false}, stream);
  let seq = 0;

  const keep = (
    level: EventLevel,
    event: string,
    fields: Readonly<Record<string, FieldValue>>,
  ): void => {
    seq++;
    const stamp = cfg.hlc.tick();
    const kept = {seq, stamp, host: cfg.host, level, event, fields};
    ring.push(kept);
    logger[level](kept);
  };

  return {
    record: ({level, event, fields}) => {
      metrics.count(event, fields);
      if (LEVEL_ORDER[level] >= LEVEL_ORDER[cfg.level]) {
        keep(level, event, fields);
      }
    },
    readEvents: ring.readAfter,
    metrics,
    flush: () => cfg.destination.flushSync(),
  };
}
