/** Records events: stamps, logs, counts and stores them. */

import {pino} from 'pino';
import type {Instant} from '@lacewingroad/runtime';
import type {ActionOf, FieldValue} from '@lacewingroad/core';
import {formatEventLine} from './event_line.js';
import type {EventLevel, TimelineEvent} from './event_line.js';
import {createEventRing} from './event_ring.js';
import type {Hlc} from './hlc.js';
import type {LogDestination} from './stdout_destination.js';
import {createLineRateLimiter} from './line_rate_limiter.js';
import {createRequestEventBuffer} from './request_event_buffer.js';
import {createMetrics} from './metrics.js';
import type {Metrics} from './metrics.js';

/** Default number of events that a process keeps for /events. */
export const DEFAULT_RING_CAPACITY = 5_000;

/**
 * Maximum number of requests with buffered events: a few seconds of traffic on
 * a busy host.
 */
const MAX_BUFFERED_REQUESTS = 5_000;

/** The event of a successful request, whose buffered events are discarded. */
const SUCCESS_EVENT = 'request_done';

/** Log settings; may change while the process runs. */
export interface LogSettings {
  /**
   * Events below this level are counted, but logged and kept only if they
   * belong to a request that fails.
   */
  readonly level: EventLevel;
  /** Log lines per second for each kind of event; 0 for no limit. */
  readonly linesPerSecond: number;
}

/** Configuration of a recorder. */
export interface RecorderConfig extends LogSettings {
  readonly host: string;
  readonly hlc: Hlc;
  /** The monotonic clock, which the rate limit uses. */
  readonly now: () => Instant;
  readonly destination: LogDestination;
  readonly ringCapacity?: number;
  /** Whether to include the metrics of the process itself. */
  readonly withProcessMetrics?: boolean;
}

/** Records the events of one entry host. */
export interface Recorder {
  /** Performs a `record` action. */
  readonly record: (action: ActionOf<'record'>) => void;
  /** Returns the kept events with a higher `seq`, oldest first. */
  readonly readEvents: (afterSeq: number) => readonly TimelineEvent[];
  readonly metrics: Metrics;
  /** Applies new log settings. */
  readonly configure: (settings: LogSettings) => void;
  /** Writes out buffered lines; resolves even if the log is not read. */
  readonly flush: () => Promise<void>;
}

type Fields = Readonly<Record<string, FieldValue>>;

const LEVEL_ORDER: Readonly<Record<EventLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

/** Creates the stream that pino writes to; it formats events as key=value lines. */
function createLineStream(destination: LogDestination) {
  return {
    // Makes pino set `lastObj` to the event, from which the line is formatted.
    [Symbol.for('pino.metadata')]: true,
    lastObj: null as TimelineEvent | null,
    write(_json: string): void {
      if (this.lastObj !== null) {
        destination.write(`${formatEventLine(this.lastObj)}\n`);
      }
    },
  };
}

/** Returns the request that an event belongs to, or null. */
function readRequestId(fields: Fields): string | null {
  const {request} = fields;
  return typeof request === 'string' ? request : null;
}

/** Creates the recorder of one entry host. */
export function createRecorder(cfg: RecorderConfig): Recorder {
  const ring = createEventRing(cfg.ringCapacity ?? DEFAULT_RING_CAPACITY);
  const requestEvents = createRequestEventBuffer(MAX_BUFFERED_REQUESTS);
  let {level: minLevel} = cfg;
  let rateLimiter = createLineRateLimiter(cfg.linesPerSecond);
  const metrics = createMetrics(cfg.withProcessMetrics ?? false);
  const stream = createLineStream(cfg.destination);
  const logger = pino({level: 'debug', base: null, timestamp: false}, stream);
  let seq = 0;
  cfg.destination.onDrop?.(() => metrics.countDroppedLine());

  const create = (
    level: EventLevel,
    event: string,
    fields: Fields,
  ): TimelineEvent => {
    seq++;
    const stamp = cfg.hlc.tick();
    return {seq, stamp, host: cfg.host, level, event, fields};
  };

  const write = (event: TimelineEvent): void => {
    ring.push(event);
    logger[event.level](event);
  };

  /** Writes the numbers of suppressed lines once their window has ended. */
  const writeSuppressed = (now: Instant): void => {
    for (const {level, event, count} of rateLimiter.takeSuppressed(now)) {
      const fields = {suppressed: event, lines: count};
      write(create(level, 'lines_suppressed', fields));
    }
  };

  const log = (event: TimelineEvent, now: Instant): void => {
    const request = readRequestId(event.fields);
    const earlierEvents = request === null ? [] : requestEvents.take(request);
    writeSuppressed(now);
    if (!rateLimiter.take(event.level, event.event, now)) {
      metrics.countSuppressedLines(1 + earlierEvents.length);
      return;
    }
    earlierEvents.forEach(write);
    write(event);
  };

  /** Buffers an event below the level in case its request fails. */
  const bufferForFailure = (event: TimelineEvent): void => {
    const request = readRequestId(event.fields);
    if (request === null) {
      return;
    }
    if (event.event === SUCCESS_EVENT) {
      requestEvents.take(request);
      return;
    }
    requestEvents.add(request, event);
  };

  return {
    record: ({level, event, fields}) => {
      metrics.count(event, fields);
      const created = create(level, event, fields);
      if (LEVEL_ORDER[level] < LEVEL_ORDER[minLevel]) {
        bufferForFailure(created);
        return;
      }
      log(created, cfg.now());
    },
    readEvents: ring.readAfter,
    metrics,
    configure: settings => {
      writeSuppressed(Infinity);
      minLevel = settings.level;
      rateLimiter = createLineRateLimiter(settings.linesPerSecond);
    },
    flush: () => {
      writeSuppressed(Infinity);
      return cfg.destination.flush();
    },
  };
}
