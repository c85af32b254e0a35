/** What a statement may leave behind, and so what may be done without its answer. */

import type {PoolStatement, TxRef} from '../model/message.js';

/** A statement and its transaction, at an entry host or at a pool. */
interface Effect {
  readonly statement: PoolStatement;
  readonly tx: TxRef | null;
}

/** Tells whether a statement may change data. */
function isWrite({statement}: Effect): boolean {
  return statement.type !== 'commit' && statement.access === 'write';
}

/**
 * Tells whether a statement may take effect for good: once it was sent and its
 * answer is missing, its outcome is unknown.
 */
export function isCommitting(effect: Effect): boolean {
  const {statement, tx} = effect;
  return statement.type === 'commit' || (tx === null && isWrite(effect));
}

/** Tells whether a statement may be run again: it leaves nothing behind. */
export function isRepeatable(effect: Effect): boolean {
  return effect.tx === null && !isCommitting(effect);
}

/** Tells whether a statement, or the transaction that it begins, only reads. */
export function isReading(effect: Effect): boolean {
  return effect.tx === null ? !isWrite(effect) : effect.tx.readOnly;
}
