/** A caller of the fuzz: one session after the other, and what it was told. */

import type {GroupId, HostId} from '@lacewingroad/core';
import {readAnswerRows, readErrno} from '../caller.js';
import type {CallerAnswer, FakeCaller} from '../caller.js';
import type {FakeSite} from '../site.js';
import {formatInsert, formatSelect} from '../statements.js';
import type {Oracle, Told} from './oracle.js';

/** How a caller carries its session to another host. */
export type SessionMode = 'token' | 'named' | 'connection';

/** What a client needs. */
export interface FuzzClientConfig {
  readonly site: FakeSite;
  readonly oracle: Oracle;
  readonly prefix: string;
  readonly mode: SessionMode;
  readonly service: string;
  readonly group: GroupId;
  readonly log: (text: string) => void;
}

/** A caller of the fuzz. */
export interface FuzzClient {
  readonly write: (kind: string, isKeyed: boolean) => void;
  /** Sends the last keyed write that has no known good end again. */
  readonly repeatKeyed: () => void;
  readonly read: (kind: string) => void;
  /** Runs a transaction; `thinkMs` pass before each further statement. */
  readonly runTx: (
    count: number,
    end: 'COMMIT' | 'ROLLBACK',
    thinkMs: number,
  ) => void;
  /** Goes on at another host, with its session where it carries one. */
  readonly roam: (host: HostId) => void;
  readonly close: () => void;
  readonly waiting: () => number;
  /** Whether the last read was answered with rows. */
  readonly hasRead: () => boolean;
  readonly isOpen: () => boolean;
}

/** Kinds whose unkeyed writes may be repeated. */
const REPEATABLE_KINDS: ReadonlySet<string> = new Set(['approval']);
/** Statements that a client has in progress at most. */
const MAX_WAITING = 4;
const LOST_WRITE = 9103;
const NOT_RUN_ERRNOS: ReadonlySet<number> = new Set([9101, 9103, 9104, 9105]);
const UNKNOWN_ERRNO = 9102;

function readTold(answer: CallerAnswer): Told {
  const errno = readErrno(answer);
  if (answer.reply === null || errno === UNKNOWN_ERRNO) {
    return 'unknown';
  }
  if (errno === null) {
    return 'done';
  }
  return NOT_RUN_ERRNOS.has(errno) ? 'not_run' : 'failed';
}

