/** Handlers of events that affect whole pools or their connections. */

import {readGroup} from '../control/control_status.js';
import type {
  ConnClosedEvent,
  ConnOpenedEvent,
  EndpointObservedEvent,
  GroupChangedEvent,
  OwnershipChangedEvent,
  WritesResumedEvent,
  WritesStoppedEvent,
} from '../engine/event.js';
import type {EndpointId, HostId} from '../model/ids.js';
import {endJob} from './answers.js';
import {backOff} from './connections.js';
import {OWNERSHIP_GRACE_MS, SILENT_CONN_MS} from './limits.js';
import {readJobs} from './job_set.js';
import {closeTx, endConnWork, failConn} from './lost_connections.js';
import {markOverdue} from './overdue.js';
import {schedule, suspectFreeConns} from './scheduler.js';
import {createPool} from './state.js';
import type {Job} from './state.js';
import {notRun} from './steps.js';
import {getPool, setConn, setPool} from './turn.js';
import type {Turn} from './turn.js';

/** Creates the pool of an endpoint, or starts to close it. */
export function handleOwnership(
  turn: Turn,
  event: OwnershipChangedEvent,
): void {
  const {endpoint, isOwner} = event;
  const pool = getPool(turn, endpoint);
  if (!isOwner) {
    const graceUntil = turn.now + OWNERSHIP_GRACE_MS;
    const closeAt = turn.board().self.drainDeadline ?? graceUntil;
    setPool(turn, endpoint, {closeAt});
    schedule(turn, endpoint);
    return;
  }
  const group = turn.board().endpoints.owned.get(endpoint);
  if (pool === null && group !== undefined) {
    const {byEndpoint} = turn.pools();
    const added = byEndpoint.set(endpoint, createPool(endpoint, group));
    turn.setPools({byEndpoint: added});
  }
  setPool(turn, endpoint, {closeAt: null});
  schedule(turn, endpoint);
}

/** Makes a new connection available to queued jobs. */
export function handleOpened(turn: Turn, event: ConnOpenedEvent): void {
  const {endpoint, conn} = event;
  const pool = getPool(turn, endpoint);
  if (!pool?.conns.has(conn)) {
    turn.act({type: 'close_conn', endpoint, conn});
    return;
  }
  setConn(turn, endpoint, conn, {isOpen: true, idleSince: turn.now});
  setPool(turn, endpoint, {backoffMs: 0, isDown: false});
  schedule(turn, endpoint);
}

/** Ends the work of a lost connection, or backs off if it never opened. */
export function handleClosed(turn: Turn, event: ConnClosedEvent): void {
  const {endpoint, fault} = event;
  const pool = getPool(turn, endpoint);
  const conn = pool?.conns.get(event.conn);
  if (!pool || conn === undefined) {
    return;
  }
  setPool(turn, endpoint, {conns: pool.conns.delete(conn.id)});
  if (conn.isOpen) {
    endConnWork(turn, endpoint, conn, 'connection_lost');
  } else {
    backOff(turn, getPool(turn, endpoint)!, fault);
    refuseWhenDown(turn, endpoint);
  }
  schedule(turn, endpoint);
}

/** Refuses queued new work if the pool has and can get no connection. */
function refuseWhenDown(turn: Turn, endpoint: EndpointId): void {
  const pool = getPool(turn, endpoint)!;
  if (!pool.isDown || pool.conns.some(conn => conn.isOpen)) {
    return;
  }
  readJobs(pool.jobs)
    .filter(job => job.phase === 'queued' && job.msg.tx === null)
    .forEach(job => {
      endJob(turn, endpoint, job.msg.request, notRun('endpoint_down'));
    });
}

