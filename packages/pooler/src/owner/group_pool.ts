/** The connection pool of one group, at the host that owns it. */

import type {HostId} from '@lacewingroad/core';
import type {Unregister} from '@lacewingroad/runtime';
import {isAccessRevoked} from '../decisions/access.js';
import {isCommitting, isWrite} from '../decisions/effects.js';
import {computeReplyTimeoutMs} from '../decisions/reply_timeout.js';
import {areWritesStuck, mayTryWrite} from '../decisions/stuck_writes.js';
import type {RunMessage} from '../model/message.js';
import type {GroupLineage} from '../model/ownership.js';
import {refused} from '../model/result.js';
import {dropConn, ensureConns, maintainConns} from './connections.js';
import {
  closeTx,
  closeTxOf,
  endJob,
  createConnLostHandler,
  endJobWithoutLease,
  expireJob,
  retryUnansweredRead,
  rollBackTx,
} from './jobs.js';
import {BUSY_TICK_MS, IDLE_TICK_MS, MISSING_ENTRY_GRACE_MS} from './limits.js';
import {
  describeWork,
  endRefused,
  recordArrival,
  refuseNew,
  reviewQueue,
} from './overload.js';
import {addKnownMembers, readLineage, updateMembers} from './members.js';
import {advancePromotion} from './promotion.js';
import {
  addInheritedCalls,
  cancelCalls,
  hasOpenCalls,
} from './promotion_calls.js';
import {startJobs} from './scheduler.js';
import {createEndpointState, createPool} from './state.js';
import type {Job, Pool, PoolConfig} from './state.js';
import {createStatusProbes} from './status.js';
import type {ReadStatus} from './status.js';
import {estimateMinUsefulMs} from './views.js';
import {createWorkspaceConns, usesWorkspaces} from './workspace_conns.js';

/** The connection pool of a group. */
export interface GroupPool {
  /** Runs a statement for a host and sends it the result as a message. */
  readonly run: (host: HostId, msg: RunMessage) => void;
  readonly closeTx: (host: HostId, tx: string) => void;
  /** Ends the unsent statements and the transactions of a host that is gone. */
  readonly dropHost: (host: HostId) => void;
  /** Applies the current list of endpoints. */
  readonly updateEndpoints: () => void;
  /** Requests no more promotions; those requested may take effect. */
  readonly beginSettling: () => void;
  /** Returns whether no requested promotion may still take effect. */
  readonly isSettled: () => boolean;
  /** Refuses new work from now on; open transactions may end. */
  readonly beginHandover: () => void;
  /** Returns the waiting statements to their hosts, without running them. */
  readonly endWaitingJobs: () => void;
  /** Returns whether there are no statements and no open transactions. */
  readonly isIdle: () => boolean;
  /** Returns what the next owner has to know of the endpoints, or null. */
  readonly readLineage: () => GroupLineage | null;
  /** Ends all statements and transactions and closes all connections. */
  readonly close: () => void;
}

function updateEndpoints(pool: Pool): void {
  const now = pool.now();
  const list = pool.cfg.readEndpoints();
  if (list === null) {
    return;
  }
  const {group, ports} = pool.cfg;
  for (const entry of list.entries.values()) {
    if (entry.group !== group) {
      continue;
    }
    const known = pool.endpoints.get(entry.id);
    const isRestarted =
      known !== undefined && known.entry.startedAt !== entry.startedAt;
    if (known === undefined || isRestarted) {
      // A run that replaces another has not answered yet.
      const downSince = isRestarted ? (known.downSince ?? now) : null;
      pool.endpoints.put(entry.id, {...createEndpointState(entry), downSince});
      ports.record('info', 'endpoint_listed', {
        group,
        endpoint: entry.id,
        address: entry.address,
        role: entry.role,
      });
      continue;
    }
    if (known.entry !== entry) {
      pool.endpoints.update(entry.id, {entry, missingSince: null});
    }
    if (known.entry.isLeaving !== entry.isLeaving) {
      ports.record('info', 'endpoint_leaving', {
        group,
        endpoint: entry.id,
        leaving: entry.isLeaving,
      });
    }
    if (known.missingSince !== null) {
      pool.endpoints.update(entry.id, {missingSince: null});
    }
  }
  for (const {entry, missingSince} of pool.endpoints.list()) {
    if (!list.entries.has(entry.id) && missingSince === null) {
      pool.endpoints.update(entry.id, {missingSince: now});
    }
  }
}

/**
 * Removes endpoints whose entry has been missing for longer than the grace
 * period.
 */
