/** A fuzz client: runs one session after another and checks the answers. */

import type {GroupId, HostId} from '@lacewingroad/core';
import {readAnswerRows, readErrno} from '../caller.js';
import type {CallerAnswer, FakeCaller} from '../caller.js';
import type {FakeSite} from '../site.js';
import {formatInsert, formatSelect} from '../statements.js';
import type {Oracle, ReportedOutcome} from './oracle.js';

/** How a client keeps its session when it moves to another host. */
export type SessionMode = 'token' | 'named' | 'connection';

/** Dependencies and identity of a client. */
export interface FuzzClientConfig {
  readonly site: FakeSite;
  readonly oracle: Oracle;
  readonly prefix: string;
  readonly mode: SessionMode;
  readonly service: string;
  readonly group: GroupId;
  readonly log: (text: string) => void;
}

/** A client of the fuzz test. */
export interface FuzzClient {
  readonly write: (kind: string, isKeyed: boolean) => void;
  /** Resends the last keyed write that is not known to have succeeded. */
  readonly repeatKeyed: () => void;
  readonly read: (kind: string) => void;
  /** Runs a transaction, waiting `thinkMs` before each further statement. */
  readonly runTx: (
    count: number,
    end: 'COMMIT' | 'ROLLBACK',
    thinkMs: number,
  ) => void;
  /** Reconnects to another host, keeping the session if the mode allows it. */
  readonly roam: (host: HostId) => void;
  readonly close: () => void;
  /** Number of statements without an answer; 0 when disconnected. */
  readonly pendingCount: () => number;
  /** Whether the last read returned rows. */
  readonly hasRead: () => boolean;
  readonly isOpen: () => boolean;
}

/** Kinds whose writes may be repeated without a request key. */
const REPEATABLE_KINDS: ReadonlySet<string> = new Set(['approval']);
/** Maximum number of statements that a client has in progress. */
const MAX_PENDING = 4;
const LOST_WRITE_ERRNO = 9103;
const NOT_RUN_ERRNOS: ReadonlySet<number> = new Set([9101, 9103, 9104, 9105]);
const UNKNOWN_ERRNO = 9102;

function classifyAnswer(answer: CallerAnswer): ReportedOutcome {
  const errno = readErrno(answer);
  if (answer.reply === null || errno === UNKNOWN_ERRNO) {
    return 'unknown';
  }
  if (errno === null) {
    return 'done';
  }
  return NOT_RUN_ERRNOS.has(errno) ? 'not_run' : 'failed';
}

function describeAnswer(answer: CallerAnswer): string {
  const {reply} = answer;
  if (reply === null) {
    return 'closed';
  }
  return reply.type === 'error'
    ? `${reply.error.errno} ${reply.error.message}`
    : 'ok';
}

