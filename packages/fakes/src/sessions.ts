/** Connections of a simulated endpoint and the statements that run on them. */

import type {ConnAnswer, LogPosition, Result} from '@lacewingroad/core';
import type {FakeEndpoint} from './endpoint.js';
import type {LedgerOp} from './ledger.js';
import type {FakeNetwork, PipeEnd} from './network.js';
import {
  createRows,
  parseRequestKey,
  parseRowId,
  OK_RESULT,
  ENDPOINT_ERRORS,
  parseSavedResult,
  parseSelect,
} from './statements.js';

/** One connection. */
interface Session {
  readonly end: PipeEnd;
  ops: LedgerOp[];
  inTx: boolean;
  isKilled: boolean;
  /** Whether a statement holds a slot; the rollback on a close waits for it. */
  isBusy: boolean;
}

/** Connections of one endpoint. */
export interface Sessions {
  /** Accepts a connection; returns null at the connection limit. */
  readonly accept: (end: PipeEnd) => Session | null;
  /** Runs a statement once a slot is free, then calls `answer`. */
  readonly run: (
    session: Session,
    sql: string,
    answer: (answer: ConnAnswer) => void,
  ) => void;
  readonly count: () => number;
  /** Rolls back all transactions; the connections stay open. */
  readonly rollBackAll: () => void;
  /** Closes all connections at once. */
  readonly closeAll: () => void;
}

/** Dependencies of the connections. */
export interface SessionsConfig {
  readonly network: FakeNetwork;
  readonly endpoint: Omit<FakeEndpoint, 'sessions'>;
}

interface Job {
  readonly session: Session;
  readonly sql: string;
  readonly answer: (answer: ConnAnswer) => void;
}

type Execute = (session: Session, sql: string) => ConnAnswer | 'wait';

