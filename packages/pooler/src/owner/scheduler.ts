/** Gives slots and connections to the statements that wait. */

import {isReading} from '../decisions/effects.js';
import {chooseForRead} from '../decisions/placement.js';
import {notePassedOver, orderJobs} from '../decisions/queue_order.js';
import {readAcked, readNeed} from './acks.js';
import {findFreeConn, readConnLimit, readSlotLimit} from './connections.js';
import {endJob, runJob} from './jobs.js';
import {refused} from '../model/result.js';
import type {Conn, Job, Pool} from './state.js';
import {readLeastTimeMs, readViews} from './views.js';
import type {PoolView} from './views.js';

interface Place {
  readonly conn: Conn;
  readonly required: ReturnType<typeof readNeed>['required'];
}

/** Returns where a statement of an open transaction runs. */
function placeInTx(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): Place | null {
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

/** Tells whether another transaction may pin a connection of an endpoint. */
function mayPin(pool: Pool, view: PoolView): boolean {
  const state = pool.endpoints.get(view.id);
  const kept = state === undefined ? 0 : readSlotLimit(state);
  return view.pinned < readConnLimit(pool) - kept;
}

/** Returns where a write, or a transaction that may write, runs. */
function placeAtPrimary(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): Place | null {
  const view = views.find(({isPrimary}) => isPrimary);
  const isOpen =
    view !== undefined &&
    view.isUsable &&
    view.running < view.limit &&
    pool.now() >= view.backoffUntil;
  if (!isOpen || (job.msg.tx !== null && !mayPin(pool, view))) {
    return null;
  }
  const conn = findFreeConn(pool, view.id, job.msg.session);
  return conn === null ? null : {conn, required: readAcked(pool)};
}

/** Returns where a read, or a transaction that only reads, runs. */
function placeRead(
  pool: Pool,
  job: Job,
  views: readonly PoolView[],
): Place | null {
  const need = readNeed(pool, job);
  const open =
    job.msg.tx === null ? views : views.filter(view => mayPin(pool, view));
  const endpoint = chooseForRead(open, need, pool.now());
  const conn =
    endpoint === null ? null : findFreeConn(pool, endpoint, job.msg.session);
  return conn === null ? null : {conn, required: need.required};
}

function place(pool: Pool, job: Job, views: readonly PoolView[]): Place | null {
  const {tx} = job.msg;
  if (tx !== null && !tx.isFirst) {
    return placeInTx(pool, job, views);
  }
  return isReading(job.msg)
    ? placeRead(pool, job, views)
    : placeAtPrimary(pool, job, views);
}

/**
 * Names what a statement waits for, where all of its kind wait for the same:
 * once one of them finds no place, none of them does.
 */
function readWaitKey(job: Job): string | null {
  const {tx, consistency} = job.msg;
  if (tx !== null && !tx.isFirst) {
    return null;
  }
  if (!isReading(job.msg)) {
    return tx === null ? 'primary' : 'primary_tx';
  }
  // A session's own commit may be newer than what the others wait for.
  const isAlike =
    job.avoided.length === 0 &&
    (consistency !== 'session' || job.msg.position === null);
  return isAlike ? `${consistency}_${tx === null}` : null;
}

/** Counts the waiting statements of each rank. */
function countRanks(waiting: readonly Job[]): Map<number, number> {
  const ranks = new Map<number, number>();
  for (const {priority} of waiting) {
    ranks.set(priority, (ranks.get(priority) ?? 0) + 1);
  }
  return ranks;
}

/** Tells whether any endpoint has a slot left. */
function hasSlot(views: readonly PoolView[]): boolean {
  return views.some(({running, limit}) => running < limit);
}

/** Starts every waiting statement that can run now. */
export function startJobs(pool: Pool): void {
  const waiting = pool.jobs.list().filter(({phase}) => phase === 'waiting');
  // Until a primary is known, so is nothing of what owners before acknowledged.
  const isKnown = pool.read().base !== null;
  if (waiting.length === 0 || !isKnown || !pool.cfg.isLeaseValid()) {
    return;
  }
  let views = readViews(pool);
  if (!hasSlot(views)) {
    return;
  }
  const leastMs = readLeastTimeMs(pool);
  const blocked = new Set<string>();
  const ranks = countRanks(waiting);
  for (const job of orderJobs(waiting, pool.read().passedOver, pool.now())) {
    const key = readWaitKey(job);
    const isLate = pool.now() + leastMs >= job.deadline;
    if (isLate || (key !== null && blocked.has(key))) {
      continue;
    }
    const found = place(pool, job, views);
    if (found === null) {
      if (key !== null) {
        blocked.add(key);
      }
      continue;
    }
    runJob(pool, job, found.conn, found.required);
    ranks.set(job.priority, ranks.get(job.priority)! - 1);
    const left = [...ranks].filter(([, count]) => count > 0);
    pool.update({
      passedOver: notePassedOver(
        pool.read().passedOver,
        job.priority,
        left.map(([priority]) => priority),
      ),
    });
    views = readViews(pool);
    if (!hasSlot(views)) {
      return;
    }
  }
}
