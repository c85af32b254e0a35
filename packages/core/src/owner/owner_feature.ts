/** Event handlers of the connection pools. */

import type {Blackboard} from '../engine/blackboard.js';
import type {PeerMessageEvent, TimerKey} from '../engine/event.js';
import {unchanged} from '../engine/engine.js';
import type {Change, Context, Feature, Handler} from '../engine/engine.js';
import type {
  EndpointId,
  HostId,
  Instant,
  RequestId,
  TxId,
} from '../model/ids.js';
import type {PeerMessage} from '../model/message.js';
import {expireAck, handleAwaitPosition, handlePosition} from './acks.js';
import {admit} from './admission.js';
import {endJob} from './answers.js';
import {dropJob, findJob} from './job_set.js';
import {handleAnswer} from './jobs.js';
import {WRITE_OVERRUN_MS} from './limits.js';
import {closeTx, failConn} from './lost_connections.js';
import {
  handleClosed,
  handleGroupChanged,
  handleHostGone,
  handleObserved,
  handleOpened,
  handleOwnership,
  handleWritesResumed,
  handleWritesStopped,
} from './pool_events.js';
import {probeOverdue} from './overdue.js';
import {
  schedule,
  scheduleAll,
  scheduleNext,
  suspectFreeConns,
} from './scheduler.js';
import {notRun} from './steps.js';
import {getPool, record, runTurn, setPool} from './turn.js';
import type {Turn} from './turn.js';
import type {Job, Pool} from './state.js';

/** Turns a function on a turn into an event handler. */
function onTurn<E>(
  fn: (turn: Turn, event: E) => void,
): (board: Blackboard, event: E, ctx: Context) => Change {
  return (board, event, ctx) =>
    runTurn(board, ctx, turn => {
      fn(turn, event);
    });
}

function findPoolOfTx(turn: Turn, tx: TxId): Pool | null {
  return turn.pools().byEndpoint.find(pool => pool.txs.has(tx)) ?? null;
}

function findPoolOfJob(turn: Turn, request: RequestId): Pool | null {
  return (
    turn
      .pools()
      .byEndpoint.find(pool => findJob(pool.jobs, request) !== undefined) ??
    null
  );
}

function handleCancel(turn: Turn, request: RequestId): void {
  const pool = findPoolOfJob(turn, request);
  const job = pool ? findJob(pool.jobs, request) : undefined;
  if (!pool || job === undefined) {
    return;
  }
  const {endpoint} = pool;
  const {mode, tx} = job.msg;
  const isTxEnd = mode === 'commit' || mode === 'rollback';
  const conn = job.conn === null ? undefined : pool.conns.get(job.conn);
  const cancel: Readonly<Record<Job['phase'], () => void>> = {
    queued: () => {
      record(turn, 'debug', 'job_cancelled', {request, endpoint});
      endJob(turn, endpoint, request, notRun('too_late'));
      if (tx !== null) {
        closeTx(turn, endpoint, tx, 'cancelled');
      }
    },
    running: () => {
      if (mode !== 'autocommit' && !isTxEnd && conn !== undefined) {
        failConn(turn, endpoint, conn, 'timed_out');
      }
    },
    // It has run, so `not_run` would be wrong; the host waits for no answer.
    acking: () => {
      setPool(turn, endpoint, {jobs: dropJob(pool.jobs, request)});
      record(turn, 'debug', 'job_cancelled', {request, endpoint});
    },
  };
  cancel[job.phase]();
  schedule(turn, endpoint);
}

function handleCloseTx(turn: Turn, tx: TxId, host: HostId): void {
  const pool = findPoolOfTx(turn, tx);
  if (pool?.txs.get(tx)?.host !== host) {
    return;
  }
  closeTx(turn, pool.endpoint, tx, 'asked');
  schedule(turn, pool.endpoint);
}

type MessageHandlers = {
  readonly [T in PeerMessage['type']]?: (
    turn: Turn,
    event: PeerMessageEvent,
    msg: Extract<PeerMessage, {type: T}>,
  ) => void;
};

const MESSAGE_HANDLERS: MessageHandlers = {
  run: (turn, event, msg) => {
    admit(turn, event.host, event.generation, msg);
    scheduleNext(turn, msg.endpoint);
  },
  cancel: (turn, _event, msg) => {
    handleCancel(turn, msg.request);
  },
  close_tx: (turn, event, msg) => {
    handleCloseTx(turn, msg.tx, event.host);
  },
  await_position: (turn, event, msg) => {
    handleAwaitPosition(turn, event.host, msg);
    schedule(turn, msg.endpoint);
  },
  position: (turn, _event, msg) => {
    handlePosition(turn, msg);
  },
};

type AnyMessageHandler = (
  turn: Turn,
  event: PeerMessageEvent,
  msg: PeerMessage,
) => void;