/** Creates a client; it connects with its first statement. */
export function createFuzzClient(cfg: FuzzClientConfig): FuzzClient {
  const {site, oracle, prefix, mode, service, group, log} = cfg;
  let caller: FakeCaller | null = null;
  /** The connection that this client has closed itself. */
  let closingCaller: FakeCaller | null = null;
  let host = site.hostIds[0]!;
  /** Ids of rows that reads of this session must return. */
  let required = new Set<string>();
  /** The subset of `required` whose position is stored only on entry hosts. */
  let requiredFromHosts = new Set<string>();
  let token: {value: string; covers: ReadonlySet<string>} | null = null;
  /** Counts sessions and reported losses; reads of older epochs are not checked. */
  let epoch = 0;
  let serial = 0;
  let pendingCount = 0;
  let isInTx = false;
  let hasRead = false;
  const keyed: {readonly id: string; readonly sql: string}[] = [];

  const ensureOpen = (): FakeCaller | null => {
    if (caller?.isOpen()) {
      return caller;
    }
    if (site.hosts.get(host)!.process.isDead()) {
      return null;
    }
    const session = mode === 'named' ? prefix : token?.value;
    epoch++;
    if (mode === 'named') {
      requiredFromHosts = new Set(required);
    } else {
      required = new Set(token?.covers ?? []);
    }
    caller = site.openCaller(host, {
      service,
      ...(session === undefined ? {} : {session}),
    });
    return caller;
  };

  const closeCaller = (current: FakeCaller | null): void => {
    closingCaller = current;
    current?.close();
  };

  /** Reports a violation if a live host closed a connection in use. */
  const checkConnectionLoss = (lostCaller: FakeCaller, when: string): void => {
    if (lostCaller !== closingCaller && !lostCaller.host.process.isDead()) {
      oracle.fail(
        `${prefix} was disconnected by ${lostCaller.host.node.id} ${when}`,
      );
    }
  };

  const send = (
    sql: string,
    onAnswer: (answer: CallerAnswer) => void,
  ): void => {
    const current = ensureOpen();
    if (current === null) {
      return;
    }
    // A paused host may close the connection before it reads the statement.
    const mustBeAnswered = current.isOpen() && !current.host.process.isPaused();
    pendingCount++;
    log(`${prefix}@${host} sends ${sql}`);
    current.send(sql, answer => {
      pendingCount--;
      log(`${prefix}@${host} receives ${describeAnswer(answer)} to ${sql}`);
      if (answer.reply === null && mustBeAnswered) {
        checkConnectionLoss(current, `during ${sql}`);
      }
      if (readErrno(answer) === LOST_WRITE_ERRNO) {
        epoch++;
        required.clear();
        requiredFromHosts.clear();
        token = null;
      }
      onAnswer(answer);
    });
  };

  const fetchToken = (): void => {
    if (mode !== 'token') {
      return;
    }
    const covers = new Set(required);
    const sentEpoch = epoch;
    send('SELECT @@lacewingroad_session', answer => {
      const value = readAnswerRows(answer)?.[0]?.[0];
      if (value !== undefined && sentEpoch === epoch) {
        token = {value, covers};
      }
    });
  };

  const requireRows = (ids: readonly string[], sentEpoch: number): void => {
    if (sentEpoch === epoch) {
      ids.forEach(id => required.add(id));
      fetchToken();
    }
  };

  const checkInsertId = (id: string, answer: CallerAnswer): void => {
    const {reply} = answer;
    const isExpected =
      reply?.type !== 'result' ||
      (reply.result.type === 'ok' && reply.result.insertId === id);
    if (!isExpected) {
      oracle.fail(`${prefix} received another statement's answer to ${id}`);
    }
  };

  const sendWrite = (id: string, sql: string, isAtMostOnce: boolean): void => {
    if (ensureOpen() === null) {
      return;
    }
    oracle.begin(id, group, isAtMostOnce);
    const sentEpoch = epoch;
    send(sql, answer => {
      const outcome = classifyAnswer(answer);
      oracle.recordOutcome(id, outcome);
      checkInsertId(id, answer);
      if (outcome === 'done') {
        requireRows([id], sentEpoch);
      }
    });
  };

  const checkRead = (
    tag: string,
    expectedRows: readonly string[],
    answer: CallerAnswer,
  ): void => {
    const row = readAnswerRows(answer)?.[0];
    if (row === undefined) {
      return;
    }
    hasRead = true;
    if (row[0] !== tag) {
      oracle.fail(`${prefix} received the answer to ${row[0]} for ${tag}`);
    }
    const seen = new Set((row[1] ?? '').split(','));
    for (const id of expectedRows.filter(one => !seen.has(one))) {
      const isLost = oracle.isLost(id);
      if (!isLost || !requiredFromHosts.has(id)) {
        oracle.fail(
          `${prefix} (${mode}) did not read its own write ${id}${isLost ? ', whose loss was not reported' : ''}`,
        );
      }
    }
  };

  const canSend = (): boolean => pendingCount < MAX_PENDING && !isInTx;

  return {
    close: () => closeCaller(caller),
    pendingCount: () => (caller?.isOpen() ? pendingCount : 0),
    hasRead: () => hasRead,
    isOpen: () => caller?.isOpen() ?? false,
    write: (kind, isKeyed) => {
      if (!canSend()) {
        return;
      }
      const id = `${prefix}.${++serial}`;
      const key = isKeyed ? `,key='${id}'` : '';
      const sql = formatInsert(id, `/*kind='${kind}'${key}*/ `);
      if (isKeyed) {
        keyed.push({id, sql});
      }
      sendWrite(id, sql, isKeyed || !REPEATABLE_KINDS.has(kind));
    },
    repeatKeyed: () => {
      const last = keyed.findLast(
        ({id}) => !oracle.writes.get(id)?.outcomes.includes('done'),
      );
      if (canSend() && last !== undefined) {
        sendWrite(last.id, last.sql, true);
      }
    },
    read: kind => {
      hasRead = false;
      if (!canSend() || ensureOpen() === null) {
        return;
      }
      const tag = `${prefix}r${++serial}`;
      const expectedRows = [...required];
      const sentEpoch = epoch;
      send(formatSelect(tag, prefix, `/*kind='${kind}'*/ `), answer =>
        checkRead(tag, sentEpoch === epoch ? expectedRows : [], answer),
      );
    },
    runTx: (count, end, thinkMs) => {
      const txCaller = pendingCount > 0 || isInTx ? null : ensureOpen();
      if (txCaller === null) {
        return;
      }
      isInTx = true;
      const ids: string[] = [];
      const tx = oracle.beginTx();
      const sentEpoch = epoch;
      const finishTx = (outcome: ReportedOutcome): void => {
        isInTx = false;
        ids.forEach(id => oracle.recordOutcome(id, outcome));
        if (outcome === 'done') {
          requireRows(ids, sentEpoch);
        }
      };
      const abortTx = (answer: CallerAnswer): void => {
        // Without COMMIT, its writes must not take effect, whatever the answer is.
        finishTx('not_run');
        if (answer.reply !== null) {
          send('ROLLBACK', () => undefined);
        }
      };
      const sendEnd = (): void => {
        if (end === 'COMMIT') {
          tx.commit();
        }
        send(end, answer =>
          finishTx(end === 'ROLLBACK' ? 'not_run' : classifyAnswer(answer)),
        );
      };
      /** Returns whether the connection is still in use; aborts if it is not. */
      const checkTxConnection = (): boolean => {
        if (txCaller.isOpen() && txCaller === caller) {
          return true;
        }
        ids.forEach(id => oracle.recordOutcome(id, 'not_run'));
        if (txCaller === caller) {
          isInTx = false;
        }
        if (!txCaller.isOpen()) {
          checkConnectionLoss(txCaller, 'within a transaction');
        }
        return false;
      };
      const sendNext = (): void => {
        if (!checkTxConnection()) {
          return;
        }
        if (ids.length === count) {
          sendEnd();
          return;
        }
        const id = `${prefix}.${++serial}`;
        ids.push(id);
        tx.addRow(id);
        oracle.begin(id, group, true);
        send(formatInsert(id), handleAnswer);
      };
      const handleAnswer = (answer: CallerAnswer): void => {
        if (classifyAnswer(answer) !== 'done') {
          abortTx(answer);
          return;
        }
        if (thinkMs === 0) {
          sendNext();
          return;
        }
        site.runtime.at(site.runtime.now() + thinkMs, sendNext);
      };
      send("/*kind='payment'*/ BEGIN", handleAnswer);
    },
    roam: to => {
      const old = caller;
      host = to;
      caller = null;
      closeCaller(old);
      isInTx = false;
      epoch++;
      ensureOpen();
    },
  };
}
