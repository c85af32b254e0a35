/** Sentences for the events of pools that one host owns: the users' platform. */

import {show} from './explain_fields.js';
import type {Fields} from './explain_fields.js';

/** Tells an event; null where it is not one of such a pool. */
type TellPool = (fields: Fields) => string | null;

function tellSent(fields: Fields): string | null {
  if (!('table_version' in fields)) {
    return null;
  }
  return (
    `sent it to ${show(fields, 'owner')}, which owns the pool of ${show(fields, 'group')}, attempt ${show(fields, 'attempt')}, ` +
    `by version ${show(fields, 'table_version')} of the table; ${show(fields, 'left_ms')} ms were left.`
  );
}

function tellStarted(fields: Fields): string | null {
  if (!('generation' in fields)) {
    return null;
  }
  const needed =
    fields['min_index'] == null
      ? 'it needed no position'
      : `it needed index ${show(fields, 'min_index')} of term ${show(fields, 'min_term')}`;
  return (
    `began to run it at ${show(fields, 'endpoint')} after ${show(fields, 'waited_ms')} ms in the queue (${show(fields, 'consistency')}, ${needed}), ` +
    `with ${show(fields, 'primary')} as primary of term ${show(fields, 'term')}, as owner of generation ${show(fields, 'generation')}.`
  );
}

function tellEnded(fields: Fields): string {
  const place =
    fields['endpoint'] == null
      ? 'while it waited for a slot'
      : `at ${show(fields, 'endpoint')}`;
  return (
    `ended it ${place} after ${show(fields, 'took_ms')} ms and ${show(fields, 'attempts')} attempts, with ${show(fields, 'left_ms')} ms left: ` +
    `${show(fields, 'outcome')}, reason ${show(fields, 'reason')}, as owner of generation ${show(fields, 'generation')}.`
  );
}

function tellAnswered(fields: Fields): string | null {
  if (!('table_version' in fields)) {
    return null;
  }
  const sent =
    fields['owner'] == null
      ? 'with no owner in reach'
      : `sent to ${show(fields, 'owner')}`;
  return (
    `answered the caller after ${show(fields, 'latency_ms')} ms, ${sent}: ${show(fields, 'outcome')}, reason ${show(fields, 'reason')}, ` +
    `by version ${show(fields, 'table_version')} of the table.`
  );
}

/** What is told of an event of a pool, by its name. */
export const POOL_SENTENCES: Readonly<Record<string, TellPool>> = {
  request_sent: tellSent,
  job_started: tellStarted,
  job_done: fields => ('generation' in fields ? tellEnded(fields) : null),
  job_ended: tellEnded,
  request_done: tellAnswered,
  request_failed: tellAnswered,
  request_not_run: tellAnswered,
  request_unknown: tellAnswered,
};

/** What would have changed the outcome, by reasons that only such pools give. */
export const POOL_REMEDIES: Readonly<Record<string, string>> = {
  no_owner:
    "The host that owns the group's pool was gone or out of reach: see owner_changed and link_down around that time; another entry host, or the same one once an owner is known, would have served it.",
  no_endpoint:
    'It was tried at several endpoints without an answer: an endpoint that answers would have run it.',
  lease_expired:
    'The answer came when the host could no longer act as owner: look before it is sent again; promises of its deputies, or the store, would have let it be acknowledged.',
};
