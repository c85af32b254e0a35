/** Metrics of one entry host, derived from the events that it records. */

import type {FieldValue} from '@lacewingroad/core';
import {createConnCounters} from './conn_metrics.js';
import {registerGauge} from './gauges.js';
import type {GaugeDefinition} from './gauges.js';
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

type Fields = Readonly<Record<string, FieldValue>>;
type EventCounter = (fields: Fields) => void;

/** Upper bounds of the latency buckets, in seconds. */
const LATENCY_BUCKETS_SECONDS = [
  0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15,
];
/** Maximum number of distinct values of one label; callers choose some of them. */
const MAX_LABEL_VALUES = 200;
/** The label value for all values beyond the limit. */
const OTHER_LABEL = 'other';
const MS_PER_SECOND = 1_000;
/**
 * Interval at which the event loop delay is sampled, in milliseconds. Each
 * sample wakes the process. A loop without delay reports this value.
 */
const EVENT_LOOP_SAMPLE_MS = 200;

/** The metrics of one entry host, in their own registry. */
export interface Metrics {
  /** Counts one recorded event. */
  readonly count: (event: string, fields: Fields) => void;
  /** Counts log lines suppressed by the rate limit of their kind. */
  readonly countSuppressedLines: (lines: number) => void;
  /** Counts a log line dropped because the log's reader is too slow. */
  readonly countDroppedLine: () => void;
  /** Adds a gauge that is read at each scrape. */
  readonly registerGauge: (definition: GaugeDefinition) => void;
  /** Returns all metrics in the Prometheus text format. */
  readonly readText: () => Promise<string>;
  readonly contentType: string;
}

/** Returns a function that limits a label to a bounded set of values. */
function createBoundedLabel(): (value: FieldValue | undefined) => string {
  const known = new Set<string>();
  return value => {
    const label = value == null ? 'none' : String(value);
    if (known.has(label)) {
      return label;
    }
    if (known.size >= MAX_LABEL_VALUES) {
      return OTHER_LABEL;
    }
    known.add(label);
    return label;
  };
}

