/** Statements of callers, and what a pool sends to an endpoint. */

import type {LogPosition} from '@lacewingroad/core';

/** Whether a statement only reads. */
export type Access = 'read' | 'write';

/** A statement of a caller, already classified. */
export type CallerStatement =
  | {readonly type: 'begin'; readonly readOnly: boolean}
  | {readonly type: 'commit'}
  | {readonly type: 'rollback'}
  /** `text` goes to the endpoint unchanged. */
  | {readonly type: 'run'; readonly access: Access; readonly text: string}
  | {readonly type: 'set'; readonly name: string; readonly value: string}
  | {
      readonly type: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  /** `args` go to the endpoint unchanged, under another prepared name. */
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

/** What a pool sends over a connection to an endpoint. */
export type EndpointCommand =
  | Extract<
      CallerStatement,
      {type: 'begin' | 'commit' | 'rollback' | 'set' | 'prepare'}
    >
  | DataStatement
  /** Clears the values and prepared statements of the connection. */
  | {readonly type: 'reset'}
  | {readonly type: 'status'}
  /** Makes a primary of a lower term a replica. */
  | {readonly type: 'step_down'; readonly term: number};

/** State of a connection to an endpoint after an answer. */
export type TxState = 'idle' | 'open' | 'failed';

/** Why an endpoint did not run or finish a command. */
export type EndpointFault =
  /** These four mean that nothing ran. */
  | 'busy'
  | 'not_prepared'
  | 'lagging'
  | 'read_only'
  /** These mean that it ran. */
  | 'failed'
  | 'timed_out'
  /** The address belongs to another endpoint. */
  | 'moved'
  | 'too_many_connections'
  | 'aborted'
  | 'other';

/** The answer to one statement or command. */
export type StatementReply<Fault extends string> =
  | {
      readonly type: 'done';
      readonly rows: readonly string[];
      /** Proof that an endpoint ran it; `-` where none gave any. */
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

/** An endpoint's answer to one command. */
export type EndpointReply = StatementReply<EndpointFault>;

/** What an endpoint states of itself. */
export interface EndpointStatus {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  /** The last position received; it may not be applied yet. */
  readonly received: LogPosition;
  readonly lagMs: number;
}

/** The session state that a statement needs on its connection. */
export interface SessionState {
  readonly values: readonly (readonly [name: string, value: string])[];
}
