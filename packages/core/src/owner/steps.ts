/**
 * The statements that a job sends, as a table of steps. Each step defines its
 * statement, what follows its answer, and the outcome of the job if the
 * connection is lost before the answer.
 */

import sqlString from 'sqlstring';
import type {ConnAnswer} from '../engine/event.js';
import type {
  NotRunReason,
  OkResult,
  Outcome,
  Result,
  SqlError,
} from '../model/outcome.js';
import type {LogPosition} from '../model/position.js';
import type {Statement} from '../model/statement.js';
import type {Job, StepName} from './state.js';

/** MySQL error numbers that are handled specially. */
const ER_DUP_ENTRY = 1062;
const ER_LOCK_WAIT_TIMEOUT = 1205;
const ER_LOCK_DEADLOCK = 1213;
const ER_READ_ONLY = 1290;

/** Error of a keyed statement in a transaction if its key exists already. */
const KEY_ALREADY_RUN: SqlError = {
  errno: 9105,
  sqlState: 'LW005',
  message:
    'The request key has already run, so the transaction was rolled back. ' +
    'Read what the first run left, then send the transaction again without ' +
    'the statement of this key.',
};

/** Info text of the answer if the key of a request exists already. */
const ALREADY_RUN_INFO = 'lacewingroad: already run';

/** What to do with a connection at the end of a job. */
export type ConnUse =
  /** Free for other jobs. */
  | 'free'
  /** Free for other jobs after a ROLLBACK. */
  | 'unclean'
  /** Stays reserved for the transaction. */
  | 'pin'
  | 'close';

/** What to do after an answer. */
export type Next =
  | {
      readonly type: 'step';
      readonly step: StepName;
      readonly pending?: Outcome;
      readonly saved?: OkResult;
    }
  | {
      readonly type: 'end';
      readonly outcome: Outcome;
      readonly use: ConnUse;
    };

/** An answer other than an error. */
type ResultAnswer = Extract<ConnAnswer, {type: 'result'}>;

interface Step {
  readonly statement: (job: Job) => Statement;
  readonly onResult: (job: Job, answer: ResultAnswer) => Next;
  readonly onError: (job: Job, error: SqlError) => Next;
  /** Outcome if the connection is lost before the answer; ends the job. */
  readonly onConnLost: (job: Job) => Outcome;
}

/** Builds a `not_run` outcome. */
export function notRun(reason: NotRunReason): Outcome {
  return {type: 'not_run', reason};
}

/** Returns the first step of a job, after any check of its connection. */
export function findFirstStep(job: Job): StepName {
  if (job.msg.key === null || !job.msg.isWrite) {
    return 'statement';
  }
  if (job.msg.mode === 'in_tx') {
    return 'tx_key_insert';
  }
  return job.msg.mode === 'autocommit' ? 'key_begin' : 'statement';
}

const CONNECTION_LOST: Outcome = {type: 'unknown', reason: 'connection_lost'};

function createStatement(sql: string): Statement {
  return {sql, params: null};
}

function toStep(step: StepName): Next {
  return {type: 'step', step};
}

function rollBack(pending: Outcome): Next {
  return {type: 'step', step: 'key_rollback', pending};
}

function failed(error: SqlError): Outcome {
  return {type: 'failed', error};
}

/** Returns the outcome of an error; a read-only endpoint ran no write. */
function explainError(job: Job, error: SqlError): Outcome {
  return job.msg.isWrite && error.errno === ER_READ_ONLY
    ? notRun('not_primary')
    : failed(error);
}

function toOkResult(result: Result): OkResult {
  return result.type === 'ok'
    ? result
    : {type: 'ok', affectedRows: 0, insertId: '0', info: ''};
}

function readCells(result: Result): readonly string[] | null {
  const row = result.type === 'rows' ? result.rows[0] : undefined;
  if (row === undefined) {
    return null;
  }
  return row.map(cell => (cell === null ? '' : Buffer.from(cell).toString()));
}

function readPosition(result: Result): LogPosition | null {
  const cells = readCells(result);
  const term = Number(cells?.[1]);
  const index = Number(cells?.[2]);
  return Number.isInteger(term) && Number.isInteger(index)
    ? {term, index}
    : null;
}

function done(answer: ResultAnswer): Outcome {
  const {result, position, inTx} = answer;
  return {type: 'done', result, position, inTx};
}

/** Returns whether the job may leave a transaction open. */
function keepsTx(job: Job): boolean {
  return job.msg.mode === 'begin' || job.msg.mode === 'in_tx';
}

function insertKey(job: Job): Statement {
  return createStatement(
    sqlString.format(
      "INSERT INTO lacewingroad_requests (request_key, affected_rows, insert_id) VALUES (?, 0, '0')",
      [job.msg.key],
    ),
  );
}

function onStatementError(job: Job, error: SqlError): Next {
  const outcome = explainError(job, error);
  const {mode} = job.msg;
  if (mode === 'autocommit') {
    return {type: 'end', outcome, use: 'unclean'};
  }
  if (mode === 'in_tx' && error.errno !== ER_LOCK_DEADLOCK) {
    return {type: 'end', outcome, use: 'pin'};
  }
  return {type: 'end', outcome, use: 'close'};
}

function onStatementLost(job: Job): Outcome {
  const outcomeByMode: Readonly<Record<typeof job.msg.mode, Outcome>> = {
    autocommit: CONNECTION_LOST,
    begin: notRun('endpoint_down'),
    in_tx: notRun('tx_gone'),
    commit: CONNECTION_LOST,
    rollback: notRun('tx_gone'),
  };
  return outcomeByMode[job.msg.mode];
}

