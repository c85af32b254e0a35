/**
 * Classifies statements by their effects, which decide whether they can be
 * retried.
 */

import type {PoolStatement, TxRef} from '../model/message.js';

/** A statement and its transaction, if any, at an entry host or at a pool. */
interface StatementInTx {
  readonly statement: PoolStatement;
  readonly tx: TxRef | null;
}

/** Returns whether a statement may change data. */
export function isWrite({statement}: StatementInTx): boolean {
  return statement.type !== 'commit' && statement.access === 'write';
}

/**
 * Returns whether a statement may commit data. If it was sent and its reply is
 * missing, its outcome is unknown.
 */
export function isCommitting(statementInTx: StatementInTx): boolean {
  const {statement, tx} = statementInTx;
  return statement.type === 'commit' || (tx === null && isWrite(statementInTx));
}

/** Returns whether a statement has no lasting effect and may be run again. */
export function isRetryable(statementInTx: StatementInTx): boolean {
  return statementInTx.tx === null && !isCommitting(statementInTx);
}

/** Returns whether a statement, or the transaction it belongs to, only reads. */
export function isReadOnly(statementInTx: StatementInTx): boolean {
  return statementInTx.tx === null
    ? !isWrite(statementInTx)
    : statementInTx.tx.readOnly;
}
