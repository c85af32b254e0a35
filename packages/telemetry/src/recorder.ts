/** Records events: stamps, logs, counts and keeps them. */

import {pino} from 'pino';
import type {Instant} from '@lacewingroad/runtime';
import type {ActionOf, FieldValue} from '@lacewingroad/core';
import {formatEventLine} from './event_line.js';
import type {EventLevel, TimelineEvent} from './event_line.js';
import {createEventRing} from './event_ring.js';
import type {Hlc} from './hlc.js';
import type {LogDestination} from './stdout_destination.js';
import {createLineLimit} from './line_limit.js';
import {createRequestTrails} from './request_trails.js';
import {createMetrics} from './metrics.js';
import type {Metrics} from './metrics.js';

/** Events that a process keeps for /events unless told otherwise. */
export const DEFAULT_RING_CAPACITY = 5_000;

/** Requests whose earlier events are kept: a few seconds of a busy host. */
const MAX_TRAILS = 5_000;

/** Ends of a request whose story nobody will ask for. */
const QUIET_END = 'request_done';

/** What the log holds; may change while a process runs. */
export interface LogSettings {
  /**
   * Events below it are counted, but logged and kept only where they belong to
   * a request that fails.
   */
  readonly level: EventLevel;
  /** Lines a second of each kind of event; 0 for no limit. */
  readonly linesPerSecond: number;
}

/** What a recorder is made of. */
export interface RecorderConfig extends LogSettings {
  readonly host: string;
  readonly hlc: Hlc;
  /** The monotonic clock, by which lines are bounded. */
  readonly now: () => Instant;
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
  /** Puts other settings of the log into force. */
  readonly configure: (settings: LogSettings) => void;
  /** Writes out what is still buffered; resolves even if nobody reads it. */
  readonly flush: () => Promise<void>;
}

type Fields = Readonly<Record<string, FieldValue>>;

const LEVEL_ORDER: Readonly<Record<EventLevel, number>> = {
  debug: 0,
  info: 1,
  warn: 2,
  error: 3,
};

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

/** Returns the request that an event tells of, or null. */
function readRequest(fields: Fields): string | null {
  const {request} = fields;
  return typeof request === 'string' ? request : null;
}

/** Creates the recorder of one entry host. */
export function createRecorder(cfg: RecorderConfig): Recorder {
  const ring = createEventRing(cfg.ringCapacity ?? DEFAULT_RING_CAPACITY);
  const trails = createRequestTrails(MAX_TRAILS);
  let {level: leastLevel} = cfg;
  let limit = createLineLimit(cfg.linesPerSecond);
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

  /** Tells how many lines were left out, once their second is over. */
  const writeSuppressed = (now: Instant): void => {
    for (const {level, event, count} of limit.takeSuppressed(now)) {
      const fields = {suppressed: event, lines: count};
      write(create(level, 'lines_suppressed', fields));
    }
  };

  const log = (event: TimelineEvent, now: Instant): void => {
    const request = readRequest(event.fields);
    const trail = request === null ? [] : trails.take(request);
    writeSuppressed(now);
    if (!limit.take(event.level, event.event, now)) {
      metrics.countSuppressedLines(1 + trail.length);
      return;
    }
    trail.forEach(write);
    write(event);
  };

  /** Keeps an event below the level for the case that its request fails. */
  const keepQuietly = (event: TimelineEvent): void => {
    const request = readRequest(event.fields);
    if (request === null) {
      return;
    }
    if (event.event === QUIET_END) {
      trails.take(request);
      return;
    }
    trails.add(request, event);
  };

  return {
    record: ({level, event, fields}) => {
      metrics.count(event, fields);
      const created = create(level, event, fields);
      if (LEVEL_ORDER[level] < LEVEL_ORDER[leastLevel]) {
        keepQuietly(created);
        return;
      }
      log(created, cfg.now());
    },
    readEvents: ring.readAfter,
    metrics,
    configure: settings => {
      writeSuppressed(Infinity);
      leastLevel = settings.level;
      limit = createLineLimit(settings.linesPerSecond);
    },
    flush: () => {
      writeSuppressed(Infinity);
      return cfg.destination.flush();
    },
  };
}
