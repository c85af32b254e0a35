/** Explains what happened to one request, from the events of all hosts. */

import type {
  FieldValue,
  NotRunReason,
  RouteReason,
  UnknownReason,
} from '@lacewingroad/core';
import type {TimelineEvent} from './event_line.js';
import {formatField} from './explain_fields.js';
import type {Fields} from './explain_fields.js';
import {POOL_REMEDIES, POOL_SENTENCES} from './explain_pool.js';
import {mergeTimeline} from './timeline.js';

/** Related events this long before and after a request are included, in ms. */
const CONTEXT_MS = 5_000;
/** Maximum number of related events; the latest are kept. */
const MAX_CONTEXT_EVENTS = 20;

/** The explanation of one request. */
export interface Explanation {
  readonly request: string;
  /** One sentence for each event of the request, in order. */
  readonly story: readonly string[];
  /** Other events around that time on its hosts, group and endpoints. */
  readonly context: readonly string[];
  /** What would have changed the outcome; empty if the request was done. */
  readonly remedy: string;
}

/** Describes how current the host's view of the platform was. */
function describeView(fields: Fields): string {
  return fields['view_age_ms'] == null
    ? 'without ever having read the platform'
    : `by revision ${formatField(fields, 'view_revision')} of the platform, ${formatField(fields, 'view_age_ms')} ms old`;
}

const ROUTE_REASONS: Readonly<Record<RouteReason, string>> = {
  replica: 'a replica may serve it',
  write: 'writes run at the primary',
  transaction: 'transactions run at the primary',
  session_not_proven: "the session's newest position was not proven",
  no_staleness_allowed: 'its row allows no stale data',
  no_replica_fits: 'no replica could be reached that was recent enough',
  replicas_busy: 'the replicas were busier than the primary',
  replicas_not_used: 'replicas are switched off',
};

/** Looks up a key from a log line; unknown keys may come from another version. */
function lookUp(
  table: Readonly<Record<string, string>>,
  key: string,
): string | null {
  return Object.hasOwn(table, key) ? table[key]! : null;
}

type DescribeEvent = (fields: Fields) => string;

function describeRoute(fields: Fields): string {
  const reason = formatField(fields, 'reason');
  const position =
    fields['min_index'] == null
      ? ''
      : ` The endpoint must have reached index ${formatField(fields, 'min_index')} of term ${formatField(fields, 'min_term')}.`;
  const report =
    fields['report_age_ms'] == null
      ? 'the state of its data was not known'
      : `its last report was ${formatField(fields, 'report_age_ms')} ms old and its data ${formatField(fields, 'data_age_ms')} ms`;
  return (
    `sent it to ${formatField(fields, 'endpoint')} (${formatField(fields, 'endpoint_role')}) through ${formatField(fields, 'owner')}, attempt ${formatField(fields, 'attempt')}, ` +
    `because ${lookUp(ROUTE_REASONS, reason) ?? reason}; ${report}; decided ${describeView(fields)}.${position}`
  );
}

function describeEnd(fields: Fields): string {
  return (
    `answered the caller after ${formatField(fields, 'latency_ms')} ms and ${formatField(fields, 'attempts')} attempts: ` +
    `${formatField(fields, 'outcome')}, reason ${formatField(fields, 'reason')} (target ${formatField(fields, 'target_ms')} ms), ${describeView(fields)}.`
  );
}

