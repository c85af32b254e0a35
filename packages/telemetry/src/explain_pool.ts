/** Sentences for the events of pools with a single owner host. */

import {formatField} from './explain_fields.js';
import type {Fields} from './explain_fields.js';

/** Describes an event; returns null if it does not belong to such a pool. */
type DescribePoolEvent = (fields: Fields) => string | null;

function describeSent(fields: Fields): string | null {
  if (!('table_version' in fields)) {
    return null;
  }
  return (
    `sent it to ${formatField(fields, 'owner')}, which owns the pool of ${formatField(fields, 'group')}, attempt ${formatField(fields, 'attempt')}, ` +
    `by version ${formatField(fields, 'table_version')} of the table; ${formatField(fields, 'left_ms')} ms were left.`
  );
}

function describeStarted(fields: Fields): string | null {
  if (!('generation' in fields)) {
    return null;
  }
  const needed =
    fields['min_index'] == null
      ? 'it needed no position'
      : `it needed index ${formatField(fields, 'min_index')} of term ${formatField(fields, 'min_term')}`;
  return (
    `began to run it at ${formatField(fields, 'endpoint')} after ${formatField(fields, 'waited_ms')} ms in the queue (${formatField(fields, 'consistency')}, ${needed}), ` +
    `with ${formatField(fields, 'primary')} as primary of term ${formatField(fields, 'term')}, as owner of generation ${formatField(fields, 'generation')}.`
  );
}

function describeEnded(fields: Fields): string {
  const place =
    fields['endpoint'] == null
      ? 'while it waited for a slot'
      : `at ${formatField(fields, 'endpoint')}`;
  return (
    `ended it ${place} after ${formatField(fields, 'took_ms')} ms and ${formatField(fields, 'attempts')} attempts, with ${formatField(fields, 'left_ms')} ms left: ` +
    `${formatField(fields, 'outcome')}, reason ${formatField(fields, 'reason')}, as owner of generation ${formatField(fields, 'generation')}.`
  );
}

function describeRefused(fields: Fields): string | null {
  if (!('generation' in fields)) {
    return null;
  }
  const wait =
    fields['expected_wait_ms'] == null
      ? 'no slot was expected for it'
      : `a slot was expected after ${formatField(fields, 'expected_wait_ms')} ms`;
  return (
    `refused it as ${formatField(fields, 'reason')} after ${formatField(fields, 'held_ms')} ms in the queue, rank ${formatField(fields, 'rank')}: ${wait}, ` +
    `and ${formatField(fields, 'left_ms')} ms were left; its caller was to return after ${formatField(fields, 'retry_after_ms')} ms.`
  );
}

function describeAnswered(fields: Fields): string | null {
  if (!('table_version' in fields)) {
    return null;
  }
  const sent =
    fields['owner'] == null
      ? 'with no reachable owner'
      : `sent to ${formatField(fields, 'owner')}`;
  return (
    `answered the caller after ${formatField(fields, 'latency_ms')} ms, ${sent}: ${formatField(fields, 'outcome')}, reason ${formatField(fields, 'reason')}, ` +
    `by version ${formatField(fields, 'table_version')} of the table.`
  );
}

/** Sentences by event name. */
export const POOL_SENTENCES: Readonly<Record<string, DescribePoolEvent>> = {
  request_sent: describeSent,
  job_started: describeStarted,
  job_done: fields => ('generation' in fields ? describeEnded(fields) : null),
  job_ended: describeEnded,
  job_refused: describeRefused,
  request_done: describeAnswered,
  request_failed: describeAnswered,
  request_not_run: describeAnswered,
  request_unknown: describeAnswered,
};

/** What would have changed the outcome, by reasons that only such pools report. */
export const POOL_REMEDIES: Readonly<Record<string, string>> = {
  no_owner:
    "The host that owns the group's pool was down or unreachable: see owner_changed and link_down around that time; another entry host, or the same one once an owner is known, would have served it.",
  overtaken:
    'More urgent work that came after it left it no slot in time: fewer urgent callers, a higher rank or more slots would have let it run.',
  no_endpoint:
    'It was tried at several endpoints without an answer: an endpoint that answers would have run it.',
  no_replica:
    'The primary confirmed no write for a while, and no replica could take its place: a path between the primary and a replica, or between the owner and a replica, would have let it run.',
  lease_expired:
    'The answer came when the host could no longer act as owner: check the outcome before sending it again; promises of its deputies, or the store, would have let it be acknowledged.',
};
