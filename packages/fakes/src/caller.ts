/** A simulated caller: a connection to an entry host, and its answers. */

import type {ParamValue, Reply} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import type {FakeHost} from './host.js';
import {readRows} from './statements.js';

/** Connection options of a caller. */
export interface CallerOptions {
  readonly service: string;
  readonly user?: string;
  /** Session token or session name, sent as a connection attribute. */
  readonly session?: string;
  readonly attributes?: Readonly<Record<string, string>>;
}

/** Answer to a statement; `reply` is null if the connection closed first. */
export interface CallerAnswer {
  readonly seq: number;
  readonly sql: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly reply: Reply | null;
}

/** A simulated caller. */
export interface FakeCaller {
  readonly host: FakeHost;
  readonly isOpen: () => boolean;
  /** Number of replies that matched no pending statement. */
  readonly strayReplies: () => number;
  /** Sends without waiting for earlier answers; calls `onAnswer` once. */
  readonly send: (
    sql: string,
    onAnswer: (answer: CallerAnswer) => void,
    params?: readonly ParamValue[] | null,
  ) => void;
  /** Sends a statement; run the virtual clock for the promise to resolve. */
  readonly ask: (sql: string) => Promise<CallerAnswer>;
  readonly close: () => void;
}

interface PendingStatement {
  readonly sql: string;
  readonly sentAt: number;
  readonly onAnswer: (answer: CallerAnswer) => void;
}

/** Connects a caller; the connection is closed at once if the host is dead. */
export function openFakeCaller(
  host: FakeHost,
  runtime: Runtime,
  options: CallerOptions,
): FakeCaller {
  const pending = new Map<number, PendingStatement>();
  let isOpen = !host.process.isDead();
  let seq = 0;
  let strayReplies = 0;

  const answerStatement = (id: number, reply: Reply | null): void => {
    const statement = pending.get(id);
    if (statement === undefined) {
      strayReplies++;
      return;
    }
    pending.delete(id);
    const {sql, sentAt, onAnswer} = statement;
    onAnswer({seq: id, sql, sentAt, answeredAt: runtime.now(), reply});
  };

  const handleClosed = (): void => {
    isOpen = false;
    [...pending.keys()].forEach(id => answerStatement(id, null));
  };

  const {session, attributes = {}} = options;
  const caller = isOpen
    ? host.openCaller(
        {onReply: answerStatement, onClosed: handleClosed},
        {
          user: options.user ?? 'app',
          service: options.service,
          attributes:
            session === undefined
              ? attributes
              : {...attributes, lacewingroad_session: session},
        },
      )
    : 0;

  const send: FakeCaller['send'] = (sql, onAnswer, params = null) => {
    const id = ++seq;
    pending.set(id, {sql, sentAt: runtime.now(), onAnswer});
    if (!isOpen) {
      answerStatement(id, null);
      return;
    }
    const statement = {sql, params};
    host.push({type: 'caller_statement', caller, seq: id, statement});
  };

  return {
    host,
    isOpen: () => isOpen,
    strayReplies: () => strayReplies,
    send,
    ask: sql => new Promise(resolve => send(sql, resolve)),
    close: () => {
      if (isOpen) {
        host.closeCaller(caller);
        handleClosed();
      }
    },
  };
}

/** Returns the error number of an answer, or null if it is not an error. */
export function readErrno(answer: CallerAnswer): number | null {
  return answer.reply?.type === 'error' ? answer.reply.error.errno : null;
}

/** Returns the rows of an answer as text, or null if it has no result set. */
export function readAnswerRows(
  answer: CallerAnswer,
): readonly (readonly string[])[] | null {
  const {reply} = answer;
  return reply?.type === 'result' && reply.result.type === 'rows'
    ? readRows(reply.result)
    : null;
}