const SENTENCES: Readonly<Record<string, DescribeEvent>> = {
  request_sent: describeRoute,
  request_waits: fields =>
    `delayed it by ${formatField(fields, 'retry_in_ms')} ms before sending it again: ${formatField(fields, 'reason')}; ${formatField(fields, 'left_ms')} ms were left; decided ${describeView(fields)}.`,
  job_queued: fields =>
    `queued it for ${formatField(fields, 'endpoint')} behind ${formatField(fields, 'queued')} others, rank ${formatField(fields, 'rank')}.`,
  job_started: fields =>
    fields['step'] === 'check'
      ? `began to check connection ${formatField(fields, 'conn')} to ${formatField(fields, 'endpoint')} for it after ${formatField(fields, 'waited_ms')} ms in the queue.`
      : `began to run it at ${formatField(fields, 'endpoint')} on connection ${formatField(fields, 'conn')} after ${formatField(fields, 'waited_ms')} ms in the queue.`,
  job_refused: fields =>
    `handed it back without running it: ${formatField(fields, 'reason')}; ${formatField(fields, 'queued')} waited and ${formatField(fields, 'running')} ran at ${formatField(fields, 'endpoint')}, ` +
    `a statement took about ${formatField(fields, 'service_ms')} ms, term ${formatField(fields, 'group_term')}, ${describeView(fields)}.`,
  job_done: fields =>
    `finished it at ${formatField(fields, 'endpoint')}: ${formatField(fields, 'outcome')}, reason ${formatField(fields, 'reason')}.`,
  job_cancelled: fields =>
    `cancelled it at ${formatField(fields, 'endpoint')}, because no caller waits for it any more.`,
  conn_lost: fields =>
    `lost connection ${formatField(fields, 'conn')} to ${formatField(fields, 'endpoint')}, which it used: ${formatField(fields, 'reason')}.`,
  tx_broken: fields =>
    `ended its transaction ${formatField(fields, 'tx')}, which can no longer commit.`,
  statement_refused: fields =>
    `answered it without sending it anywhere (${formatField(fields, 'error')}): ${formatField(fields, 'detail')}`,
  session_write_lost: fields =>
    `reported a lost write to its session: the session had seen index ${formatField(fields, 'lost_index')} of term ${formatField(fields, 'lost_term')}, ` +
    `and term ${formatField(fields, 'term')} goes on from index ${formatField(fields, 'start_index')} at ${formatField(fields, 'primary')}; decided ${describeView(fields)}.`,
  session_not_stored: fields =>
    `could not store its session: ${formatField(fields, 'stored')} of ${formatField(fields, 'needed')} hosts confirmed, missing ${formatField(fields, 'missing')}.`,
  request_done: describeEnd,
  request_failed: describeEnd,
  request_not_run: describeEnd,
  request_unknown: describeEnd,
};

/** What would have changed the outcome, by the reason of the failure. */
const REMEDIES: Readonly<Record<NotRunReason | UnknownReason, string>> = {
  not_owner:
    'The pool was changing its owner; the same request succeeds once the new owner is known.',
  not_primary:
    'The primary was changing; the same request succeeds once the change is over.',
  no_evidence:
    'The owner could not confirm its primary as current: a connection to the platform, or to all promoters, would have let it run.',
  fenced:
    'A change of primary was in progress; the same request succeeds once it is over.',
  not_reached:
    "No endpoint had the session's newest write: a replica that lags less, or a row that allows no replicas, would have served it.",
  endpoint_down:
    'The endpoint refused connections: an endpoint that answers would have run it.',
  endpoint_leaving:
    'The endpoint was marked as leaving: another endpoint of the group would have run it.',
  queue_full:
    'More work of its rank waited than the queue holds: fewer callers, a higher rank or more slots would have let it run.',
  too_late:
    'It could not have been finished in time: a longer timeout, a higher rank or more slots would have let it run.',
  draining:
    'The entry host was stopping: another entry host would have run it.',
  tx_gone: 'Its transaction had ended; begin it again.',
  unreachable:
    'The host that owns the endpoint could not be reached: a working network, or a new owner, would have let it run.',
  no_primary:
    'The group had no primary: see the change of primary around that time.',
  connection_lost:
    'The connection broke after the statement was sent: with a request key it could have been sent again.',
  timed_out:
    'No answer came within its timeout: check whether the endpoint or the network stopped responding.',
  evidence_expired:
    'The answer came when the primary could no longer be confirmed as current: a connection to the platform would have let it be acknowledged.',
  replica_not_reached:
    'No replica confirmed the write in time: a replica that lags less would have.',
  owner_lost:
    'The host that ran it was lost: with a request key it could have been sent again.',
  replaced_primary:
    'The primary was replaced while it ran: acknowledgement by a replica (column ack) would have kept it.',
  session_not_kept:
    'Too few hosts that store the session could be reached: see which were missing.',
};

