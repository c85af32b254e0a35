/** Ends jobs and sends their outcomes to the requesting hosts. */

import {describeView, readReport} from '../control/control_status.js';
import type {EndpointId, RequestId} from '../model/ids.js';
import type {Outcome} from '../model/outcome.js';
import {dropJob, findJob} from './job_set.js';
import {getGroup, getPool, record, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Job} from './state.js';

/** Returns the log level of an outcome. */
function chooseLogLevel(outcome: Outcome): 'debug' | 'info' {
  const isEndpointAnswer = outcome.type === 'done' || outcome.type === 'failed';
  return isEndpointAnswer ? 'debug' : 'info';
}

/** Returns log fields: the load of a pool and the age of this host's view. */
function describePool(
  turn: Turn,
  endpoint: EndpointId,
): Readonly<Record<string, number | null>> {
  const pool = getPool(turn, endpoint);
  const view = describeView(turn.board(), turn.now);
  if (pool === null) {
    return view;
  }
  return {
    queued: pool.jobs.queued.size,
    running: pool.jobs.active.size,
    conns: pool.conns.size,
    service_ms: Math.round(pool.serviceMs),
    group_term: getGroup(turn, pool)?.term ?? null,
    ...view,
  };
}

/** Returns the reason or error number of an outcome; null if it has none. */
function findReason(outcome: Outcome): string | number | null {
  if (outcome.type === 'failed') {
    return outcome.error.errno;
  }
  return outcome.type === 'done' ? null : outcome.reason;
}

/** Sends an outcome to the requesting host and logs it. */
export function answerJob(
  turn: Turn,
  endpoint: EndpointId,
  job: Pick<Job, 'msg' | 'host'>,
  outcome: Outcome,
): void {
  const {request, attempt, group, kind, rank, mode} = job.msg;
  turn.act({
    type: 'send',
    host: job.host,
    msg: {
      type: 'ran',
      request,
      attempt,
      outcome,
      report: readReport(turn.board(), endpoint, turn.now),
    },
  });
  const event = outcome.type === 'not_run' ? 'job_refused' : 'job_done';
  record(turn, chooseLogLevel(outcome), event, {
    request,
    attempt,
    endpoint,
    group,
    kind,
    rank,
    mode,
    outcome: outcome.type,
    reason: findReason(outcome),
    ...(outcome.type === 'not_run' ? describePool(turn, endpoint) : {}),
  });
}

/** Removes a job that uses no connection and sends its outcome. */
export function endJob(
  turn: Turn,
  endpoint: EndpointId,
  request: RequestId,
  outcome: Outcome,
): void {
  const pool = getPool(turn, endpoint);
  const job = pool === null ? undefined : findJob(pool.jobs, request);
  if (pool === null || job === undefined) {
    return;
  }
  setPool(turn, endpoint, {jobs: dropJob(pool.jobs, request)});
  answerJob(turn, endpoint, job, outcome);
}
