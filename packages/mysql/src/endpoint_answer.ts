/** Collects what an endpoint answers to one statement. */

import type {
  CellValue,
  Column,
  ConnAnswer,
  LogPosition,
  OkResult,
  SqlError,
} from '@lacewingroad/core';
import {decodeBinaryCell} from './binary_value.js';
import type {LibraryError} from './conn_fault.js';
import {CELL_OVERHEAD_BYTES, MAX_RESULT_BYTES} from './limits.js';
import {ServerStatus} from './protocol.js';

const POSITION_PATTERN = /(?:^|\s)ledger-position=(\d+):(\d+)(?:\s|$)/;

/** Told to callers whose result is larger than the maximum. */
const RESULT_TOO_LARGE: SqlError = {
  errno: 9104,
  sqlState: 'LW004',
  message: `The result exceeds ${MAX_RESULT_BYTES} bytes; read it in parts with LIMIT.`,
};

/** An error of the library itself, for instance too many parameters. */
const LIBRARY_ERROR = {errno: 1210, sqlState: 'HY000'} as const;

/** What mysql2 emits for an OK packet. */
export interface LibraryOk {
  readonly affectedRows: number | string;
  readonly insertId: number | string;
  readonly info: string;
}

/** Rows as mysql2 gives them with typeCast off. */
export type LibraryRow = readonly (Buffer | null)[];

/** Collects one answer; `isBinary` for that of a prepared statement. */
export class AnswerCollector {
  private columns: readonly Column[] | null = null;
  private readonly rows: (readonly CellValue[])[] = [];
  private resultCount = 0;
  private rowsIndex = 0;
  private bytes = 0;
  private ok: LibraryOk | null = null;
  private error: SqlError | null = null;

  constructor(private readonly isBinary: boolean) {}

  /** Takes the columns of each result, none for an OK packet; only the first result set is kept. */
  addColumns(fields: readonly Column[] | undefined): void {
    const index = this.resultCount;
    this.resultCount += 1;
    if (fields !== undefined && this.columns === null) {
      this.columns = fields.map(copyColumn);
      this.rowsIndex = index;
    }
  }

  /** Takes a row of the result set `index`, or an OK packet. */
  addResult(value: LibraryRow | LibraryOk, index: number): void {
    if (!Array.isArray(value)) {
      this.ok = value as LibraryOk;
      return;
    }
    if (index === this.rowsIndex && this.error === null) {
      this.addRow(value as LibraryRow);
    }
  }

  /** Takes an error of the endpoint or of the library. */
  addError(err: LibraryError): void {
    this.error ??= {
      errno: err.errno ?? LIBRARY_ERROR.errno,
      sqlState: err.sqlState ?? LIBRARY_ERROR.sqlState,
      message: err.sqlMessage ?? err.message,
    };
  }

  /** Returns the whole answer; `status` are the server's last flags. */
  finish(status: number): ConnAnswer {
    if (this.error !== null) {
      return {type: 'error', error: this.error};
    }
    const inTx = (status & ServerStatus.IN_TRANS) !== 0;
    const position = readPosition(this.ok?.info ?? '');
    if (this.columns !== null) {
      const {columns, rows} = this;
      return {
        type: 'result',
        result: {type: 'rows', columns, rows},
        position,
        inTx,
      };
    }
    return {type: 'result', result: readOk(this.ok), position, inTx};
  }

  private addRow(row: LibraryRow): void {
    const columns = this.columns ?? [];
    const cells = this.isBinary
      ? row.map((cell, at) => decodeBinaryCell(cell, columns[at]!))
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

/** Reads the position of a write from the info text of an OK packet. */
function readPosition(info: string): LogPosition | null {
  const match = POSITION_PATTERN.exec(info);
  return match === null
    ? null
    : {term: Number(match[1]), index: Number(match[2])};
}

function readOk(ok: LibraryOk | null): OkResult {
  return {
    type: 'ok',
    affectedRows: Number(ok?.affectedRows ?? 0),
    insertId: BigInt.asUintN(64, BigInt(ok?.insertId ?? 0)).toString(),
    info: ok?.info ?? '',
  };
}

/** Copies a definition out of the library's object. */
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
