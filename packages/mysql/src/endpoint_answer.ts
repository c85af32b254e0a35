/** Collects an endpoint's answer to one statement. */

import type {
  CellValue,
  Column,
  ConnAnswer,
  LogPosition,
  OkResult,
  SqlError,
} from '@lacewingroad/core';
import {decodeBinaryCell} from './binary_value.js';
import type {Mysql2Error} from './conn_fault.js';
import {CELL_OVERHEAD_BYTES, MAX_RESULT_BYTES} from './limits.js';
import {ServerStatus} from './protocol.js';

const POSITION_PATTERN = /(?:^|\s)ledger-position=(\d+):(\d+)(?:\s|$)/;

/** Sent to callers whose result is larger than the maximum. */
const RESULT_TOO_LARGE: SqlError = {
  errno: 9104,
  sqlState: 'LW004',
  message: `The result exceeds ${MAX_RESULT_BYTES} bytes; read it in parts with LIMIT.`,
};

/** Used for errors of mysql2 itself, for instance too many parameters. */
const DEFAULT_ERROR = {errno: 1210, sqlState: 'HY000'} as const;

/** The object that mysql2 emits for an OK packet. */
export interface Mysql2Ok {
  readonly affectedRows: number | string;
  readonly insertId: number | string;
  readonly info: string;
}

/** A row as mysql2 emits it with `typeCast` off. */
export type Mysql2Row = readonly (Buffer | null)[];

/** Collects one answer; `isBinary` is true for prepared statements. */
export class AnswerCollector {
  private columns: readonly Column[] | null = null;
  private readonly rows: (readonly CellValue[])[] = [];
  private resultCount = 0;
  private rowsResultIndex = 0;
  private bytes = 0;
  private ok: Mysql2Ok | null = null;
  private error: SqlError | null = null;

  constructor(private readonly isBinary: boolean) {}

  /**
   * Adds the columns of the next result, undefined for an OK packet. Only the
   * first result set is kept.
   */
  addColumns(fields: readonly Column[] | undefined): void {
    const index = this.resultCount;
    this.resultCount += 1;
    if (fields !== undefined && this.columns === null) {
      this.columns = fields.map(copyColumn);
      this.rowsResultIndex = index;
    }
  }

  /** Adds a row of the result with number `index`, or an OK packet. */
  addResult(value: Mysql2Row | Mysql2Ok, index: number): void {
    if (!Array.isArray(value)) {
      this.ok = value as Mysql2Ok;
      return;
    }
    if (index === this.rowsResultIndex && this.error === null) {
      this.addRow(value as Mysql2Row);
    }
  }

  /** Adds an error of the endpoint or of mysql2; only the first is kept. */
  addError(err: Mysql2Error): void {
    this.error ??= {
      errno: err.errno ?? DEFAULT_ERROR.errno,
      sqlState: err.sqlState ?? DEFAULT_ERROR.sqlState,
      message: err.sqlMessage ?? err.message,
    };
  }

  /** Returns the answer; `status` holds the server's last status flags. */
  finish(status: number): ConnAnswer {
    if (this.error !== null) {
      return {type: 'error', error: this.error};
    }
    const inTx = (status & ServerStatus.IN_TRANS) !== 0;
    const position = parsePosition(this.ok?.info ?? '');
    if (this.columns !== null) {
      const {columns, rows} = this;
      return {
        type: 'result',
        result: {type: 'rows', columns, rows},
        position,
        inTx,
      };
    }
    return {type: 'result', result: toOkResult(this.ok), position, inTx};
  }

  private addRow(row: Mysql2Row): void {
    const columns = this.columns ?? [];
    const cells = this.isBinary
      ? row.map((cell, index) => decodeBinaryCell(cell, columns[index]!))
      : row;
    for (const cell of cells) {
      this.bytes += CELL_OVERHEAD_BYTES + (cell?.length ?? 0);
    }
    if (this.bytes > MAX_RESULT_BYTES) {
      this.rows.length = 0;
      this.error = RESULT_TOO_LARGE;
      return;
    }
    this.rows.push(cells);
  }
}

/** Parses the log position of a write in the info text of an OK packet. */
function parsePosition(info: string): LogPosition | null {
  const match = POSITION_PATTERN.exec(info);
  return match === null
    ? null
    : {term: Number(match[1]), index: Number(match[2])};
}

function toOkResult(ok: Mysql2Ok | null): OkResult {
  return {
    type: 'ok',
    affectedRows: Number(ok?.affectedRows ?? 0),
    insertId: BigInt.asUintN(64, BigInt(ok?.insertId ?? 0)).toString(),
    info: ok?.info ?? '',
  };
}

/** Copies a column definition of mysql2. */
function copyColumn(field: Column): Column {
  return {
    catalog: field.catalog,
    schema: field.schema,
    table: field.table,
    orgTable: field.orgTable,
    name: field.name,
    orgName: field.orgName,
    characterSet: field.characterSet,
    columnLength: field.columnLength,
    columnType: field.columnType,
    flags: field.flags,
    decimals: field.decimals,
  };
}
