/** Handles events that change what a pool may do. */

import {readGroup} from '../control/facts.js';
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
import {closeTx, endLost, loseConn} from './losses.js';
import {markOverdue} from './overdue.js';
import {schedule, suspectFreeConns} from './scheduler.js';
import {createPool} from './state.js';
import type {Job} from './state.js';
import {notRun} from './steps.js';
import {getPool, setConn, setPool} from './turn.js';
import type {Turn} from './turn.js';

/** Opens the pool of an endpoint, or begins to close it. */
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

/** Takes a new connection into use. */
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

/** Ends what ran on a lost connection, or backs off from a refusal. */
export function handleClosed(turn: Turn, event: ConnClosedEvent): void {
  const {endpoint, fault} = event;
  const pool = getPool(turn, endpoint);
  const conn = pool?.conns.get(event.conn);
  if (!pool || conn === undefined) {
    return;
  }
  setPool(turn, endpoint, {conns: pool.conns.delete(conn.id)});
  if (conn.isOpen) {
    endLost(turn, endpoint, conn, 'connection_lost');
  } else {
    backOff(turn, getPool(turn, endpoint)!, fault);
    refuseWhenDown(turn, endpoint);
  }
  schedule(turn, endpoint);
}

/** Hands queued new work back when no connection can be had. */
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

/** Gives up statements that are silent while the endpoint answers probes. */
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
      loseConn(turn, endpoint, conn, 'connection_lost');
    }
  }
  if (markOverdue(turn, endpoint)) {
    suspectFreeConns(turn, endpoint);
  }
  schedule(turn, endpoint);
}

/** Refuses all that waits for a term that acknowledges nothing more. */
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
 * Ends what runs at a primary that was replaced. No answer can be acknowledged
 * any more, and one that is frozen or cut off may never answer.
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
      .forEach(conn => loseConn(turn, endpoint, conn, 'replaced_primary'));
  }
}

/** Lets a term go on whose change of primary came to nothing. */
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

/** Ends what a host that is gone had open or waiting. */
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
