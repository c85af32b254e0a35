/** Actions: side effects that the engine asks the adapters to perform. */

import type {
  CallerId,
  ConnId,
  EndpointId,
  HostId,
  Instant,
} from '../model/ids.js';
import type {PeerMessage} from '../model/message.js';
import type {Result, SqlError} from '../model/outcome.js';
import type {Statement} from '../model/statement.js';
import type {Event, TimerKey} from './event.js';

/** The answer to a caller's statement. */
export type Reply =
  | {
      readonly type: 'result';
      readonly result: Result;
      readonly inTx: boolean;
      readonly autocommit: boolean;
    }
  | {readonly type: 'error'; readonly error: SqlError; readonly inTx: boolean};

/** A field of a log event; scalars only, since an event is one log line. */
export type FieldValue = string | number | boolean | null;

/** A command that changes an endpoint's role. */
export type EndpointCommand =
  | {
      readonly type: 'promote';
      readonly term: number;
      /** Index of the last entry that precedes the term. */
      readonly startIndex: number;
    }
  | {
      readonly type: 'follow';
      readonly primary: EndpointId;
      readonly address: string;
      readonly port: number;
      readonly term: number;
      readonly startIndex: number;
    };

/** Every action. */
export type Action =
  /** Answers the caller's statement `seq`. */
  | {
      readonly type: 'reply';
      readonly caller: CallerId;
      readonly seq: number;
      readonly reply: Reply;
    }
  | {readonly type: 'close_caller'; readonly caller: CallerId}
  | {
      readonly type: 'open_conn';
      readonly endpoint: EndpointId;
      readonly address: string;
      readonly port: number;
      readonly conn: ConnId;
      readonly deadline: Instant;
    }
  /** Sends one statement; its answer repeats `step`. */
  | {
      readonly type: 'run_conn';
      readonly endpoint: EndpointId;
      readonly conn: ConnId;
      readonly step: number;
      readonly statement: Statement;
    }
  /** Closes at once, even while a statement runs; no event follows. */
  | {
      readonly type: 'close_conn';
      readonly endpoint: EndpointId;
      readonly conn: ConnId;
    }
  /** Asks an endpoint for its status over a separate connection. */
  | {
      readonly type: 'probe';
      readonly endpoint: EndpointId;
      readonly address: string;
      readonly port: number;
      readonly deadline: Instant;
    }
  | {
      readonly type: 'command_endpoint';
      readonly endpoint: EndpointId;
      readonly address: string;
      readonly port: number;
      readonly command: EndpointCommand;
      readonly deadline: Instant;
    }
  /** Sends a message to a host, over a new connection if necessary. */
  | {
      readonly type: 'send';
      readonly host: HostId;
      readonly msg: PeerMessage;
    }
  /** Reads the platform's changes since a revision. */
  | {
      readonly type: 'read_platform';
      readonly since: number;
      readonly deadline: Instant;
    }
  /** Replaces an object if its version is `baseVersion` (0: absent). */
  | {
      readonly type: 'update_platform';
      readonly key: string;
      readonly attempt: string;
      readonly baseVersion: number;
      readonly value: unknown;
      readonly deadline: Instant;
    }
  | {
      readonly type: 'set_timer';
      readonly at: Instant;
      readonly timer: TimerKey;
    }
  /** Handled by the engine: adds an event to the same dispatch. */
  | {readonly type: 'emit'; readonly event: Event}
  /** Writes one event to the log. */
  | {
      readonly type: 'record';
      readonly level: 'debug' | 'info' | 'warn' | 'error';
      readonly event: string;
      readonly fields: Readonly<Record<string, FieldValue>>;
    }
  /** Answers an operator's request. */
  | {
      readonly type: 'answer_operator';
      readonly ask: number;
      readonly ok: boolean;
      readonly detail: string;
    }
  /** The drain is complete; the process may exit. */
  | {readonly type: 'drained'};

/** The action of one type. */
export type ActionOf<T extends Action['type']> = Extract<Action, {type: T}>;