function describe(answer: CallerAnswer): string {
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
  /** The connection that this client closes itself. */
  let closing: FakeCaller | null = null;
  let host = site.hostIds[0]!;
  /** Rows that the session must see. */
  let required = new Set<string>();
  /** Of these, rows whose position only the entry hosts keep. */
  let kept = new Set<string>();
  let token: {value: string; covers: ReadonlySet<string>} | null = null;
  /** Counts sessions and losses told; older reads prove nothing then. */
  let epoch = 0;
  let serial = 0;
  let waiting = 0;
  let isInTx = false;
  let hasRead = false;
  const keyed: {readonly id: string; readonly sql: string}[] = [];

  const open = (): FakeCaller | null => {
    if (caller?.isOpen()) {
      return caller;
    }
    if (site.hosts.get(host)!.process.isDead()) {
      return null;
    }
    const session = mode === 'named' ? prefix : token?.value;
    epoch++;
    if (mode === 'named') {
      kept = new Set(required);
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
    closing = current;
    current?.close();
  };

  /** Fails where a living host closed a connection that was in use. */
  const checkCut = (used: FakeCaller, what: string): void => {
    if (used !== closing && !used.host.process.isDead()) {
      oracle.fail(`${prefix} was cut off by ${used.host.node.id} ${what}`);
    }
  };

  const send = (sql: string, then: (answer: CallerAnswer) => void): void => {
    const current = open();
    if (current === null) {
      return;
    }
    // A paused host may have decided to close before it sees the statement.
    const isSeen = current.isOpen() && !current.host.process.isPaused();
    waiting++;
    log(`${prefix}@${host} sends ${sql}`);
    current.send(sql, answer => {
      waiting--;
      log(`${prefix}@${host} hears ${describe(answer)} to ${sql}`);
      if (answer.reply === null && isSeen) {
        checkCut(current, `during ${sql}`);
      }
      if (readErrno(answer) === LOST_WRITE) {
        epoch++;
        required.clear();
        kept.clear();
        token = null;
      }
      then(answer);
    });
  };

  const fetchToken = (): void => {
    if (mode !== 'token') {
      return;
    }
    const covers = new Set(required);
    const before = epoch;
    send('SELECT @@lacewingroad_session', answer => {
      const value = readAnswerRows(answer)?.[0]?.[0];
      if (value !== undefined && before === epoch) {
        token = {value, covers};
      }
    });
  };

  const require = (ids: readonly string[], sentEpoch: number): void => {
    if (sentEpoch === epoch) {
      ids.forEach(id => required.add(id));
      fetchToken();
    }
  };

  const checkOwn = (id: string, answer: CallerAnswer): void => {
    const {reply} = answer;
    const isOwn =
      reply?.type !== 'result' ||
      (reply.result.type === 'ok' && reply.result.insertId === id);
    if (!isOwn) {
      oracle.fail(`${prefix} got another statement's answer to ${id}`);
    }
  };

  const sendWrite = (id: string, sql: string, isOnce: boolean): void => {
    if (open() === null) {
      return;
    }
    oracle.begin(id, group, isOnce);
    const sentEpoch = epoch;
    send(sql, answer => {
      const told = readTold(answer);
      oracle.tell(id, told);
      checkOwn(id, answer);
      if (told === 'done') {
        require([id], sentEpoch);
      }
    });
  };

  const checkRead = (
    tag: string,
    must: readonly string[],
    answer: CallerAnswer,
  ): void => {
    const row = readAnswerRows(answer)?.[0];
    if (row === undefined) {
      return;
    }
    hasRead = true;
    if (row[0] !== tag) {
      oracle.fail(`${prefix} got the answer of ${row[0]} to ${tag}`);
    }
    const seen = new Set((row[1] ?? '').split(','));
    for (const id of must.filter(one => !seen.has(one))) {
      const isLost = oracle.isLost(id);
      if (!isLost || !kept.has(id)) {
        oracle.fail(
          `${prefix} (${mode}) read without its own ${id}${isLost ? ', which was lost without a word' : ''}`,
        );
      }
    }
  };

  const canSend = (): boolean => waiting < MAX_WAITING && !isInTx;

  return {
    close: () => closeCaller(caller),
    waiting: () => (caller?.isOpen() ? waiting : 0),
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
        ({id}) => !oracle.writes.get(id)?.told.includes('done'),
      );
      if (canSend() && last !== undefined) {
        sendWrite(last.id, last.sql, true);
      }
    },
    read: kind => {
      hasRead = false;
      if (!canSend() || open() === null) {
        return;
      }
      const tag = `${prefix}r${++serial}`;
      const must = [...required];
      const sentEpoch = epoch;
      send(formatSelect(tag, prefix, `/*kind='${kind}'*/ `), answer =>
        checkRead(tag, sentEpoch === epoch ? must : [], answer),
      );
    },
    runTx: (count, end, thinkMs) => {
      const used = waiting > 0 || isInTx ? null : open();
      if (used === null) {
        return;
      }
      isInTx = true;
      const ids: string[] = [];
      const tx = oracle.beginTx();
      const sentEpoch = epoch;
      const finish = (told: Told): void => {
        isInTx = false;
        ids.forEach(id => oracle.tell(id, told));
        if (told === 'done') {
          require(ids, sentEpoch);
        }
      };
      const giveUp = (answer: CallerAnswer): void => {
        // Without COMMIT nothing of it may run, whatever was heard.
        finish('not_run');
        if (answer.reply !== null) {
          send('ROLLBACK', () => undefined);
        }
      };
      const conclude = (): void => {
        if (end === 'COMMIT') {
          tx.commit();
        }
        send(end, answer =>
          finish(end === 'ROLLBACK' ? 'not_run' : readTold(answer)),
        );
      };
      /** Tells whether the connection of the transaction is still there. */
      const isStanding = (): boolean => {
        if (used.isOpen() && used === caller) {
          return true;
        }
        ids.forEach(id => oracle.tell(id, 'not_run'));
        if (used === caller) {
          isInTx = false;
        }
        if (!used.isOpen()) {
          checkCut(used, 'within a transaction');
        }
        return false;
      };
      const goOn = (): void => {
        if (!isStanding()) {
          return;
        }
        if (ids.length === count) {
          conclude();
          return;
        }
        const id = `${prefix}.${++serial}`;
        ids.push(id);
        tx.addRow(id);
        oracle.begin(id, group, true);
        send(formatInsert(id), next);
      };
      const next = (answer: CallerAnswer): void => {
        if (readTold(answer) !== 'done') {
          giveUp(answer);
          return;
        }
        if (thinkMs === 0) {
          goOn();
          return;
        }
        site.runtime.at(site.runtime.now() + thinkMs, goOn);
      };
      send("/*kind='payment'*/ BEGIN", next);
    },
    roam: to => {
      const old = caller;
      host = to;
      caller = null;
      closeCaller(old);
      isInTx = false;
      epoch++;
      open();
    },
  };
}