/** Creates an endpoint's connections. */
export function createSessions(cfg: SessionsConfig): Sessions {
  const {network, endpoint} = cfg;
  const {runtime} = network;
  const {ledger, load} = endpoint;
  const sessions = new Set<Session>();
  /** Sessions that hold the locks of uncommitted request keys. */
  const lockedKeys = new Map<string, Session>();
  let lockWaiters: (() => void)[] = [];
  let queue: Job[] = [];
  let running = 0;

  const result = (
    session: Session,
    value: Result,
    position: LogPosition | null = null,
  ): ConnAnswer => ({
    type: 'result',
    result: value,
    position,
    inTx: session.inTx,
  });

  /** Ends a transaction and retries the statements that wait for its locks. */
  const endTx = (session: Session): void => {
    const keys = session.ops.filter(op => op.type === 'key');
    session.ops = [];
    session.inTx = false;
    keys.forEach(op => lockedKeys.delete(op.key));
    if (keys.length > 0) {
      const waiters = lockWaiters;
      lockWaiters = [];
      waiters.forEach(retry => retry());
    }
  };

  const isWritable = (session: Session): boolean =>
    endpoint.isPrimary() && !session.isKilled;

  const rejectReadOnly = (session: Session): ConnAnswer => {
    endTx(session);
    session.isKilled = false;
    return ENDPOINT_ERRORS.readOnly;
  };

  const commit: Execute = session => {
    const {ops} = session;
    if (ops.length === 0 && !session.isKilled) {
      endTx(session);
      return result(session, OK_RESULT);
    }
    const position = isWritable(session) ? endpoint.commit(ops) : null;
    if (position === null) {
      return rejectReadOnly(session);
    }
    endTx(session);
    return result(session, OK_RESULT, position);
  };

  const write = (session: Session, op: LedgerOp, value: Result): ConnAnswer => {
    if (!isWritable(session)) {
      return rejectReadOnly(session);
    }
    session.ops.push(op);
    if (session.inTx) {
      return result(session, value);
    }
    const position = endpoint.commit(session.ops);
    endTx(session);
    return result(session, value, position);
  };

  const insertKey = (session: Session, key: string): ConnAnswer | 'wait' => {
    // MySQL also checks for read-only before it looks up the key.
    if (!isWritable(session)) {
      return rejectReadOnly(session);
    }
    const holder = lockedKeys.get(key);
    if (holder !== undefined && holder !== session) {
      return 'wait';
    }
    if (holder === session || ledger.findKey(key) !== null) {
      return ENDPOINT_ERRORS.duplicate;
    }
    if (session.inTx) {
      lockedKeys.set(key, session);
    }
    return write(session, {type: 'key', key, saved: OK_RESULT}, OK_RESULT);
  };

  const updateKey = (session: Session, sql: string): ConnAnswer => {
    const {key, saved} = parseSavedResult(sql);
    session.ops = session.ops.map(op =>
      op.type === 'key' && op.key === key ? {...op, saved} : op,
    );
    return isWritable(session)
      ? result(session, OK_RESULT)
      : rejectReadOnly(session);
  };

  const lookUpKey = (session: Session, key: string): ConnAnswer => {
    const saved = ledger.findKey(key);
    const rows =
      saved === null ? [] : [[String(saved.affectedRows), saved.insertId]];
    return result(session, createRows(['affected_rows', 'insert_id'], rows));
  };

  const select: Execute = (session, sql) => {
    if (sql.includes('@@ledger_role')) {
      const {role, position} = endpoint.readStatus();
      const cells = [role, String(position.term), String(position.index)];
      return result(session, createRows(['role', 'term', 'index'], [cells]));
    }
    if (sql.includes('lacewingroad_requests')) {
      return lookUpKey(session, parseRequestKey(sql));
    }
    const {tag, prefix} = parseSelect(sql);
    const own = session.ops.flatMap(op =>
      op.type === 'row' && op.id.startsWith(`${prefix}.`) ? [op.id] : [],
    );
    const ids = [...ledger.listRows(prefix), ...own];
    return result(session, createRows(['tag', 'ids'], [[tag, ids.join(',')]]));
  };

  const HANDLERS: readonly (readonly [RegExp, Execute])[] = [
    [/^DO\b/i, session => result(session, OK_RESULT)],
    [
      /^(BEGIN|START TRANSACTION)\b/i,
      session => {
        // As in MySQL, BEGIN commits a transaction that is still open.
        if (isWritable(session) && session.ops.length > 0) {
          endpoint.commit(session.ops);
        }
        endTx(session);
        session.isKilled = false;
        session.inTx = true;
        return result(session, OK_RESULT);
      },
    ],
    [/^COMMIT\b/i, commit],
    [
      /^ROLLBACK\b/i,
      session => {
        endTx(session);
        session.isKilled = false;
        return result(session, OK_RESULT);
      },
    ],
    [
      /^INSERT INTO lacewingroad_requests\b/i,
      (session, sql) => insertKey(session, parseRequestKey(sql)),
    ],
    [/^UPDATE lacewingroad_requests\b/i, updateKey],
    [/^SELECT\b/i, select],
  ];

  const execute: Execute = (session, sql) => {
    endpoint.catchUp();
    const bareSql = sql.replace(/^\s*\/\*[\s\S]*?\*\/\s*/, '');
    const found = HANDLERS.find(([pattern]) => pattern.test(bareSql));
    if (found !== undefined) {
      return found[1](session, bareSql);
    }
    const id = parseRowId(bareSql);
    const value: Result = {...OK_RESULT, affectedRows: 1, insertId: id};
    return write(session, {type: 'row', id}, value);
  };

  /** Executes a statement; it keeps its slot while it waits for a lock. */
  const executeJob = (job: Job, waitUntil: number): void => {
    const {session, sql, answer} = job;
    const complete = (value: ConnAnswer): void => {
      running--;
      session.isBusy = false;
      answer(value);
      if (!session.end.isOpen()) {
        endTx(session);
      }
      startNext();
    };
    const value = execute(session, sql);
    if (value !== 'wait') {
      complete(value);
      return;
    }
    let isSettled = false;
    const retry = (): void => {
      if (!isSettled) {
        isSettled = true;
        cancel();
        executeJob(job, waitUntil);
      }
    };
    const cancel = endpoint.process().at(waitUntil, () => {
      if (!isSettled) {
        isSettled = true;
        complete(ENDPOINT_ERRORS.lockWait);
      }
    });
    lockWaiters.push(retry);
  };

  const startNext = (): void => {
    while (running < load.slots && queue.length > 0) {
      const job = queue.shift()!;
      if (!job.session.end.isOpen()) {
        continue;
      }
      running++;
      job.session.isBusy = true;
      const doneAt = runtime.now() + load.serviceMs(job.sql);
      endpoint.process().at(doneAt, () => {
        executeJob(job, runtime.now() + load.lockWaitMs);
      });
    }
  };

  return {
    accept: end => {
      if (sessions.size >= load.maxConnections) {
        return null;
      }
      const session: Session = {
        end,
        ops: [],
        inTx: false,
        isKilled: false,
        isBusy: false,
      };
      sessions.add(session);
      end.onClosed = () => {
        sessions.delete(session);
        if (!session.isBusy) {
          endTx(session);
        }
      };
      return session;
    },
    run: (session, sql, answer) => {
      queue.push({session, sql, answer});
      startNext();
    },
    count: () => sessions.size,
    rollBackAll: () =>
      sessions.forEach(session => {
        session.isKilled = session.inTx;
        session.ops.forEach(op => {
          if (op.type === 'key') {
            lockedKeys.delete(op.key);
          }
        });
        session.ops = [];
      }),
    closeAll: () => {
      sessions.forEach(session => session.end.close());
      sessions.clear();
      lockedKeys.clear();
      lockWaiters = [];
      queue = [];
      running = 0;
    },
  };
}