/** Handles a message from another host; ignores types without a handler. */
const handleMessage: Handler<'peer_message'> = (board, event, ctx) => {
  const handler = MESSAGE_HANDLERS[event.msg.type] as
    AnyMessageHandler | undefined;
  return handler === undefined
    ? unchanged(board)
    : runTurn(board, ctx, turn => {
        handler(turn, event, event.msg);
      });
};

type JobTimer = Extract<TimerKey, {name: 'job_deadline' | 'ack_wait'}>;

/**
 * Returns when a running job is given up. A write may exceed its deadline by
 * WRITE_OVERRUN_MS: giving it up makes its outcome unknown, and the requesting
 * host waits somewhat longer than the deadline.
 */
function computeGiveUpAt(job: Job): Instant {
  const {isWrite, mode} = job.msg;
  const isSentWrite = isWrite && mode === 'autocommit' && job.step !== 'check';
  return isSentWrite ? job.deadline + WRITE_OVERRUN_MS : job.deadline;
}

/** Ends a job whose deadline has passed, according to its phase. */
function handleJobTimer(turn: Turn, timer: JobTimer): void {
  const {endpoint, request} = timer;
  const pool = getPool(turn, endpoint);
  const job = pool ? findJob(pool.jobs, request) : undefined;
  if (!pool || job === undefined || turn.now < job.deadline) {
    return;
  }
  const expire: Readonly<Record<Job['phase'], () => void>> = {
    queued: () => {
      endJob(turn, endpoint, request, notRun('too_late'));
    },
    running: () => {
      const giveUpAt = computeGiveUpAt(job);
      if (turn.now < giveUpAt) {
        turn.act({type: 'set_timer', at: giveUpAt, timer});
        return;
      }
      suspectFreeConns(turn, endpoint);
      failConn(turn, endpoint, pool.conns.get(job.conn!)!, 'timed_out');
    },
    acking: () => {
      expireAck(turn, pool, job);
    },
  };
  expire[job.phase]();
  schedule(turn, endpoint);
}

function handlePoolTimer(turn: Turn, endpoint: EndpointId): void {
  const wakeAt = getPool(turn, endpoint)?.wakeAt ?? null;
  if (wakeAt === null || turn.now < wakeAt) {
    return;
  }
  setPool(turn, endpoint, {wakeAt: null});
  probeOverdue(turn, endpoint);
  schedule(turn, endpoint);
}

function handleTxIdle(turn: Turn, id: TxId): void {
  const pool = findPoolOfTx(turn, id);
  const tx = pool?.txs.get(id);
  if (!pool || tx === undefined || turn.now < tx.idleAt) {
    return;
  }
  const isWaiting = pool.jobs.active.some(job => job.msg.tx === id);
  if (isWaiting) {
    return;
  }
  closeTx(turn, pool.endpoint, id, 'idle');
  schedule(turn, pool.endpoint);
}

type TimerHandlers = {
  readonly [N in TimerKey['name']]?: (
    turn: Turn,
    timer: Extract<TimerKey, {name: N}>,
  ) => void;
};

const TIMER_HANDLERS: TimerHandlers = {
  pool: (turn, timer) => {
    handlePoolTimer(turn, timer.endpoint);
  },
  job_deadline: handleJobTimer,
  ack_wait: handleJobTimer,
  tx_idle: (turn, timer) => {
    handleTxIdle(turn, timer.tx);
  },
  await_position: (turn, timer) => {
    schedule(turn, timer.endpoint);
  },
};

type AnyTimerHandler = (turn: Turn, timer: TimerKey) => void;

/** Handles a timer; ignores timers without a handler. */
const handleTimer: Handler<'timer'> = (board, {timer}, ctx) => {
  const handler = TIMER_HANDLERS[timer.name] as AnyTimerHandler | undefined;
  return handler === undefined
    ? unchanged(board)
    : runTurn(board, ctx, turn => {
        handler(turn, timer);
      });
};

/** Manages the pools of the endpoints that this host owns. */
export const ownerFeature: Feature = {
  name: 'owner',
  handlers: {
    ownership_changed: onTurn(handleOwnership),
    conn_opened: onTurn(handleOpened),
    conn_closed: onTurn(handleClosed),
    conn_answered: onTurn((turn, event) => {
      handleAnswer(turn, event);
      scheduleNext(turn, event.endpoint);
    }),
    endpoint_observed: onTurn(handleObserved),
    group_changed: onTurn((turn, event) => {
      handleGroupChanged(turn, event);
      scheduleAll(turn);
    }),
    writes_stopped: onTurn(handleWritesStopped),
    writes_resumed: onTurn(handleWritesResumed),
    peer_down: onTurn((turn, event) => {
      handleHostGone(turn, event.host, event.generation);
    }),
    host_observed: onTurn((turn, event) => {
      if (!event.isReachable) {
        handleHostGone(turn, event.host, Infinity);
      }
    }),
    peer_message: handleMessage,
    timer: handleTimer,
    drain: onTurn(turn => {
      turn.setPools({isDraining: true});
      scheduleAll(turn);
    }),
  },
};
