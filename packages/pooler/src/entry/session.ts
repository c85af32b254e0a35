/** The state of callers' sessions, transactions and requests. */

import type {HostId, LogPosition} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {Route, WorkspaceId} from '../model/directory.js';
import type {PoolStatement, TxRef} from '../model/message.js';
import type {Access, CallerStatement} from '../model/statement.js';

/** A transaction of a caller. */
export interface CallerTx {
  readonly id: string;
  readonly workspace: WorkspaceId | null;
  readonly readOnly: boolean;
  readonly route: Route;
  readonly startedAt: Instant;
  /** Whether one of its statements was sent to a pool. */
  readonly isSentToPool: boolean;
  /** Lost or failed: only a commit or rollback is accepted. */
  readonly isFailed: boolean;
}

/** A received statement, with the id that the caller gave it. */
export interface ReceivedStatement {
  readonly request: string;
  readonly statement: CallerStatement;
  readonly receivedAt: Instant;
}

/** A connected caller. */
export interface Caller {
  readonly id: number;
  readonly database: string;
  /** Digest of the key that the caller connected with, or null. */
  readonly keyDigest: string | null;
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: ReadonlyMap<string, {access: Access; shape: string}>;
  readonly tx: CallerTx | null;
  /** The newest commit that was acknowledged to the session. */
  readonly position: LogPosition | null;
  readonly waiting: readonly ReceivedStatement[];
  /** The request for the statement in progress, or null. */
  readonly request: string | null;
  /** When the session was opened or its last statement was answered. */
  readonly idleSince: Instant;
  /** Whether its caller is to continue at another host. */
  readonly isLeaving: boolean;
  /** Whether this host has closed its connection. */
  readonly isClosing: boolean;
}

/** A statement that a pool has to run. */
export interface Request {
  readonly id: string;
  readonly caller: number;
  readonly callerRequest: string;
  readonly statement: PoolStatement;
  readonly tx: TxRef | null;
  readonly route: Route;
  readonly workspace: WorkspaceId | null;
  readonly receivedAt: Instant;
  readonly targetAt: Instant;
  readonly deadline: Instant;
  /** Version of the table by which the caller's key was accepted. */
  readonly tableVersion: number;
  /** The owner that it was sent to; null while it waits for an owner. */
  readonly sentTo: HostId | null;
  readonly attempts: number;
}

/** Most that a session may keep as values and prepared statements, in bytes. */
const MAX_KEPT_BYTES = 1_200_000;
/** Bytes that each of them costs beside its text. */
const KEPT_COST_BYTES = 100;

/** Returns the bytes of a session's values and prepared statements. */
export function countKeptBytes(caller: Caller | undefined): number {
  let bytes = 0;
  for (const [name, value] of caller?.values ?? []) {
    bytes += name.length + value.length + KEPT_COST_BYTES;
  }
  for (const [name, {shape}] of caller?.prepared ?? []) {
    bytes += name.length + shape.length + KEPT_COST_BYTES;
  }
  return bytes;
}

/** Returns whether a statement makes a session keep more than it may. */
export function exceedsKeptBytes(
  caller: Caller,
  statement: CallerStatement,
): boolean {
  if (statement.type !== 'set' && statement.type !== 'prepare') {
    return false;
  }
  const text = statement.type === 'set' ? statement.value : statement.shape;
  const added = statement.name.length + text.length + KEPT_COST_BYTES;
  return countKeptBytes(caller) + added > MAX_KEPT_BYTES;
}
