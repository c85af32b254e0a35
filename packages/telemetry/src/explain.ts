/** Tells the story of one request in sentences, from the events of all hosts. */

import type {
  FieldValue,
  NotRunReason,
  RouteReason,
  UnknownReason,
} from '@lacewingroad/core';
import type {TimelineEvent} from './event_line.js';
import {show} from './explain_fields.js';
import type {Fields} from './explain_fields.js';
import {POOL_REMEDIES, POOL_SENTENCES} from './explain_pool.js';
import {mergeTimeline} from './timeline.js';

/** Time around a request in which other events may explain it, in ms. */
const CONTEXT_MS = 5_000;
/** Other events that are told at most; the nearest in time go first. */
const MAX_CONTEXT_EVENTS = 20;

/** What is known of a request. */
export interface Explanation {
  readonly request: string;
  /** One sentence a step, in order. */
  readonly story: readonly string[];
  /** Events around it that changed what its hosts believed. */
  readonly context: readonly string[];
  /** What would have changed the outcome; empty where it was done. */
  readonly remedy: string;
}

/** Tells how current the view of a host was. */
function showView(fields: Fields): string {
  return fields['view_age_ms'] == null
    ? 'by a view of the platform that had never been read'
    : `by revision ${show(fields, 'view_revision')} of the platform, ${show(fields, 'view_age_ms')} ms old`;
}

const ROUTE_REASONS: Readonly<Record<RouteReason, string>> = {
  replica: 'a replica may serve it',
  write: 'writes run at the primary',
  transaction: 'transactions run at the primary',
  session_not_proven: "the session's newest position was not proven",
  no_staleness_allowed: 'its row allows no age of data',
  no_replica_fits: 'no replica could be reached that was recent enough',
  replicas_busy: 'the replicas were busier than the primary',
  replicas_not_used: 'replicas are switched off',
};

/** Looks up what a log line says, which may be of another version. */
function find(
  table: Readonly<Record<string, string>>,
  key: string,
): string | null {
  return Object.hasOwn(table, key) ? table[key]! : null;
}

type Tell = (fields: Fields) => string;

function tellRoute(fields: Fields): string {
  const reason = show(fields, 'reason');
  const position =
    fields['min_index'] == null
      ? ''
      : ` The endpoint must have reached index ${show(fields, 'min_index')} of term ${show(fields, 'min_term')}.`;
  const report =
    fields['report_age_ms'] == null
      ? 'nothing was known of its data'
      : `its last report was ${show(fields, 'report_age_ms')} ms old and its data ${show(fields, 'data_age_ms')} ms`;
  return (
    `sent it to ${show(fields, 'endpoint')} (${show(fields, 'endpoint_role')}) through ${show(fields, 'owner')}, attempt ${show(fields, 'attempt')}, ` +
    `because ${find(ROUTE_REASONS, reason) ?? reason}; ${report}; decided ${showView(fields)}.${position}`
  );
}

function tellEnd(fields: Fields): string {
  return (
    `answered the caller after ${show(fields, 'latency_ms')} ms and ${show(fields, 'attempts')} attempts: ` +
    `${show(fields, 'outcome')}, reason ${show(fields, 'reason')} (target ${show(fields, 'target_ms')} ms), ${showView(fields)}.`
  );
}

const SENTENCES: Readonly<Record<string, Tell>> = {
  request_sent: tellRoute,
  request_waits: fields =>
    `let it wait ${show(fields, 'retry_in_ms')} ms before sending it again: ${show(fields, 'reason')}; ${show(fields, 'left_ms')} ms were left; decided ${showView(fields)}.`,
  job_queued: fields =>
    `took it into the queue of ${show(fields, 'endpoint')} behind ${show(fields, 'queued')} others, rank ${show(fields, 'rank')}.`,
  job_started: fields =>
    fields['step'] === 'check'
      ? `began to check connection ${show(fields, 'conn')} to ${show(fields, 'endpoint')} for it after ${show(fields, 'waited_ms')} ms in the queue.`
      : `began to run it at ${show(fields, 'endpoint')} on connection ${show(fields, 'conn')} after ${show(fields, 'waited_ms')} ms in the queue.`,
  job_refused: fields =>
    `handed it back without running it: ${show(fields, 'reason')}; ${show(fields, 'queued')} waited and ${show(fields, 'running')} ran at ${show(fields, 'endpoint')}, ` +
    `a statement took about ${show(fields, 'service_ms')} ms, term ${show(fields, 'group_term')}, ${showView(fields)}.`,
  job_done: fields =>
    `finished it at ${show(fields, 'endpoint')}: ${show(fields, 'outcome')}, reason ${show(fields, 'reason')}.`,
  job_cancelled: fields =>
    `gave it up at ${show(fields, 'endpoint')}, since nobody waits for it any more.`,
  conn_lost: fields =>
    `lost connection ${show(fields, 'conn')} to ${show(fields, 'endpoint')}, which it used: ${show(fields, 'reason')}.`,
  tx_broken: fields =>
    `ended its transaction ${show(fields, 'tx')}, which can no longer commit.`,
  statement_refused: fields =>
    `answered it without sending it anywhere (${show(fields, 'error')}): ${show(fields, 'detail')}`,
  session_write_lost: fields =>
    `told the session of a write that was lost: it had seen index ${show(fields, 'lost_index')} of term ${show(fields, 'lost_term')}, ` +
    `and term ${show(fields, 'term')} goes on from index ${show(fields, 'start_index')} at ${show(fields, 'primary')}; decided ${showView(fields)}.`,
  session_not_stored: fields =>
    `could not have its session kept: ${show(fields, 'stored')} of ${show(fields, 'needed')} hosts confirmed, missing ${show(fields, 'missing')}.`,
  request_done: tellEnd,
  request_failed: tellEnd,
  request_not_run: tellEnd,
  request_unknown: tellEnd,
};