/** Creates the counter of finished requests. */
function createRequestCounter(registry: Registry): EventCounter {
  const registers = [registry];
  const service = createBoundedLabel();
  const kind = createBoundedLabel();
  const rank = createBoundedLabel();
  const outcome = createBoundedLabel();
  const role = createBoundedLabel();
  const requests = new Counter({
    name: 'lacewingroad_requests_total',
    help: 'Requests that ended, by outcome.',
    labelNames: ['service', 'kind', 'rank', 'outcome'],
    registers,
  });
  const served = new Counter({
    name: 'lacewingroad_requests_by_role_total',
    help: 'Requests done, by role of the endpoint that served them.',
    labelNames: ['service', 'access', 'endpoint_role'],
    registers,
  });
  const inTarget = new Counter({
    name: 'lacewingroad_requests_in_target_total',
    help: 'Requests done within the target time of their row.',
    labelNames: ['service', 'kind', 'rank'],
    registers,
  });
  const latency = new Histogram({
    name: 'lacewingroad_request_latency_seconds',
    help: 'Time from receiving a request to answering it.',
    labelNames: ['service', 'rank'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers,
  });
  return fields => {
    const workLabels = {
      service: service(fields['service']),
      kind: kind(fields['kind']),
      rank: rank(fields['rank']),
    };
    requests.inc({...workLabels, outcome: outcome(fields['outcome'])});
    const endpointRole = role(fields['endpoint_role']);
    const access = fields['is_write'] === true ? 'write' : 'read';
    if (fields['outcome'] === 'done') {
      const {service} = workLabels;
      served.inc({service, access, endpoint_role: endpointRole});
    }
    if (fields['is_in_time'] === true) {
      inTarget.inc(workLabels);
    }
    const latencyMs = fields['latency_ms'];
    if (typeof latencyMs === 'number') {
      const labels = {service: workLabels.service, rank: workLabels.rank};
      latency.observe(labels, latencyMs / MS_PER_SECOND);
    }
  };
}

/**
 * Creates the counter of routes, which shows how many reads replicas serve and
 * why the primary serves the others.
 */
function createRouteCounter(registry: Registry): EventCounter {
  const role = createBoundedLabel();
  const reason = createBoundedLabel();
  const routes = new Counter({
    name: 'lacewingroad_routes_total',
    help: 'Attempts that were sent, by role of the endpoint and reason.',
    labelNames: ['endpoint_role', 'reason'],
    registers: [registry],
  });
  return fields =>
    routes.inc({
      endpoint_role: role(fields['endpoint_role']),
      reason: reason(fields['reason']),
    });
}

/** Creates the counter of retries. */
function createRetryCounter(registry: Registry): EventCounter {
  const reason = createBoundedLabel();
  const waits = new Counter({
    name: 'lacewingroad_retries_total',
    help: 'Requests that wait to be sent again, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  return fields => waits.inc({reason: reason(fields['reason'])});
}

/** Creates the counter of calls to the platform; the platform counts them, too. */
function createPlatformCounter(registry: Registry): EventCounter {
  const call = createBoundedLabel();
  const calls = new Counter({
    name: 'lacewingroad_platform_calls_total',
    help: 'Calls of the platform, by kind.',
    labelNames: ['call'],
    registers: [registry],
  });
  return fields => calls.inc({call: call(fields['call'])});
}

/** Creates the counter of requests that pools refuse. */
function createRefusalCounter(registry: Registry): EventCounter {
  const endpoint = createBoundedLabel();
  const rank = createBoundedLabel();
  const reason = createBoundedLabel();
  const refusals = new Counter({
    name: 'lacewingroad_pool_refusals_total',
    help: 'Requests that a pool handed back without running them.',
    labelNames: ['endpoint', 'rank', 'reason'],
    registers: [registry],
  });
  return fields =>
    refusals.inc({
      endpoint: endpoint(fields['endpoint']),
      rank: rank(fields['rank']),
      reason: reason(fields['reason']),
    });
}

/** Creates the gauges of the capacity that owners estimate for endpoints. */
function createCapacityGauges(registry: Registry): EventCounter {
  const group = createBoundedLabel();
  const endpoint = createBoundedLabel();
  const define = (definition: {name: string; help: string}): Gauge =>
    new Gauge({
      ...definition,
      labelNames: ['group', 'endpoint'],
      registers: [registry],
    });
  const factors = define({
    name: 'lacewingroad_endpoint_speed_factor',
    help: 'Service time at an endpoint relative to the normal one, as last logged.',
  });
  const limits = define({
    name: 'lacewingroad_endpoint_limit',
    help: 'Statements that an endpoint runs well concurrently, as last logged.',
  });
  return fields => {
    const labels = {
      group: group(fields['group']),
      endpoint: endpoint(fields['endpoint']),
    };
    const {factor, limit} = fields;
    if (typeof factor === 'number' && typeof limit === 'number') {
      factors.set(labels, factor);
      limits.set(labels, limit);
    }
  };
}

/** Creates the counter of sessions that are closed at a limit of clients. */
function createClosedSessionCounter(registry: Registry): EventCounter {
  const reason = createBoundedLabel();
  const closed = new Counter({
    name: 'lacewingroad_sessions_closed_total',
    help: 'Sessions that were closed at a limit of clients.',
    labelNames: ['reason'],
    registers: [registry],
  });
  return fields => closed.inc({reason: reason(fields['reason'])});
}

/** Creates the histogram of the time that requests wait for a slot. */
function createQueueHistogram(registry: Registry): EventCounter {
  const endpoint = createBoundedLabel();
  const rank = createBoundedLabel();
  const waits = new Histogram({
    name: 'lacewingroad_queue_wait_seconds',
    help: 'Time from taking a request into the queue to running it.',
    labelNames: ['endpoint', 'rank'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [registry],
  });
  return fields => {
    const waitMs = fields['waited_ms'];
    if (typeof waitMs === 'number') {
      const labels = {
        endpoint: endpoint(fields['endpoint']),
        rank: rank(fields['rank']),
      };
      waits.observe(labels, waitMs / MS_PER_SECOND);
    }
  };
}

/**
 * Creates the metrics of one entry host. `withProcess` adds those of the
 * process itself (CPU time, memory, event loop); use it once per process.
 */
export function createMetrics(withProcess: boolean): Metrics {
  const registry = new Registry();
  const eventLabel = createBoundedLabel();
  const events = new Counter({
    name: 'lacewingroad_events_total',
    help: 'Events of the time line, by name.',
    labelNames: ['event'],
    registers: [registry],
  });
  const lostLines = new Counter({
    name: 'lacewingroad_log_lines_lost_total',
    help: 'Log lines that were not written: over the limit of their kind, or dropped for a slow reader.',
    labelNames: ['reason'],
    registers: [registry],
  });
  if (withProcess) {
    collectDefaultMetrics({
      register: registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
    });
  }
  const countRequest = createRequestCounter(registry);
  const counters: Readonly<Record<string, EventCounter>> = {
    request_done: countRequest,
    request_failed: countRequest,
    request_not_run: countRequest,
    request_unknown: countRequest,
    request_sent: createRouteCounter(registry),
    request_waits: createRetryCounter(registry),
    platform_called: createPlatformCounter(registry),
    job_refused: createRefusalCounter(registry),
    job_started: createQueueHistogram(registry),
    ...createConnCounters(registry, createBoundedLabel),
    endpoint_capacity: createCapacityGauges(registry),
    session_closed: createClosedSessionCounter(registry),
  };
  return {
    count: (event, fields) => {
      events.inc({event: eventLabel(event)});
      if (Object.hasOwn(counters, event)) {
        counters[event]?.(fields);
      }
    },
    countSuppressedLines: lines => lostLines.inc({reason: 'suppressed'}, lines),
    countDroppedLine: () => lostLines.inc({reason: 'slow_reader'}),
    registerGauge: definition => registerGauge(registry, definition),
    readText: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