function removeMissingEndpoints(pool: Pool): void {
  const readAt = pool.cfg.readEndpoints()?.readAt ?? -Infinity;
  for (const {entry, missingSince} of pool.endpoints.list()) {
    const waitMs = entry.isLeaving ? 0 : MISSING_ENTRY_GRACE_MS;
    const isGone = missingSince !== null && readAt >= missingSince + waitMs;
    if (isGone) {
      pool.endpoints.remove(entry.id);
      pool.cfg.ports.record('info', 'endpoint_gone', {
        group: pool.cfg.group,
        endpoint: entry.id,
      });
    }
  }
}

/**
 * Returns whether a host that lost its connection to this one sends a statement
 * again or ends its transaction. A late result would be taken for that of the
 * next attempt.
 */
function isRepeatedByHost({sentAt, msg}: Job): boolean {
  return sentAt === null || (msg.tx !== null && !isCommitting(msg));
}

function checkJobTimeouts(pool: Pool): void {
  const now = pool.now();
  const minUsefulMs = estimateMinUsefulMs(pool);
  for (const job of pool.jobs.list()) {
    const isOver =
      job.phase === 'waiting'
        ? now + minUsefulMs >= job.deadline
        : now >= job.deadline;
    if (isOver) {
      expireJob(pool, job);
      continue;
    }
    const timeoutMs = computeReplyTimeoutMs(job.expectedMs, job.attempts);
    if (job.sentAt !== null && now - job.sentAt >= timeoutMs) {
      retryUnansweredRead(pool, job);
    }
  }
}

/** Refuses waiting writes, but for one to try, while none is confirmed. */
function refuseStuckWrites(pool: Pool): void {
  const {unanswered} = pool.read();
  if (!areWritesStuck(unanswered, pool.now())) {
    return;
  }
  const waiting = pool.jobs
    .list()
    .filter(
      ({phase, msg}) =>
        phase === 'waiting' && isWrite(msg) && msg.tx?.isFirst !== false,
    );
  waiting
    .slice(mayTryWrite(unanswered, pool.now()) ? 1 : 0)
    .forEach(job => endJob(pool, job, refused('no_replica')));
}

function closeIdleTxs(pool: Pool): void {
  const now = pool.now();
  for (const tx of pool.txs.list()) {
    const isUsed = pool.conns.get(tx.conn)?.request !== null;
    if (now >= tx.idleDeadline && !isUsed) {
      closeTx(pool, tx, 'idle for too long');
    }
  }
}