/** Describes one event of the request. */
function describeStep(event: TimelineEvent): string {
  const {fields} = event;
  const sentence =
    POOL_SENTENCES[event.event]?.(fields) ??
    SENTENCES[event.event]?.(fields) ??
    `recorded ${event.event}.`;
  return `${event.stamp} ${event.host} ${sentence}`;
}

function readWallMs(event: TimelineEvent): number {
  return Number(event.stamp.split('.')[0]);
}

/** Collects the distinct values of the given fields. */
function collectValues(
  events: readonly TimelineEvent[],
  keys: readonly string[],
): ReadonlySet<FieldValue> {
  const values = events.flatMap(({fields}) => keys.map(key => fields[key]));
  return new Set(values.filter(value => value != null));
}

/** Finds other events around that time on the same hosts, group or endpoints. */
function findContext(
  allEvents: readonly TimelineEvent[],
  requestEvents: readonly TimelineEvent[],
): readonly TimelineEvent[] {
  const from = readWallMs(requestEvents[0]!) - CONTEXT_MS;
  const until = readWallMs(requestEvents.at(-1)!) + CONTEXT_MS;
  const groups = collectValues(requestEvents, ['group']);
  const endpoints = collectValues(requestEvents, ['endpoint']);
  const hosts = new Set<FieldValue>([
    ...requestEvents.map(({host}) => host),
    ...collectValues(requestEvents, ['owner']),
  ]);
  const isRelated = ({host, level, fields}: TimelineEvent): boolean => {
    const {group, endpoint, request} = fields;
    if (request != null || level === 'debug') {
      return false;
    }
    if (endpoint != null) {
      return endpoints.has(endpoint);
    }
    return group != null ? groups.has(group) : hosts.has(host);
  };
  return allEvents
    .filter(event => readWallMs(event) >= from && readWallMs(event) <= until)
    .filter(isRelated)
    .slice(-MAX_CONTEXT_EVENTS);
}

function formatContextEvent(event: TimelineEvent): string {
  const pairs = Object.entries(event.fields).map(
    ([key, value]) => `${key}=${String(value)}`,
  );
  return `${event.stamp} ${event.host} ${event.event} ${pairs.join(' ')}`;
}

/** Returns what would have changed the outcome; empty if the request was done. */
function findRemedy(requestEvents: readonly TimelineEvent[]): string {
  if (requestEvents.some(({event}) => event === 'session_write_lost')) {
    return REMEDIES.replaced_primary;
  }
  if (requestEvents.some(({event}) => event === 'request_done')) {
    return '';
  }
  const remedies = requestEvents
    .map(({fields}) => String(fields['reason']))
    .map(reason => lookUp(REMEDIES, reason) ?? lookUp(POOL_REMEDIES, reason))
    .filter(remedy => remedy !== null);
  return remedies.at(-1) ?? '';
}

/** Explains a request; returns null if no event mentions it. */
export function explainRequest(
  events: readonly TimelineEvent[],
  request: string,
): Explanation | null {
  const allEvents = mergeTimeline(events);
  const requestEvents = allEvents.filter(
    ({fields}) => fields['request'] === request,
  );
  if (requestEvents.length === 0) {
    return null;
  }
  return {
    request,
    story: requestEvents.map(describeStep),
    context: findContext(allEvents, requestEvents).map(formatContextEvent),
    remedy: findRemedy(requestEvents),
  };
}
