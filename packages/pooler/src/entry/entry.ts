/** Serves callers: sessions, transactions, and what became of statements. */

import type {GroupId, HostId, LogPosition} from '@lacewingroad/core';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import {isCommitting, isRetryable} from '../decisions/effects.js';
import {latestOf} from '../decisions/positions.js';
import {computeWaitDeadline} from '../decisions/reach.js';
import type {Route, RouteTable} from '../model/directory.js';
import type {PoolMessage, PoolStatement, TxRef} from '../model/message.js';
import {refused, unknown} from '../model/result.js';
import type {RunResult} from '../model/result.js';
import type {Access, CallerStatement, TxState} from '../model/statement.js';
import type {HostPorts} from '../ports.js';
import {createRecords} from '../records.js';
import type {CallerFault, CallerReply} from './caller_reply.js';
import {
  DEADLINE_GRACE_MS,
  MAX_WAITING_STATEMENTS,
  RESEND_MS,
} from './limits.js';

/** A transaction of a caller. */
interface CallerTx {
  readonly id: string;
  readonly readOnly: boolean;
  readonly route: Route;
  readonly startedAt: Instant;
  /** Whether a statement of it was sent to a pool. */
  readonly isBegun: boolean;
  /** Lost or failed: only its end is accepted. */
  readonly isFailed: boolean;
}

/** A statement that arrived, with the caller's id of it. */
interface Arrived {
  readonly request: string;
  readonly statement: CallerStatement;
  readonly receivedAt: Instant;
}

/** A connected caller. */
interface Caller {
  readonly id: number;
  readonly database: string;
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: ReadonlyMap<string, {access: Access; shape: string}>;
  readonly tx: CallerTx | null;
  /** The newest commit that the session was told of. */
  readonly position: LogPosition | null;
  readonly waiting: readonly Arrived[];
  /** The request that serves its statement, or null. */
  readonly request: string | null;
}

/** A statement on its way to a pool. */
interface Request {
  readonly id: string;
  readonly caller: number;
  readonly callerRequest: string;
  readonly statement: PoolStatement;
  readonly tx: TxRef | null;
  readonly route: Route;
  readonly receivedAt: Instant;
  readonly targetAt: Instant;
  readonly deadline: Instant;
  /** The owner that it was sent to; null while it waits for one. */
  readonly sentTo: HostId | null;
  readonly attempts: number;
}

/** What the entry needs. */
export interface EntryConfig {
  readonly ports: Pick<
    HostPorts,
    'runtime' | 'record' | 'reply' | 'closeCaller'
  >;
  /** Distinguishes this start of this host from all others. */
  readonly incarnation: string;
  readonly send: (host: HostId, msg: PoolMessage) => void;
  readonly readTable: () => RouteTable | null;
  /** Returns the owner of a group's pool if it can be reached, or null. */
  readonly findOwner: (group: GroupId) => HostId | null;
  /** Returns since when it cannot be reached, or null where it can. */
  readonly readLostAt: (group: GroupId) => Instant | null;
}

/** Serves the callers of one host. */
export interface Entry {
  /** Begins a session; tells whether the database is known. */
  readonly open: (caller: number, database: string) => boolean;
  readonly serve: (
    caller: number,
    request: string,
    statement: CallerStatement,
  ) => void;
  /** Ends a session; its transaction is rolled back. */
  readonly close: (caller: number) => void;
  readonly handleRan: (request: string, result: RunResult) => void;
  /** Sends what waits for an owner of the group. */
  readonly noteOwner: (group: GroupId) => void;
  /** Ends or sends again what a host had that cannot be reached any more. */
  readonly noteHostLost: (host: HostId) => void;
  /** Closes sessions that are idle, and others once they are. */
  readonly beginClosing: () => void;
  /** Goes on serving after `beginClosing`. */
  readonly stopClosing: () => void;
  /** Ends transactions that are open, as at the end of a graceful stop. */
  readonly abortTxs: () => void;
  /** Counts statements that wait for an answer, and open transactions. */
  readonly countBusy: () => number;
  readonly countCallers: () => number;
}