/** What would have changed the outcome, by the reason of a failed request. */
const REMEDIES: Readonly<Record<NotRunReason | UnknownReason, string>> = {
  not_owner:
    'The pool was changing hands; the same request succeeds once the new owner is known.',
  not_primary:
    'The primary was changing; the same request succeeds once the change is over.',
  no_evidence:
    'The owner could not confirm its primary as current: reach of the platform, or of all promoters, would have let it run.',
  fenced:
    'A change of primary was in progress; the same request succeeds once it is over.',
  not_reached:
    "No endpoint had the session's newest write: a replica that lags less, or a row that allows no replicas, would have served it.",
  endpoint_down:
    'The endpoint refused connections: an endpoint that answers would have run it.',
  endpoint_leaving:
    'The endpoint was marked as leaving: another endpoint of the group would have run it.',
  queue_full:
    'More work of its rank waited than is kept: fewer callers, a higher rank or more slots would have let it run.',
  too_late:
    'It could not have been finished in time: a longer timeout, a higher rank or more slots would have let it run.',
  draining:
    'The entry host was stopping: another entry host would have run it.',
  tx_gone: 'Its transaction had ended; begin it again.',
  unreachable:
    'The host that owns the endpoint could not be reached: a mended network, or a new owner, would have let it run.',
  no_primary:
    'The group had no primary: see the change of primary around that time.',
  connection_lost:
    'The connection broke after the statement was sent: with a request key it could have been sent again.',
  timed_out:
    'No answer came within its timeout: see whether the endpoint or a network was silent.',
  evidence_expired:
    'The answer came when the primary could no longer be confirmed as current: reach of the platform would have let it be acknowledged.',
  replica_not_reached:
    'No replica confirmed the write in time: a replica that lags less would have.',
  owner_lost:
    'The host that ran it was lost: with a request key it could have been sent again.',
  replaced_primary:
    'The primary was replaced while it ran: acknowledgement by a replica (column ack) would have kept it.',
  session_not_kept:
    'Too few hosts that keep the session could be reached: see which were missing.',
};

/** Tells one event of the request. */
function tellStep(event: TimelineEvent): string {
  const {fields} = event;
  const what =
    POOL_SENTENCES[event.event]?.(fields) ??
    SENTENCES[event.event]?.(fields) ??
    `recorded ${event.event}.`;
  return `${event.stamp} ${event.host} ${what}`;
}

function readWallMs(event: TimelineEvent): number {
  return Number(event.stamp.split('.')[0]);
}

/** Collects the values that some fields have in the events of a request. */
function collect(
  events: readonly TimelineEvent[],
  keys: readonly string[],
): ReadonlySet<FieldValue> {
  const values = events.flatMap(({fields}) => keys.map(key => fields[key]));
  return new Set(values.filter(value => value != null));
}

/** Finds what changed the beliefs of the hosts around a request. */
function findContext(
  all: readonly TimelineEvent[],
  own: readonly TimelineEvent[],
): readonly TimelineEvent[] {
  const from = readWallMs(own[0]!) - CONTEXT_MS;
  const until = readWallMs(own.at(-1)!) + CONTEXT_MS;
  const groups = collect(own, ['group']);
  const endpoints = collect(own, ['endpoint']);
  const hosts = new Set<FieldValue>([
    ...own.map(({host}) => host),
    ...collect(own, ['owner']),
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
  return all
    .filter(event => readWallMs(event) >= from && readWallMs(event) <= until)
    .filter(isRelated)
    .slice(-MAX_CONTEXT_EVENTS);
}

function tellContext(event: TimelineEvent): string {
  const pairs = Object.entries(event.fields).map(
    ([key, value]) => `${key}=${String(value)}`,
  );
  return `${event.stamp} ${event.host} ${event.event} ${pairs.join(' ')}`;
}

/** Returns what would have changed the outcome; empty where it was done. */
function findRemedy(own: readonly TimelineEvent[]): string {
  if (own.some(({event}) => event === 'session_write_lost')) {
    return REMEDIES.replaced_primary;
  }
  if (own.some(({event}) => event === 'request_done')) {
    return '';
  }
  const remedies = own
    .map(({fields}) => String(fields['reason']))
    .map(reason => find(REMEDIES, reason) ?? find(POOL_REMEDIES, reason))
    .filter(remedy => remedy !== null);
  return remedies.at(-1) ?? '';
}

/** Explains a request; null where no event tells of it. */
export function explainRequest(
  events: readonly TimelineEvent[],
  request: string,
): Explanation | null {
  const all = mergeTimeline(events);
  const own = all.filter(({fields}) => fields['request'] === request);
  if (own.length === 0) {
    return null;
  }
  return {
    request,
    story: own.map(tellStep),
    context: findContext(all, own).map(tellContext),
    remedy: findRemedy(own),
  };
}