/** Creates the pool of a group; it runs statements once it knows a primary. */
export function createGroupPool(
  cfg: PoolConfig,
  readStatus: ReadStatus,
): GroupPool {
  const {runtime} = cfg.ports;
  let isServeScheduled = false;
  let nextOrder = 0;
  const pool = createPool(cfg, () => {
    if (!isServeScheduled) {
      isServeScheduled = true;
      queueMicrotask(serve);
    }
  });
  const probes = createStatusProbes(pool, readStatus);
  const onLost = createConnLostHandler(pool);
  const workspaceConns = createWorkspaceConns(pool, onLost);

  const serve = (): void => {
    isServeScheduled = false;
    if (pool.read().isClosed) {
      return;
    }
    refuseStuckWrites(pool);
    if (usesWorkspaces(pool)) {
      // Only the statements that find no connection need another one.
      startJobs(pool);
      workspaceConns.open();
    } else {
      ensureConns(pool, onLost);
      startJobs(pool);
    }
  };

  const tick = (): void => {
    removeMissingEndpoints(pool);
    updateMembers(pool);
    checkJobTimeouts(pool);
    reviewQueue(pool, endJob);
    closeIdleTxs(pool);
    maintainConns(pool, usesWorkspaces(pool), onLost);
    if (usesWorkspaces(pool)) {
      workspaceConns.maintain();
    }
    probes.tick();
    advancePromotion(pool);
    serve();
  };

  let unregister: Unregister = () => undefined;
  const scheduleTick = (): void => {
    const isBusy = pool.jobs.count() > 0 || pool.read().promotion !== null;
    const intervalMs = isBusy ? BUSY_TICK_MS : IDLE_TICK_MS;
    unregister = runtime.at(runtime.now() + intervalMs, () => {
      tick();
      scheduleTick();
    });
  };
  addKnownMembers(pool);
  addInheritedCalls(pool);
  // Later lists arrive through `updateEndpoints`.
  updateEndpoints(pool);
  tick();
  scheduleTick();

  /**
   * Forgets a statement whose result its host no longer awaits. The connection
   * on which it was prepared or runs is closed, which rolls it back.
   */
  const abandonJob = (job: Job, reason: string): void => {
    pool.jobs.remove(job.msg.request);
    const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
    if (conn !== undefined) {
      dropConn(pool, conn, reason, onLost);
    }
  };

  /**
   * Asks for a token of a new operation's workspace; returns whether the
   * operation may be queued. One that waits for its token is queued, too.
   */
  const admitToAllowance = (job: Job): boolean => {
    const {allowances} = pool.cfg;
    const {workspace, request} = job.msg;
    if (allowances == null || workspace == null) {
      return true;
    }
    const refuseOver = (retryAfterMs: number): void =>
      endJob(pool, job, refused('over_allowance', retryAfterMs));
    const answer = allowances.admit({
      request,
      workspace,
      rank: job.priority,
      targetAt: job.targetAt,
      isOwnerActive: pool.cfg.isLeaseValid(),
      onGranted: pool.wake,
      onRefused: refuseOver,
    });
    if (answer.type === 'refused') {
      pool.jobs.put(request, job);
      refuseOver(answer.retryAfterMs);
      return false;
    }
    return true;
  };

  return {
    run: (host, msg) => {
      // The host lost its connection to this one, and sends what may be run
      // again once more; this side may not have noticed the loss.
      const earlier = pool.jobs.get(msg.request);
      if (earlier !== undefined) {
        abandonJob(earlier, 'its statement was sent again');
      }
      const now = pool.now();
      const job: Job = {
        msg,
        host,
        receivedAt: now,
        targetAt: now + msg.targetLeftMs,
        deadline: now + msg.timeoutLeftMs,
        priority: msg.priority,
        ...describeWork(pool, msg),
        isInTx: msg.tx !== null && !msg.tx.isFirst,
        order: ++nextOrder,
        phase: 'waiting',
        conn: null,
        endpoint: null,
        sentAt: null,
        awaitsReplicas: false,
        sentAfter: null,
        attempts: 0,
        avoided: [],
      };
      if (isAccessRevoked(pool.cfg.readTable(), msg)) {
        pool.jobs.put(msg.request, job);
        endJob(pool, job, refused('key_revoked'));
        closeTxOf(pool, job, 'the key of its caller was revoked');
        return;
      }
      const isNew = msg.tx === null || msg.tx.isFirst;
      if (isNew && pool.read().isHandingOver) {
        pool.jobs.put(msg.request, job);
        endJob(pool, job, refused('not_owner'));
        return;
      }
      if (isNew && !admitToAllowance(job)) {
        return;
      }
      const refusal = isNew ? refuseNew(pool, job) : null;
      pool.jobs.put(msg.request, job);
      if (refusal !== null) {
        endRefused(pool, job, 'queue_full', refusal, endJob);
        return;
      }
      recordArrival(pool, job);
      pool.wake();
    },
    closeTx: (host, id) => {
      pool.jobs
        .list()
        .filter(({msg, phase}) => msg.tx?.id === id && phase === 'waiting')
        .forEach(job => endJob(pool, job, refused('tx_gone')));
      const tx = pool.txs.get(id);
      if (tx?.host === host) {
        rollBackTx(pool, tx);
        pool.wake();
      }
    },
    dropHost: host => {
      pool.jobs
        .list()
        .filter(job => job.host === host && isRepeatedByHost(job))
        .forEach(job => abandonJob(job, 'the entry host is gone'));
      pool.txs
        .list()
        .filter(tx => tx.host === host)
        .forEach(tx => closeTx(pool, tx, 'the entry host is gone'));
    },
    updateEndpoints: () => {
      updateEndpoints(pool);
      updateMembers(pool);
      pool.wake();
    },
    beginSettling: () => pool.update({isSettling: true}),
    isSettled: () => !hasOpenCalls(pool),
    beginHandover: () => {
      pool.update({isHandingOver: true});
      pool.jobs
        .list()
        .filter(job => job.phase === 'waiting' && !job.isInTx)
        .forEach(job => endJob(pool, job, refused('not_owner')));
    },
    endWaitingJobs: () => {
      pool.jobs
        .list()
        .filter(({phase}) => phase === 'waiting')
        .forEach(job => endJobWithoutLease(pool, job));
    },
    readLineage: () => readLineage(pool),
    isIdle: () => pool.jobs.count() === 0 && pool.txs.count() === 0,
    close: () => {
      pool.update({isClosed: true});
      cancelCalls(pool);
      unregister();
      probes.close();
      pool.jobs.list().forEach(job => endJobWithoutLease(pool, job));
      pool.txs.list().forEach(tx => closeTx(pool, tx, 'the pool moved'));
      pool.conns
        .list()
        .forEach(conn =>
          dropConn(pool, conn, 'the pool moved', () => undefined),
        );
      workspaceConns.close();
    },
  };
}
