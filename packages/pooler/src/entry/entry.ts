/** Serves callers: their sessions, transactions and statements. */

import type {GroupId, HostId} from '@lacewingroad/core';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import {checkAccess} from '../decisions/access.js';
import {isCommitting, isRetryable} from '../decisions/effects.js';
import {latestOf} from '../decisions/positions.js';
import {computeWaitDeadline} from '../decisions/reach.js';
import type {Route, RouteTable, WorkspaceId} from '../model/directory.js';
import type {PoolMessage, PoolStatement} from '../model/message.js';
import {refused, unknown} from '../model/result.js';
import type {RunResult} from '../model/result.js';
import type {CallerStatement, TxState} from '../model/statement.js';
import type {HostPorts} from '../ports.js';
import {createRecords} from '../records.js';
import type {CallerFault, CallerReply} from './caller_reply.js';
import {describeFault, FAULT_TEXTS, TOO_MUCH_KEPT_TEXT} from './fault_texts.js';
import {
  CLOSE_INTERVAL_MS,
  DEADLINE_GRACE_MS,
  MAX_WAITING_STATEMENTS,
  RESEND_DELAY_MS,
  SESSION_IDLE_MS,
} from './limits.js';
import {countKeptBytes, exceedsKeptBytes} from './session.js';
import type {Caller, ReceivedStatement, Request} from './session.js';

/** What a caller's next statement runs with. */
interface Admission {
  readonly route: Route;
  readonly workspace: WorkspaceId | null;
}

/** Dependencies of the entry. */
export interface EntryConfig {
  readonly ports: Pick<
    HostPorts,
    'runtime' | 'record' | 'reply' | 'closeCaller' | 'afterInput'
  >;
  /** Distinguishes this run of the host from all others. */
  readonly incarnation: string;
  readonly send: (host: HostId, msg: PoolMessage) => void;
  readonly readTable: () => RouteTable | null;
  /** Returns the owner of a group's pool, or null if it is unreachable. */
  readonly findOwner: (group: GroupId) => HostId | null;
  /** Returns whether this host cannot serve most groups for now. */
  readonly isCutOff: () => boolean;
  /** Returns since when the owner is unreachable, or null if it is not. */
  readonly readOwnerLostAt: (group: GroupId) => Instant | null;
}

/** The result of opening a session. */
export type OpenResult =
  'opened' | 'no_database' | 'unknown_key' | 'starting' | 'stopping';

/** Serves the callers of one host. */
export interface Entry {
  /**
   * Starts a session, unless the host stops, has no table yet, or the database
   * is unknown or not allowed with this key.
   */
  readonly open: (
    caller: number,
    database: string,
    keyDigest?: string | null,
  ) => OpenResult;
  readonly serve: (
    caller: number,
    request: string,
    statement: CallerStatement,
  ) => void;
  /** Ends a session and rolls back its transaction. */
  readonly close: (caller: number) => void;
  readonly handleRan: (request: string, result: RunResult) => void;
  /** Sends the requests that wait for an owner of the group. */
  readonly sendWaitingRequests: (group: GroupId) => void;
  /** Refuses the requests that wait for an owner of any group. */
  readonly endWaitingRequests: () => void;
  /** Ends or resends the requests that were sent to a host that is now lost. */
  readonly handleHostLost: (host: HostId) => void;
  /** Closes idle sessions now, and the others once they have become idle. */
  readonly beginClosing: () => void;
  /** Closes the idle sessions of a group. */
  readonly closeIdleSessions: (group: GroupId) => void;
  /** Undoes `beginClosing`: idle sessions stay open again. */
  readonly stopClosing: () => void;
  /**
   * Refuses new sessions and operations from now on; statements in progress and
   * open transactions go on.
   */
  readonly refuseOperations: () => void;
  /** Resolves once the statements that have already arrived were received. */
  readonly receiveInput: () => Promise<void>;
  /** Answers all requests at once; what may have taken effect is unknown. */
  readonly endRequests: () => void;
  /** Aborts open transactions that have no statement in progress. */
  readonly abortTxs: () => void;
  /** Counts callers that are within an operation. */
  readonly countBusyCallers: () => number;
  readonly countCallers: () => number;
  /** Counts the bytes of a session's values and prepared statements. */
  readonly countKeptBytes: (caller: number) => number;
}

