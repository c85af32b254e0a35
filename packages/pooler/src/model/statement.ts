/** Statements of callers, and the commands that a pool sends to endpoints. */

import type {LogPosition} from '@lacewingroad/core';

/** Whether a statement only reads. */
export type Access = 'read' | 'write';

/** A classified statement of a caller. */
export type CallerStatement =
  | {readonly type: 'begin'; readonly readOnly: boolean}
  | {readonly type: 'commit'}
  | {readonly type: 'rollback'}
  /** `text` is sent to the endpoint unchanged. */
  | {readonly type: 'run'; readonly access: Access; readonly text: string}
  | {readonly type: 'set'; readonly name: string; readonly value: string}
  | {
      readonly type: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  /** `args` are sent unchanged, but under another prepared-statement name. */
  | {readonly type: 'execute'; readonly name: string; readonly args: string}
  | {readonly type: 'deallocate'; readonly name: string}
  /** Not a statement of the protocol. */
  | {readonly type: 'invalid'};

/** A statement that reads or writes data. */
export type DataStatement =
  | Extract<CallerStatement, {type: 'run'}>
  | (Extract<CallerStatement, {type: 'execute'}> & {
      readonly access: Access;
      readonly shape: string;
    });

/** A command that a pool sends over a connection to an endpoint. */
export type EndpointCommand =
  | Extract<
      CallerStatement,
      {type: 'begin' | 'commit' | 'rollback' | 'set' | 'prepare'}
    >
  | DataStatement
  /** Clears the session values and prepared statements of the connection. */
  | {readonly type: 'reset'}
  | {readonly type: 'status'}
  /** Demotes a primary of a lower term to a replica. */
  | {readonly type: 'step_down'; readonly term: number};

/** State of the transaction on a connection after a reply. */
export type TxState = 'idle' | 'open' | 'failed';

/** Why an endpoint did not run or finish a command. */
export type EndpointFault =
  /** `busy` to `read_only`: nothing was run. */
  | 'busy'
  | 'not_prepared'
  | 'lagging'
  | 'read_only'
  /** `failed` and `timed_out`: the command was run. */
  | 'failed'
  | 'timed_out'
  /** The address belongs to another endpoint. */
  | 'moved'
  | 'too_many_connections'
  | 'aborted'
  | 'other';

/** The reply to one statement or command. */
export type StatementReply<Fault extends string> =
  | {
      readonly type: 'done';
      readonly rows: readonly string[];
      /** An endpoint's proof that it ran the statement; `-` for none. */
      readonly signature: string;
      readonly state: TxState;
      readonly position: LogPosition | null;
    }
  | {
      readonly type: 'error';
      readonly fault: Fault;
      readonly text: string;
      readonly state: TxState;
      readonly position: LogPosition | null;
    };

/** An endpoint's reply to one command. */
export type EndpointReply = StatementReply<EndpointFault>;

/** The status that an endpoint reports. */
export interface EndpointStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  /** The last log position received; it may not be applied yet. */
  readonly received: LogPosition;
  readonly lagMs: number;
}

/** Session state that must be set on the connection that runs a statement. */
export interface SessionState {
  readonly values: readonly (readonly [name: string, value: string])[];
}
