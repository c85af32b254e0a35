/** Assigns slots and connections to waiting statements. */

import {isReadOnly, isWrite} from '../decisions/effects.js';
import {chooseForRead} from '../decisions/placement.js';
import {createTurnQueue, updateSkipCounts} from '../decisions/queue_order.js';
import {mayTryWrite} from '../decisions/stuck_writes.js';
import {getAckedUpperBound, findReadRequirements} from './acks.js';
import {getConnLimit, getSlotLimit} from './conn_limit.js';
import {findFreeConn} from './connections.js';
import {endJob, runJob} from './jobs.js';
import {createShareCheck, recordStartOfUse} from './overload.js';
import {refused} from '../model/result.js';
import type {Conn, Job, Pool} from './state.js';
import {
  createEndpointViews,
  describeWork,
  estimateMinUsefulMs,
  viewForWorkspace,
} from './views.js';
import type {PoolView} from './views.js';

interface Placement {
  readonly conn: Conn;
  readonly required: ReturnType<typeof findReadRequirements>['required'];
}

/** Finds the placement of a statement of an open transaction. */
function placeInTx(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): Placement | null {
  const tx = pool.txs.get(job.msg.tx!.id);
  const conn = tx === undefined ? undefined : pool.conns.get(tx.conn);
  if (tx === undefined || conn === undefined) {
    endJob(pool, job, refused('tx_gone'));
    return null;
  }
  const view = views.find(({id}) => id === tx.endpoint);
  const isFull = view !== undefined && view.running >= view.limit;
  const isBusy =
    conn.request !== null || pool.now() < (view?.backoffUntil ?? 0);
  return isFull || isBusy ? null : {conn, required: null};
}

/**
 * Returns whether another transaction may pin a connection of an endpoint. One
 * for each slot is left for other statements, or half of them while the endpoint
 * refuses connections, since transactions have to go on there as well.
 */
export function canPinConn(pool: Pool, view: PoolView): boolean {
  const state = pool.endpoints.get(view.id);
  if (state === undefined) {
    return false;
  }
  const limit = getConnLimit(pool, state);
  const slots = getSlotLimit(state);
  const reserved =
    state.refusal === null ? slots : Math.min(slots, Math.floor(limit / 2));
  return view.pinned < limit - reserved;
}

/** Finds the placement of a write, or of a transaction that may write. */
function placeAtPrimary(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): Placement | null {
  const view = views.find(({isPrimary}) => isPrimary);
  const isOpen =
    view !== undefined &&
    view.isUsable &&
    view.running < view.limit &&
    pool.now() >= view.backoffUntil &&
    (!isWrite(job.msg) || mayTryWrite(pool.read().unanswered, pool.now()));
  if (!isOpen || (job.msg.tx !== null && !canPinConn(pool, view))) {
    return null;
  }
  const conn = findFreeConn(pool, view.id, job.msg.workspace, job.msg.session);
  return conn === null ? null : {conn, required: getAckedUpperBound(pool)};
}

/** Finds the placement of a read, or of a read-only transaction. */
function placeRead(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): Placement | null {
  const need = findReadRequirements(pool, job);
  const own = viewForWorkspace(views, job.msg.workspace);
  const open =
    job.msg.tx === null ? own : own.filter(view => canPinConn(pool, view));
  const work = describeWork(pool, job);
  const endpoint = chooseForRead(open, need, pool.now(), work);
  const conn =
    endpoint === null
      ? null
      : findFreeConn(pool, endpoint, job.msg.workspace, job.msg.session);
  return conn === null ? null : {conn, required: need.required};
}

function findPlacement(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): Placement | null {
  const {tx} = job.msg;
  if (tx !== null && !tx.isFirst) {
    return placeInTx(pool, job, views);
  }
  return isReadOnly(job.msg)
    ? placeRead(pool, job, views)
    : placeAtPrimary(pool, job, views);
}

/**
 * Returns the key of the statements that wait for the same resource, or null.
 * Once one of them cannot be placed, the others with its key are not tried.
 */
function getWaitKey(job: Job): string | null {
  const key = getResourceKey(job);
  const {workspace} = job.msg;
  // Statements of different workspaces wait for different connections.
  return key === null || workspace === null ? key : `${key} ${workspace}`;
}

function getResourceKey(job: Job): string | null {
  const {tx, consistency} = job.msg;
  if (tx !== null && !tx.isFirst) {
    return null;
  }
  if (!isReadOnly(job.msg)) {
    return tx === null ? 'primary' : 'primary_tx';
  }
  // A session's own commit may require a newer position than other reads.
  const isShared =
    job.avoided.length === 0 &&
    (consistency !== 'session' || job.msg.position === null);
  return isShared ? `${consistency}_${tx === null}` : null;
}

/** Counts the waiting statements by rank. */
function countRanks(waiting: readonly Job[]): Map<number, number> {
  const ranks = new Map<number, number>();
  for (const {priority} of waiting) {
    ranks.set(priority, (ranks.get(priority) ?? 0) + 1);
  }
  return ranks;
}

/** Returns whether any endpoint has a slot left. */
function hasSlot(views: readonly PoolView[]): boolean {
  return views.some(({running, limit}) => running < limit);
}

/** Starts every waiting statement that can run now. */
export function startJobs(pool: Pool): void {
  const {allowances} = pool.cfg;
  const mayStart = ({msg}: Job): boolean =>
    allowances?.mayStart(msg.request) ?? true;
  const waiting = pool.jobs
    .list()
    .filter(job => job.phase === 'waiting' && mayStart(job));
  // Until a primary is known, the commits acknowledged by previous owners are
  // unknown.
  const isPrimaryKnown = pool.read().base !== null;
  if (waiting.length === 0 || !isPrimaryKnown || !pool.cfg.isLeaseValid()) {
    return;
  }
  let views = createEndpointViews(pool);
  if (!hasSlot(views)) {
    return;
  }
  const minUsefulMs = estimateMinUsefulMs(pool);
  const ranks = countRanks(waiting);
  const turns = createTurnQueue(
    waiting,
    pool.now(),
    createShareCheck(pool),
    getWaitKey,
  );
  for (;;) {
    const job = turns.take(pool.read().skipCounts);
    if (job === null) {
      return;
    }
    if (pool.now() + minUsefulMs >= job.deadline || !mayStart(job)) {
      continue;
    }
    const found = findPlacement(pool, job, views);
    if (found === null) {
      const key = getWaitKey(job);
      if (key !== null) {
        turns.block(key);
      }
      continue;
    }
    allowances?.start(job.msg.request);
    runJob(pool, job, found.conn, found.required);
    recordStartOfUse(pool, job);
    ranks.set(job.priority, ranks.get(job.priority)! - 1);
    const left = [...ranks].filter(([, count]) => count > 0);
    pool.update({
      skipCounts: updateSkipCounts(
        pool.read().skipCounts,
        job.priority,
        left.map(([priority]) => priority),
      ),
    });
    views = createEndpointViews(pool);
    if (!hasSlot(views)) {
      return;
    }
  }
}
