/** A fake caller: a connection to an entry host, and its answers. */

import type {ParamValue, Reply} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import type {FakeHost} from './host.js';
import {readRows} from './statements.js';

/** How a caller connects. */
export interface CallerOptions {
  readonly service: string;
  readonly user?: string;
  /** Session token or name of the connection attribute. */
  readonly session?: string;
  readonly attributes?: Readonly<Record<string, string>>;
}

/** The end of a statement; `reply` is null when the connection ended. */
export interface CallerAnswer {
  readonly seq: number;
  readonly sql: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  readonly reply: Reply | null;
}

/** A caller. */
export interface FakeCaller {
  readonly host: FakeHost;
  readonly isOpen: () => boolean;
  /** Replies that came without a statement that waited for them. */
  readonly strayReplies: () => number;
  /** Sends; `onAnswer` is called exactly once, also while others wait. */
  readonly send: (
    sql: string,
    onAnswer: (answer: CallerAnswer) => void,
    params?: readonly ParamValue[] | null,
  ) => void;
  /** Sends; run the clock for the promise to resolve. */
  readonly ask: (sql: string) => Promise<CallerAnswer>;
  readonly close: () => void;
}

interface Waiting {
  readonly sql: string;
  readonly sentAt: number;
  readonly onAnswer: (answer: CallerAnswer) => void;
}

/** Connects a caller to a host; at a dead one it is closed at once. */
export function openFakeCaller(
  host: FakeHost,
  runtime: Runtime,
  options: CallerOptions,
): FakeCaller {
  const waiting = new Map<number, Waiting>();
  let isOpen = !host.process.isDead();
  let seq = 0;
  let strayReplies = 0;

  const finish = (id: number, reply: Reply | null): void => {
    const statement = waiting.get(id);
    if (statement === undefined) {
      strayReplies++;
      return;
    }
    waiting.delete(id);
    const {sql, sentAt, onAnswer} = statement;
    onAnswer({seq: id, sql, sentAt, answeredAt: runtime.now(), reply});
  };

  const end = (): void => {
    isOpen = false;
    [...waiting.keys()].forEach(id => finish(id, null));
  };

  const {session, attributes = {}} = options;
  const caller = isOpen
    ? host.openCaller(
        {onReply: finish, onClosed: end},
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
    waiting.set(id, {sql, sentAt: runtime.now(), onAnswer});
    if (!isOpen) {
      finish(id, null);
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
        end();
      }
    },
  };
}

/** Returns the error number of an answer, or null where there is none. */
export function readErrno(answer: CallerAnswer): number | null {
  return answer.reply?.type === 'error' ? answer.reply.error.errno : null;
}

/** Returns the rows of an answer as text, or null where there are none. */
export function readAnswerRows(
  answer: CallerAnswer,
): readonly (readonly string[])[] | null {
  const {reply} = answer;
  return reply?.type === 'result' && reply.result.type === 'rows'
    ? readRows(reply.result)
    : null;
}