const FAULT_TEXTS: Readonly<Record<string, string>> = {
  no_database: 'no such database; check its name',
  bad_request: 'not possible in this state; end the transaction first',
  not_prepared: 'no such prepared statement; prepare it first',
  busy: 'not run, nothing is kept; send it again',
  aborted: 'rolled back, nothing is kept; send it again from its start',
  unknown: 'outcome unknown; look before you send it again',
  failed: 'it ran and failed; look at the statement',
  timed_out: 'it ran beyond its time; look before you send it again',
};

/** Creates the entry of a host. */
export function createEntry(cfg: EntryConfig): Entry {
  const {runtime, record, reply, closeCaller} = cfg.ports;
  const callers = createRecords<number, Caller>();
  const requests = createRecords<string, Request>();
  const timers = new Map<string, Unregister>();
  let nextId = 1;
  let isClosing = false;

  const createId = (): string => `${cfg.incarnation}-${nextId++}`;

  const readState = (caller: Caller): TxState => {
    if (caller.tx === null) {
      return 'idle';
    }
    return caller.tx.isFailed ? 'failed' : 'open';
  };

  /** Answers the statement in progress, and serves the next one. */
  const answer = (id: number, build: (state: TxState) => CallerReply): void => {
    const caller = callers.update(id, {request: null});
    if (caller === null) {
      return;
    }
    reply(id, build(readState(caller)));
    const [next, ...rest] = caller.waiting;
    if (next !== undefined) {
      callers.update(id, {waiting: rest});
      serveNow(id, next);
      return;
    }
    if (isClosing && caller.tx === null) {
      closeCaller(id);
    }
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

  const forget = (id: string): void => {
    requests.remove(id);
    timers.get(id)?.();
    timers.delete(id);
  };

  const failTx = (id: number): void => {
    const tx = callers.get(id)?.tx ?? null;
    if (tx !== null) {
      callers.update(id, {tx: {...tx, isFailed: true}});
    }
  };

  const endTx = (id: number): void => {
    callers.update(id, {tx: null});
  };

  /** Tells the log and the caller what became of a request. */
  const endRequest = (req: Request, result: RunResult): void => {
    forget(req.id);
    const isDone = result.type === 'done';
    record(isDone ? 'debug' : 'info', END_EVENTS[result.type], {
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
    END_HANDLERS[result.type](req, result as never);
  };

  const endDone = (
    req: Request,
    result: Extract<RunResult, {type: 'done'}>,
  ): void => {
    const isEnd = req.statement.type === 'commit';
    if (isEnd) {
      endTx(req.caller);
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

  const endFailing = (
    req: Request,
    fault: CallerFault,
    detail: string | null,
  ): void => {
    if (req.statement.type === 'commit') {
      endTx(req.caller);
    } else if (req.tx !== null) {
      failTx(req.caller);
    }
    answerFault(req.caller, fault, detail);
  };

  const explain = (req: Request, fault: CallerFault, reason: string): string =>
    `${FAULT_TEXTS[fault] ?? fault} (${reason}, request ${req.id})`;

  const END_HANDLERS: {
    readonly [T in RunResult['type']]: (
      req: Request,
      result: Extract<RunResult, {type: T}>,
    ) => void;
  } = {
    done: endDone,
    refused: (req, {reason}) => {
      const fault = req.tx === null ? 'busy' : 'aborted';
      endFailing(req, fault, explain(req, fault, reason));
    },
    failed: (req, {fault, text}) => endFailing(req, fault, text),
    unknown: (req, {reason}) =>
      endFailing(req, 'unknown', explain(req, 'unknown', reason)),
  };

  /** Sends a request to its owner, or lets it wait until there is one. */
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

  /** Lets a request wait for an owner as long as that may help it. */
  const waitForOwner = (req: Request, now: Instant): void => {
    const lostAt = cfg.readLostAt(req.route.group);
    const waitEnd = computeWaitDeadline(lostAt, now, req.deadline);
    if (waitEnd === null || waitEnd <= now) {
      endRequest(req, refused('no_owner'));
      return;
    }
    runtime.at(waitEnd, () => {
      const current = requests.get(req.id);
      if (current !== undefined && current.sentTo === null) {
        sendRequest(current);
      }
    });
  };

  /** Ends a request without an answer at its deadline. */
  const handleDeadline = (id: string): void => {
    const req = requests.get(id);
    if (req === undefined) {
      return;
    }
    const isSent = req.sentTo !== null;
    endRequest(
      req,
      isSent && isCommitting(req)
        ? unknown('timed_out')
        : refused(isSent ? 'too_late' : 'no_owner'),
    );
  };

  const startRequest = (
    caller: Caller,
    arrived: Arrived,
    statement: PoolStatement,
    route: Route,
  ): void => {
    const {tx} = caller;
    const id = createId();
    const deadline = arrived.receivedAt + route.timeoutMs;
    const startedAt = tx?.startedAt ?? arrived.receivedAt;
    const req: Request = {
      id,
      caller: caller.id,
      callerRequest: arrived.request,
      statement,
      tx:
        tx === null
          ? null
          : {id: tx.id, readOnly: tx.readOnly, isFirst: !tx.isBegun},
      route,
      receivedAt: arrived.receivedAt,
      targetAt: startedAt + route.targetMs,
      deadline,
      sentTo: null,
      attempts: 0,
    };
    requests.put(id, req);
    callers.update(caller.id, {
      request: id,
      tx: tx === null ? null : {...tx, isBegun: true},
    });
    timers.set(
      id,
      runtime.at(deadline + DEADLINE_GRACE_MS, () => handleDeadline(id)),
    );
    sendRequest(req);
  };

  /** Finds the route of a caller; a caller whose database is gone is closed. */
  const withRoute = (caller: Caller, then: (route: Route) => void): void => {
    const routes = cfg.readTable()?.routes;
    const route = caller.tx?.route ?? routes?.get(caller.database);
    if (route === undefined) {
      answerFault(caller.id, 'no_database');
      closeCaller(caller.id);
      return;
    }
    then(route);
  };

  /** Begins a statement that a pool has to run. */
  const runData = (
    caller: Caller,
    arrived: Arrived,
    statement: PoolStatement,
  ): void =>
    withRoute(caller, route => startRequest(caller, arrived, statement, route));

  const beginTx = (caller: Caller, arrived: Arrived, readOnly: boolean): void =>
    withRoute(caller, route => {
      if (caller.tx !== null) {
        answerFault(caller.id, 'bad_request');
        return;
      }
      callers.update(caller.id, {
        tx: {
          id: createId(),
          readOnly,
          route,
          startedAt: arrived.receivedAt,
          isBegun: false,
          isFailed: false,
        },
      });
      answerDone(caller.id);
    });

  const rollBack = (caller: Caller): void => {
    const {tx} = caller;
    if (tx?.isBegun === true && !tx.isFailed) {
      const {group} = tx.route;
      const owner = cfg.findOwner(group);
      if (owner !== null) {
        cfg.send(owner, {type: 'close_tx', group, tx: tx.id});
      }
    }
    endTx(caller.id);
  };

  const commit = (caller: Caller, arrived: Arrived): void => {
    if (caller.tx === null) {
      answerFault(caller.id, 'bad_request');
      return;
    }
    if (caller.tx.isFailed) {
      endTx(caller.id);
      answerFault(caller.id, 'aborted');
      return;
    }
    runData(caller, arrived, {type: 'commit'});
  };

  const execute = (caller: Caller, arrived: Arrived): void => {
    const {statement} = arrived;
    if (statement.type !== 'execute') {
      return;
    }
    const known = caller.prepared.get(statement.name);
    if (known === undefined) {
      answerFault(caller.id, 'not_prepared');
      return;
    }
    runData(caller, arrived, {...statement, ...known});
  };

  const STATEMENT_HANDLERS: {
    readonly [T in CallerStatement['type']]: (
      caller: Caller,
      arrived: Arrived,
      statement: Extract<CallerStatement, {type: T}>,
    ) => void;
  } = {
    begin: (caller, arrived, {readOnly}) => beginTx(caller, arrived, readOnly),
    commit,
    invalid: caller => answerFault(caller.id, 'bad_request'),
    rollback: caller => {
      rollBack(caller);
      answerDone(caller.id);
    },
    run: (caller, arrived, statement) => runData(caller, arrived, statement),
    execute,
    set: (caller, _arrived, {name, value}) => {
      callers.update(caller.id, {
        values: new Map(caller.values).set(name, value),
      });
      answerDone(caller.id);
    },
    prepare: (caller, _arrived, {name, access, shape}) => {
      callers.update(caller.id, {
        prepared: new Map(caller.prepared).set(name, {access, shape}),
      });
      answerDone(caller.id);
    },
    deallocate: (caller, _arrived, {name}) => {
      const prepared = new Map(caller.prepared);
      if (!prepared.delete(name)) {
        answerFault(caller.id, 'not_prepared');
        return;
      }
      callers.update(caller.id, {prepared});
      answerDone(caller.id);
    },
  };

  /** Statements that a failed transaction still takes. */
  const ENDS: ReadonlySet<CallerStatement['type']> = new Set([
    'commit',
    'rollback',
  ]);

  const serveNow = (id: number, arrived: Arrived): void => {
    const caller = callers.get(id);
    if (caller === undefined) {
      return;
    }
    const {statement} = arrived;
    if (caller.tx?.isFailed === true && !ENDS.has(statement.type)) {
      answerFault(id, 'bad_request');
      return;
    }
    STATEMENT_HANDLERS[statement.type](caller, arrived, statement as never);
  };

  /** Lets a request wait for an owner, and tries again soon. */
  const resend = (req: Request): void => {
    const parked = requests.update(req.id, {sentTo: null});
    if (parked === null) {
      return;
    }
    runtime.at(runtime.now() + RESEND_MS, () => {
      const current = requests.get(req.id);
      if (current?.sentTo === null) {
        sendRequest(current);
      }
    });
  };

  /** Tells whether a request that was handed back may go to another owner. */
  const mayResend = (req: Request): boolean =>
    (req.tx === null || req.tx.isFirst) &&
    runtime.now() + RESEND_MS < req.deadline;

  return {
    open: (id, database) => {
      if (cfg.readTable()?.routes.has(database) !== true) {
        return false;
      }
      callers.put(id, {
        id,
        database,
        values: new Map(),
        prepared: new Map(),
        tx: null,
        position: null,
        waiting: [],
        request: null,
      });
      return true;
    },
    serve: (id, request, statement) => {
      const caller = callers.get(id);
      if (caller === undefined) {
        return;
      }
      const arrived = {request, statement, receivedAt: runtime.now()};
      if (caller.request === null) {
        serveNow(id, arrived);
        return;
      }
      if (caller.waiting.length >= MAX_WAITING_STATEMENTS) {
        closeCaller(id);
        return;
      }
      callers.update(id, {waiting: [...caller.waiting, arrived]});
    },
    close: id => {
      const caller = callers.get(id);
      if (caller === undefined) {
        return;
      }
      rollBack(caller);
      callers.remove(id);
    },
    handleRan: (id, result) => {
      const req = requests.get(id);
      if (req === undefined) {
        return;
      }
      const isHandedBack =
        result.type === 'refused' && result.reason === 'not_owner';
      if (isHandedBack && mayResend(req)) {
        resend(req);
        return;
      }
      endRequest(req, result);
    },
    noteOwner: group => {
      requests
        .list()
        .filter(({sentTo, route}) => sentTo === null && route.group === group)
        .forEach(sendRequest);
    },
    noteHostLost: host => {
      const lost = requests.list().filter(({sentTo}) => sentTo === host);
      for (const req of lost) {
        if (isCommitting(req)) {
          endRequest(req, unknown('owner_lost'));
        } else if (isRetryable(req) || mayResend(req)) {
          resend(req);
        } else {
          endRequest(req, refused('tx_gone'));
        }
      }
    },
    beginClosing: () => {
      isClosing = true;
      callers
        .list()
        .filter(({request, tx}) => request === null && tx === null)
        .forEach(({id}) => closeCaller(id));
    },
    stopClosing: () => {
      isClosing = false;
    },
    abortTxs: () => {
      for (const caller of callers.list()) {
        if (caller.tx !== null && caller.request === null) {
          rollBack(caller);
          callers.update(caller.id, {
            tx: {...caller.tx, isFailed: true},
          });
        }
      }
    },
    countBusy: () =>
      callers.list().filter(({request, tx}) => request !== null || tx !== null)
        .length,
    countCallers: () => callers.count(),
  };
}

/** Receipt of a statement that no endpoint ran. */
const NO_SIGNATURE = '-';

/** Names of the events that end a request. */
const END_EVENTS: Readonly<Record<RunResult['type'], string>> = {
  done: 'request_done',
  refused: 'request_not_run',
  failed: 'request_failed',
  unknown: 'request_unknown',
};