/** Gives up silent connections and marks overdue statements after a probe. */
export function handleObserved(turn: Turn, event: EndpointObservedEvent): void {
  const {endpoint} = event;
  const pool = getPool(turn, endpoint);
  if (pool === null) {
    return;
  }
  const view = turn.board().endpoints.views.get(endpoint);
  const statusAt = view?.statusAt ?? null;
  if (pool.isDown && view?.status && view.lastFault === null) {
    setPool(turn, endpoint, {isDown: false, backoffUntil: turn.now});
  }
  for (const conn of pool.conns.values()) {
    const isSilent =
      conn.sentAt !== null &&
      statusAt !== null &&
      statusAt >= conn.sentAt + SILENT_CONN_MS;
    if (isSilent) {
      suspectFreeConns(turn, endpoint);
      failConn(turn, endpoint, conn, 'connection_lost');
    }
  }
  if (markOverdue(turn, endpoint)) {
    suspectFreeConns(turn, endpoint);
  }
  schedule(turn, endpoint);
}

/** Refuses queued work and closes transactions of a term that was stopped. */
export function handleWritesStopped(
  turn: Turn,
  event: WritesStoppedEvent,
): void {
  const {group, term} = event;
  const pools = turn.pools().byEndpoint.filter(pool => pool.group === group);
  for (const [endpoint, pool] of pools) {
    const stoppedTerm = Math.max(pool.stoppedTerm, term);
    setPool(turn, endpoint, {stoppedTerm});
    pool.txs
      .filter(tx => tx.term !== null && tx.term <= term)
      .forEach(tx => {
        closeTx(turn, endpoint, tx.id, 'writes_stopped');
      });
    refuseFenced(turn, endpoint, term);
    schedule(turn, endpoint);
  }
}

/**
 * Ends the statements that run at a replaced primary. Their answers can no
 * longer be acknowledged, and a frozen or partitioned primary may never answer.
 */
export function handleGroupChanged(turn: Turn, event: GroupChangedEvent): void {
  const term = readGroup(turn.board(), event.group)?.term ?? 0;
  const pools = turn
    .pools()
    .byEndpoint.filter(pool => pool.group === event.group);
  for (const [endpoint, pool] of pools) {
    pool.conns
      .filter(({request}) => {
        const job =
          request === null ? undefined : pool.jobs.active.get(request);
        return job !== undefined && job.msg.term !== null
          ? job.msg.term < term
          : false;
      })
      .forEach(conn => failConn(turn, endpoint, conn, 'replaced_primary'));
  }
}

/** Allows writes of a term again after its change of primary was abandoned. */
export function handleWritesResumed(
  turn: Turn,
  event: WritesResumedEvent,
): void {
  const {group, term} = event;
  const pools = turn.pools().byEndpoint.filter(pool => pool.group === group);
  for (const [endpoint, pool] of pools) {
    const stoppedTerm = Math.min(pool.stoppedTerm, term - 1);
    setPool(turn, endpoint, {stoppedTerm});
    schedule(turn, endpoint);
  }
}

function refuseFenced(turn: Turn, endpoint: EndpointId, term: number): void {
  const isFenced = (job: Job): boolean =>
    job.phase === 'queued' && job.msg.term !== null && job.msg.term <= term;
  readJobs(getPool(turn, endpoint)!.jobs)
    .filter(isFenced)
    .forEach(job => {
      endJob(turn, endpoint, job.msg.request, notRun('fenced'));
    });
}

/** Ends the queued jobs, transactions and position queries of a lost host. */
export function handleHostGone(
  turn: Turn,
  host: HostId,
  generation: number,
): void {
  for (const [endpoint, pool] of turn.pools().byEndpoint) {
    const isGone = (item: {host: HostId; generation: number}): boolean =>
      item.host === host && item.generation <= generation;
    readJobs(pool.jobs)
      .filter(job => job.phase === 'queued' && isGone(job))
      .forEach(job => {
        endJob(turn, endpoint, job.msg.request, notRun('unreachable'));
      });
    pool.txs.filter(isGone).forEach(tx => {
      closeTx(turn, endpoint, tx.id, 'peer_down');
    });
    setPool(turn, endpoint, {
      waits: pool.waits.filter(wait => wait.host !== host),
    });
    schedule(turn, endpoint);
  }
}