/** Creates the entry of a host. */
export function createEntry(cfg: EntryConfig): Entry {
  const {runtime, record, reply, closeCaller, afterInput} = cfg.ports;
  const callers = createRecords<number, Caller>();
  const requests = createRecords<string, Request>();
  const timers = new Map<string, Unregister>();
  let nextId = 1;
  /** New operations are refused: this host stops. */
  let isRefusing = false;
  /** Ends the closing of idle sessions; null while sessions stay open. */
  let cancelClosing: Unregister | null = null;

  const createId = (): string => `${cfg.incarnation}-${nextId++}`;

  const getTxState = (caller: Caller): TxState => {
    if (caller.tx === null) {
      return 'idle';
    }
    return caller.tx.isFailed ? 'failed' : 'open';
  };

  /** Replies to the statement in progress and starts the next queued one. */
  const answer = (id: number, build: (state: TxState) => CallerReply): void => {
    const caller = callers.update(id, {
      request: null,
      idleSince: runtime.now(),
    });
    if (caller === null) {
      return;
    }
    reply(id, build(getTxState(caller)));
    const [next, ...rest] = caller.waiting;
    if (next !== undefined) {
      callers.update(id, {waiting: rest});
      handleStatement(id, next);
      return;
    }
    if (caller.isLeaving && caller.tx === null) {
      closeCaller(id);
    }
  };

  /** Returns whether a caller is within an operation. */
  const isBusy = ({request, tx, idleSince}: Caller): boolean =>
    request !== null ||
    tx !== null ||
    runtime.now() - idleSince < SESSION_IDLE_MS;

  /**
   * Closes the idle sessions among those that match. A statement that arrived
   * while this process was busy or suspended is received first: its session is
   * not idle.
   */
  const closeIdle = (
    reason: string,
    matches: (caller: Caller) => boolean,
  ): void => {
    const listIdle = (): readonly Caller[] =>
      callers
        .list()
        .filter(
          caller => !isBusy(caller) && !caller.isClosing && matches(caller),
        );
    if (listIdle().length === 0) {
      return;
    }
    afterInput(() => {
      const idle = listIdle();
      record('info', 'sessions_closed', {reason, count: idle.length});
      for (const {id} of idle) {
        callers.update(id, {isClosing: true});
        closeCaller(id);
      }
    });
  };

  /** Closes idle sessions, again and again until `cancelClosing` is called. */
  const closeIdleCallers = (): void => {
    closeIdle(cfg.isCutOff() ? 'cut_off' : 'stopping', () => true);
    cancelClosing = runtime.at(
      runtime.now() + CLOSE_INTERVAL_MS,
      closeIdleCallers,
    );
  };

  const answerDone = (id: number): void =>
    answer(id, state => ({
      type: 'done',
      rows: [],
      signature: NO_SIGNATURE,
      state,
      position: null,
    }));

  const answerFault = (
    id: number,
    fault: CallerFault,
    detail: string | null = null,
  ): void =>
    answer(id, state => ({
      type: 'error',
      fault,
      text: detail ?? FAULT_TEXTS[fault] ?? fault,
      state,
      position: null,
    }));

  const removeRequest = (id: string): void => {
    requests.remove(id);
    timers.get(id)?.();
    timers.delete(id);
  };

  const markTxFailed = (id: number): void => {
    const tx = callers.get(id)?.tx ?? null;
    if (tx !== null) {
      callers.update(id, {tx: {...tx, isFailed: true}});
    }
  };

  const clearTx = (id: number): void => {
    callers.update(id, {tx: null});
  };

  /** Logs the result of a request and replies to its caller. */
  const finishRequest = (req: Request, result: RunResult): void => {
    removeRequest(req.id);
    const isDone = result.type === 'done';
    record(isDone ? 'debug' : 'info', RESULT_EVENTS[result.type], {
      request: req.id,
      caller_request: req.callerRequest,
      service: req.route.group,
      kind: req.route.database,
      rank: String(req.route.priority),
      outcome: result.type === 'refused' ? 'not_run' : result.type,
      reason: 'reason' in result ? result.reason : null,
      tx: req.tx?.id ?? null,
      owner: req.sentTo,
      attempts: req.attempts,
      table_version: cfg.readTable()?.version ?? null,
      latency_ms: Math.round(runtime.now() - req.receivedAt),
      is_in_time: isDone && runtime.now() <= req.targetAt,
    });
    const caller = callers.get(req.caller);
    if (caller?.request !== req.id) {
      if (caller === undefined && req.tx !== null && req.sentTo !== null) {
        const {group} = req.route;
        cfg.send(req.sentTo, {type: 'close_tx', group, tx: req.tx.id});
      }
      return;
    }
    RESULT_HANDLERS[result.type](req, result as never);
  };

  const finishDone = (
    req: Request,
    result: Extract<RunResult, {type: 'done'}>,
  ): void => {
    const isCommit = req.statement.type === 'commit';
    if (isCommit) {
      clearTx(req.caller);
    }
    if (isCommitting(req)) {
      const before = callers.get(req.caller)?.position ?? null;
      callers.update(req.caller, {position: latestOf(before, result.position)});
    }
    const {rows, signature, position} = result;
    answer(req.caller, state => ({
      type: 'done',
      rows,
      signature,
      state,
      position,
    }));
  };

  const finishWithFault = (
    req: Request,
    fault: CallerFault,
    detail: string | null,
  ): void => {
    if (req.statement.type === 'commit') {
      clearTx(req.caller);
    } else if (req.tx !== null) {
      markTxFailed(req.caller);
    }
    answerFault(req.caller, fault, detail);
  };

  const RESULT_HANDLERS: {
    readonly [T in RunResult['type']]: (
      req: Request,
      result: Extract<RunResult, {type: T}>,
    ) => void;
  } = {
    done: finishDone,
    refused: (req, {reason, retryAfterMs}) => {
      const caller = callers.get(req.caller);
      if (reason === 'key_revoked' && caller !== undefined) {
        refuseAccess(caller);
        return;
      }
      const isBusyFault = req.tx === null || reason === 'over_allowance';
      const fault = isBusyFault ? 'busy' : 'aborted';
      const text = describeFault(fault, reason, req.id, retryAfterMs ?? null);
      finishWithFault(req, fault, text);
    },
    failed: (req, {fault, text}) => finishWithFault(req, fault, text),
    unknown: (req, {reason}) =>
      finishWithFault(req, 'unknown', describeFault('unknown', reason, req.id)),
  };

  /** Sends a request to the owner, or queues it until there is one. */
  const sendRequest = (req: Request): void => {
    const owner = cfg.findOwner(req.route.group);
    const caller = callers.get(req.caller);
    if (caller === undefined) {
      return;
    }
    const now = runtime.now();
    if (owner === null) {
      waitForOwner(req, now);
      return;
    }
    requests.update(req.id, {sentTo: owner, attempts: req.attempts + 1});
    record('debug', 'request_sent', {
      request: req.id,
      caller_request: req.callerRequest,
      group: req.route.group,
      owner,
      attempt: req.attempts + 1,
      table_version: cfg.readTable()?.version ?? null,
      left_ms: Math.round(req.deadline - now),
    });
    cfg.send(owner, {
      type: 'run',
      request: req.id,
      callerRequest: req.callerRequest,
      group: req.route.group,
      database: req.route.database,
      workspace: req.workspace,
      keyDigest: caller.keyDigest,
      tableVersion: req.tableVersion,
      tx: req.tx,
      statement: req.statement,
      session: {values: [...caller.values]},
      consistency: req.route.consistency,
      maxStalenessMs: req.route.maxStalenessMs,
      position: caller.position,
      priority: req.route.priority,
      targetLeftMs: Math.round(req.targetAt - now),
      timeoutLeftMs: Math.round(req.deadline - now),
    });
  };

  /** Lets a request wait while an owner may be found in time, or refuses it. */
  const waitForOwner = (req: Request, now: Instant): void => {
    const lostAt = cfg.readOwnerLostAt(req.route.group);
    const waitEnd = computeWaitDeadline(lostAt, now, req.deadline);
    if (cfg.isCutOff() || waitEnd === null || waitEnd <= now) {
      // A caller keeps its session for its next attempt. While hosts are
      // separated from each other, it would be refused for as long as that
      // lasts, though other hosts reach the owner.
      callers.update(req.caller, {isLeaving: true});
      finishRequest(req, refused('no_owner'));
      return;
    }
    runtime.at(waitEnd, () => {
      const current = requests.get(req.id);
      if (current !== undefined && current.sentTo === null) {
        sendRequest(current);
      }
    });
  };

  /** Ends a request that has no answer at its deadline. */
  const handleDeadline = (id: string): void => {
    const req = requests.get(id);
    if (req === undefined) {
      return;
    }
    const isSent = req.sentTo !== null;
    if (!isSent) {
      callers.update(req.caller, {isLeaving: true});
    }
    finishRequest(
      req,
      isSent && isCommitting(req)
        ? unknown('timed_out')
        : refused(isSent ? 'too_late' : 'no_owner'),
    );
  };

  const startRequest = (
    caller: Caller,
    received: ReceivedStatement,
    statement: PoolStatement,
    {route, workspace}: Admission,
  ): void => {
    const {tx} = caller;
    const id = createId();
    const deadline = received.receivedAt + route.timeoutMs;
    const req: Request = {
      id,
      caller: caller.id,
      callerRequest: received.request,
      statement,
      tx:
        tx === null
          ? null
          : {id: tx.id, readOnly: tx.readOnly, isFirst: !tx.isSentToPool},
      route,
      workspace,
      receivedAt: received.receivedAt,
      targetAt: (tx?.startedAt ?? received.receivedAt) + route.targetMs,
      deadline,
      tableVersion: cfg.readTable()?.version ?? 0,
      sentTo: null,
      attempts: 0,
    };
    requests.put(id, req);
    callers.update(caller.id, {
      request: id,
      tx: tx === null ? null : {...tx, isSentToPool: true},
    });
    timers.set(
      id,
      runtime.at(deadline + DEADLINE_GRACE_MS, () => handleDeadline(id)),
    );
    sendRequest(req);
  };

  /**
   * Calls `then` with the route and workspace of a caller's next statement;
   * closes a caller without access. A transaction keeps those that it began
   * with, and is rolled back if the key of its caller has lost them.
   */
  const withAccess = (
    caller: Caller,
    then: (admission: Admission) => void,
  ): void => {
    const table = cfg.readTable();
    const {tx, database, keyDigest} = caller;
    const access =
      table === null
        ? ({type: 'no_database'} as const)
        : checkAccess(table, database, keyDigest);
    if (access.type === 'unknown_key') {
      refuseAccess(caller);
      return;
    }
    if (tx !== null) {
      const isMoved =
        access.type === 'granted' && access.workspace !== tx.workspace;
      if (isMoved) {
        refuseAccess(caller);
        return;
      }
      then({route: tx.route, workspace: tx.workspace});
      return;
    }
    const route = table?.routes.get(database);
    if (access.type === 'no_database' || route === undefined) {
      answerFault(caller.id, 'no_database');
      closeCaller(caller.id);
      return;
    }
    then({route, workspace: access.workspace});
  };

  /** Rolls back and closes a session whose key has lost its access. */
  const refuseAccess = (caller: Caller): void => {
    record('info', 'key_refused', {
      kind: caller.database,
      tx: caller.tx?.id ?? null,
      table_version: cfg.readTable()?.version ?? null,
    });
    rollBack(caller);
    answerFault(caller.id, 'not_authorized');
    closeCaller(caller.id);
  };

  /** Starts a statement that a pool has to run. */
  const runOnPool = (
    caller: Caller,
    received: ReceivedStatement,
    statement: PoolStatement,
  ): void =>
    withAccess(caller, admission =>
      startRequest(caller, received, statement, admission),
    );

  const beginTx = (
    caller: Caller,
    received: ReceivedStatement,
    readOnly: boolean,
  ): void =>
    withAccess(caller, ({route, workspace}) => {
      if (caller.tx !== null) {
        answerFault(caller.id, 'bad_request');
        return;
      }
      callers.update(caller.id, {
        tx: {
          id: createId(),
          workspace,
          readOnly,
          route,
          startedAt: received.receivedAt,
          isSentToPool: false,
          isFailed: false,
        },
      });
      answerDone(caller.id);
    });

  const rollBack = (caller: Caller): void => {
    const {tx} = caller;
    if (tx?.isSentToPool === true && !tx.isFailed) {
      const {group} = tx.route;
      const owner = cfg.findOwner(group);
      if (owner !== null) {
        cfg.send(owner, {type: 'close_tx', group, tx: tx.id});
      }
    }
    clearTx(caller.id);
  };

  const commit = (caller: Caller, received: ReceivedStatement): void => {
    if (caller.tx === null) {
      answerFault(caller.id, 'bad_request');
      return;
    }
    if (caller.tx.isFailed) {
      clearTx(caller.id);
      answerFault(caller.id, 'aborted');
      return;
    }
    runOnPool(caller, received, {type: 'commit'});
  };

  const execute = (caller: Caller, received: ReceivedStatement): void => {
    const {statement} = received;
    if (statement.type !== 'execute') {
      return;
    }
    const prepared = caller.prepared.get(statement.name);
    if (prepared === undefined) {
      answerFault(caller.id, 'not_prepared');
      return;
    }
    runOnPool(caller, received, {...statement, ...prepared});
  };

  const STATEMENT_HANDLERS: {
    readonly [T in CallerStatement['type']]: (
      caller: Caller,
      received: ReceivedStatement,
      statement: Extract<CallerStatement, {type: T}>,
    ) => void;
  } = {
    begin: (caller, received, {readOnly}) =>
      beginTx(caller, received, readOnly),
    commit,
    invalid: caller => answerFault(caller.id, 'bad_request'),
    rollback: caller => {
      rollBack(caller);
      answerDone(caller.id);
    },
    run: (caller, received, statement) =>
      runOnPool(caller, received, statement),
    execute,
    set: (caller, _received, {name, value}) => {
      callers.update(caller.id, {
        values: new Map(caller.values).set(name, value),
      });
      answerDone(caller.id);
    },
    prepare: (caller, _received, {name, access, shape}) => {
      callers.update(caller.id, {
        prepared: new Map(caller.prepared).set(name, {access, shape}),
      });
      answerDone(caller.id);
    },
    deallocate: (caller, _received, {name}) => {
      const prepared = new Map(caller.prepared);
      if (!prepared.delete(name)) {
        answerFault(caller.id, 'not_prepared');
        return;
      }
      callers.update(caller.id, {prepared});
      answerDone(caller.id);
    },
  };

  /** Statements that a failed transaction still accepts. */
  const TX_END_TYPES: ReadonlySet<CallerStatement['type']> = new Set([
    'commit',
    'rollback',
  ]);

  /** Refuses an operation while this host stops; its caller tries another. */
  const refuseOperation = (
    caller: Caller,
    {request, receivedAt}: ReceivedStatement,
  ): void => {
    record('info', 'request_not_run', {
      request: null,
      caller_request: request,
      kind: caller.database,
      outcome: 'not_run',
      reason: 'stopping',
      latency_ms: Math.round(runtime.now() - receivedAt),
    });
    answerFault(caller.id, 'busy', STOPPING_TEXT);
    closeCaller(caller.id);
  };

  const handleStatement = (id: number, received: ReceivedStatement): void => {
    const caller = callers.get(id);
    if (caller === undefined) {
      return;
    }
    const {statement} = received;
    if (isRefusing && caller.tx === null) {
      refuseOperation(caller, received);
      return;
    }
    if (caller.tx?.isFailed === true && !TX_END_TYPES.has(statement.type)) {
      answerFault(id, 'bad_request');
      return;
    }
    if (exceedsKeptBytes(caller, statement)) {
      answerFault(id, 'bad_request', TOO_MUCH_KEPT_TEXT);
      return;
    }
    STATEMENT_HANDLERS[statement.type](caller, received, statement as never);
  };

  /** Marks a request as unsent, and sends it again after a delay. */
  const resend = (req: Request): void => {
    const waiting = requests.update(req.id, {sentTo: null});
    if (waiting === null) {
      return;
    }
    runtime.at(runtime.now() + RESEND_DELAY_MS, () => {
      const current = requests.get(req.id);
      if (current?.sentTo === null) {
        sendRequest(current);
      }
    });
  };

  /** Returns whether a request may be sent again, possibly to another owner. */
  const mayResend = (req: Request): boolean =>
    (req.tx === null || req.tx.isFirst) &&
    runtime.now() + RESEND_DELAY_MS < req.deadline;

  return {
    open: (id, database, keyDigest = null) => {
      if (isRefusing) {
        return 'stopping';
      }
      const table = cfg.readTable();
      if (table === null) {
        return 'starting';
      }
      const access = checkAccess(table, database, keyDigest);
      if (access.type !== 'granted') {
        return access.type;
      }
      callers.put(id, {
        id,
        database,
        keyDigest,
        values: new Map(),
        prepared: new Map(),
        tx: null,
        position: null,
        waiting: [],
        request: null,
        idleSince: runtime.now(),
        isLeaving: false,
        isClosing: false,
      });
      return 'opened';
    },
    serve: (id, request, statement) => {
      const caller = callers.get(id);
      if (caller === undefined) {
        return;
      }
      const received = {request, statement, receivedAt: runtime.now()};
      if (caller.request === null) {
        handleStatement(id, received);
        return;
      }
      if (caller.waiting.length >= MAX_WAITING_STATEMENTS) {
        closeCaller(id);
        return;
      }
      callers.update(id, {waiting: [...caller.waiting, received]});
    },
    close: id => {
      const caller = callers.get(id);
      if (caller === undefined) {
        return;
      }
      if (caller.request !== null) {
        const req = requests.get(caller.request);
        record('info', 'caller_left', {
          request: caller.request,
          caller_request: req?.callerRequest ?? null,
          kind: caller.database,
          owner: req?.sentTo ?? null,
          latency_ms: Math.round(
            runtime.now() - (req?.receivedAt ?? runtime.now()),
          ),
        });
      }
      rollBack(caller);
      callers.remove(id);
    },
    handleRan: (id, result) => {
      const req = requests.get(id);
      if (req === undefined) {
        return;
      }
      const isNotOwner =
        result.type === 'refused' && result.reason === 'not_owner';
      if (isNotOwner && mayResend(req)) {
        resend(req);
        return;
      }
      finishRequest(req, result);
    },
    sendWaitingRequests: group => {
      requests
        .list()
        .filter(({sentTo, route}) => sentTo === null && route.group === group)
        .forEach(sendRequest);
    },
    endWaitingRequests: () => {
      requests
        .list()
        .filter(({sentTo}) => sentTo === null)
        .forEach(req => finishRequest(req, refused('no_owner')));
    },
    handleHostLost: host => {
      const lost = requests.list().filter(({sentTo}) => sentTo === host);
      for (const req of lost) {
        if (isCommitting(req)) {
          finishRequest(req, unknown('owner_lost'));
        } else if (isRetryable(req) || mayResend(req)) {
          resend(req);
        } else {
          finishRequest(req, refused('tx_gone'));
        }
      }
    },
    beginClosing: () => {
      cancelClosing?.();
      closeIdleCallers();
    },
    closeIdleSessions: group => {
      const routes = cfg.readTable()?.routes;
      closeIdle(
        'owner_lost',
        ({database}) => routes?.get(database)?.group === group,
      );
    },
    stopClosing: () => {
      cancelClosing?.();
      cancelClosing = null;
    },
    refuseOperations: () => {
      isRefusing = true;
    },
    receiveInput: () => new Promise(afterInput),
    endRequests: () => {
      isRefusing = true;
      for (const req of requests.list()) {
        const {sentTo, tx, route} = req;
        if (sentTo !== null && isCommitting(req)) {
          finishRequest(req, unknown('stopping'));
          continue;
        }
        if (sentTo !== null && tx !== null) {
          // Its caller is told that nothing is kept.
          cfg.send(sentTo, {type: 'close_tx', group: route.group, tx: tx.id});
        }
        finishRequest(req, refused('stopping'));
      }
    },
    abortTxs: () => {
      for (const caller of callers.list()) {
        const {tx, request} = caller;
        if (tx !== null && !tx.isFailed && request === null) {
          rollBack(caller);
          callers.update(caller.id, {
            tx: {...tx, isFailed: true},
          });
        }
      }
    },
    countBusyCallers: () => callers.list().filter(isBusy).length,
    countCallers: () => callers.count(),
    countKeptBytes: id => countKeptBytes(callers.get(id)),
  };
}

/** Text of the error with which a stopping host refuses an operation. */
const STOPPING_TEXT = 'this host is stopping; connect again and retry it';

/** Signature in the reply to a statement that no endpoint ran. */
const NO_SIGNATURE = '-';

/** Log events for the end of a request, by result. */
const RESULT_EVENTS: Readonly<Record<RunResult['type'], string>> = {
  done: 'request_done',
  refused: 'request_not_run',
  failed: 'request_failed',
  unknown: 'request_unknown',
};