function onKeyInsertError(job: Job, error: SqlError): Next {
  if (error.errno === ER_DUP_ENTRY) {
    return toStep('key_rollback');
  }
  if (error.errno === ER_LOCK_WAIT_TIMEOUT) {
    return rollBack(notRun('too_late'));
  }
  return rollBack(explainError(job, error));
}

function onTxKeyInsertError(job: Job, error: SqlError): Next {
  if (error.errno === ER_DUP_ENTRY) {
    return {
      type: 'step',
      step: 'tx_rollback',
      pending: failed(KEY_ALREADY_RUN),
    };
  }
  if (error.errno === ER_LOCK_WAIT_TIMEOUT) {
    return {type: 'step', step: 'tx_rollback', pending: notRun('tx_gone')};
  }
  return onStatementError(job, error);
}

function onLookup(_job: Job, answer: ResultAnswer): Next {
  const cells = readCells(answer.result);
  if (cells === null) {
    return {type: 'end', outcome: notRun('too_late'), use: 'free'};
  }
  const saved: OkResult = {
    type: 'ok',
    affectedRows: Number(cells[0]),
    insertId: cells[1] ?? '0',
    info: ALREADY_RUN_INFO,
  };
  return {type: 'step', step: 'key_status', saved};
}

function endSaved(job: Job, position: LogPosition | null): Next {
  const result = job.saved ?? toOkResult({type: 'rows', columns: [], rows: []});
  return {
    type: 'end',
    outcome: {type: 'done', result, position, inTx: false},
    use: 'free',
  };
}

/** Closes the connection after an unexpected error; the outcome is unknown. */
function endUnknown(): Next {
  return {type: 'end', outcome: CONNECTION_LOST, use: 'close'};
}

/** All steps by name. */
export const STEPS: Readonly<Record<StepName, Step>> = {
  check: {
    statement: () => createStatement('DO 1'),
    onResult: job => toStep(findFirstStep(job)),
    onError: () => endUnknown(),
    onConnLost: () => notRun('endpoint_down'),
  },
  statement: {
    statement: job => job.msg.statement,
    onResult: (job, answer) => ({
      type: 'end',
      outcome: done(answer),
      use: answer.inTx && keepsTx(job) ? 'pin' : 'free',
    }),
    onError: onStatementError,
    onConnLost: onStatementLost,
  },
  key_begin: {
    statement: () => createStatement('BEGIN'),
    onResult: () => toStep('key_insert'),
    onError: (_job, error) => rollBack(failed(error)),
    onConnLost: () => notRun('endpoint_down'),
  },
  key_insert: {
    statement: insertKey,
    onResult: () => toStep('key_statement'),
    onError: onKeyInsertError,
    onConnLost: () => notRun('endpoint_down'),
  },
  key_statement: {
    statement: job => job.msg.statement,
    onResult: (_job, answer) => ({
      type: 'step',
      step: 'key_update',
      saved: toOkResult(answer.result),
    }),
    onError: (job, error) => rollBack(explainError(job, error)),
    onConnLost: () => CONNECTION_LOST,
  },
  key_update: {
    statement: job =>
      createStatement(
        sqlString.format(
          'UPDATE lacewingroad_requests SET affected_rows = ?, insert_id = ? WHERE request_key = ?',
          [
            job.saved?.affectedRows ?? 0,
            job.saved?.insertId ?? '0',
            job.msg.key,
          ],
        ),
      ),
    onResult: () => toStep('key_commit'),
    onError: (job, error) => rollBack(explainError(job, error)),
    onConnLost: () => CONNECTION_LOST,
  },
  key_commit: {
    statement: () => createStatement('COMMIT'),
    onResult: (job, answer) => endSaved(job, answer.position),
    onError: (job, error) => ({
      type: 'end',
      outcome: explainError(job, error),
      use: 'close',
    }),
    onConnLost: () => CONNECTION_LOST,
  },
  key_rollback: {
    statement: () => createStatement('ROLLBACK'),
    onResult: job =>
      job.pending === null
        ? toStep('key_lookup')
        : {type: 'end', outcome: job.pending, use: 'free'},
    onError: job => ({
      type: 'end',
      outcome: job.pending ?? CONNECTION_LOST,
      use: 'close',
    }),
    onConnLost: job => job.pending ?? CONNECTION_LOST,
  },
  key_lookup: {
    statement: job =>
      createStatement(
        sqlString.format(
          'SELECT affected_rows, insert_id FROM lacewingroad_requests WHERE request_key = ?',
          [job.msg.key],
        ),
      ),
    onResult: onLookup,
    onError: () => endUnknown(),
    onConnLost: () => CONNECTION_LOST,
  },
  key_status: {
    statement: () =>
      createStatement('SELECT @@ledger_role, @@ledger_term, @@ledger_index'),
    onResult: (job, answer) => endSaved(job, readPosition(answer.result)),
    onError: () => endUnknown(),
    onConnLost: () => CONNECTION_LOST,
  },
  tx_key_insert: {
    statement: insertKey,
    onResult: () => toStep('statement'),
    onError: onTxKeyInsertError,
    onConnLost: () => notRun('tx_gone'),
  },
  tx_rollback: {
    statement: () => createStatement('ROLLBACK'),
    onResult: job => ({
      type: 'end',
      outcome: job.pending ?? notRun('tx_gone'),
      use: 'free',
    }),
    onError: job => ({
      type: 'end',
      outcome: job.pending ?? notRun('tx_gone'),
      use: 'close',
    }),
    onConnLost: job => job.pending ?? notRun('tx_gone'),
  },
};
