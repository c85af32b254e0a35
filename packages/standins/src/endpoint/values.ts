/** SQL values, column kinds and errors of the simulated endpoint. */

/** A value of a column; null is SQL NULL. */
export type SqlValue = string | number | bigint | Buffer | null;

/** Column type numbers of the MySQL protocol. */
export const COLUMN_TYPES = {
  double: 5,
  bigint: 8,
  blob: 252,
  string: 253,
} as const;

/** Value type of a column. */
export type ColumnKind = keyof typeof COLUMN_TYPES;

/** A column of a table or of a result. */
export interface ColumnDef {
  readonly name: string;
  readonly kind: ColumnKind;
  readonly table: string;
  readonly isAutoIncrement: boolean;
}

/** An error that is sent to the client. */
export class LedgerError extends Error {
  constructor(
    readonly errno: number,
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
  }
}

/** Factories for errors with the numbers of MySQL. */
export const LEDGER_ERRORS = {
  syntax: (detail: string) =>
    new LedgerError(
      1064,
      '42000',
      `You have an error in your SQL syntax: ${detail}`,
    ),
  noTable: (name: string) =>
    new LedgerError(1146, '42S02', `Table '${name}' doesn't exist`),
  tableExists: (name: string) =>
    new LedgerError(1050, '42S01', `Table '${name}' already exists`),
  noColumn: (name: string) =>
    new LedgerError(1054, '42S22', `Unknown column '${name}'`),
  duplicate: (value: string, key: string) =>
    new LedgerError(
      1062,
      '23000',
      `Duplicate entry '${value}' for key '${key}'`,
    ),
  unknownThread: (id: number) =>
    new LedgerError(1094, 'HY000', `Unknown thread id: ${id}`),
  lockWait: () =>
    new LedgerError(
      1205,
      'HY000',
      'Lock wait timeout exceeded; try restarting transaction',
    ),
  readOnly: () =>
    new LedgerError(
      1290,
      'HY000',
      'The endpoint is a replica and runs no writes: send them to the primary',
    ),
  refused: (detail: string) => new LedgerError(1644, '45000', detail),
  tooManyConnections: () =>
    new LedgerError(1040, '08004', 'Too many connections'),
  unknownStatement: () =>
    new LedgerError(1243, 'HY000', 'Unknown prepared statement handler'),
} as const;

/** Returns whether two values are equal in SQL; NULL is equal to nothing. */
export function areEqual(a: SqlValue, b: SqlValue): boolean {
  return compareValues(a, b) === 0;
}

/**
 * Compares two values; returns null if either is NULL, which no comparison
 * matches.
 */
export function compareValues(a: SqlValue, b: SqlValue): number | null {
  if (a === null || b === null) {
    return null;
  }
  if (typeof a === 'string' && typeof b === 'string') {
    return a < b ? -1 : Number(a > b);
  }
  if (isNumeric(a) || isNumeric(b)) {
    const x = toNumeric(a);
    const y = toNumeric(b);
    return x < y ? -1 : Number(x > y);
  }
  return Buffer.compare(toBytes(a), toBytes(b));
}

function isNumeric(value: SqlValue): value is number | bigint {
  return typeof value === 'number' || typeof value === 'bigint';
}

/** Converts a value to a number, as MySQL does for comparisons. */
export function toNumeric(value: SqlValue): number | bigint {
  if (isNumeric(value)) {
    return value;
  }
  const text = value === null ? '0' : value.toString();
  if (/^-?\d{16,}$/.test(text)) {
    return BigInt(text);
  }
  const number = Number.parseFloat(text);
  return Number.isNaN(number) ? 0 : number;
}

/** Encodes a value for the text protocol. */
export function toBytes(value: Exclude<SqlValue, null>): Buffer {
  return Buffer.isBuffer(value) ? value : Buffer.from(value.toString(), 'utf8');
}

/** Converts a value to the type of its column. */
export function coerce(value: SqlValue, kind: ColumnKind): SqlValue {
  if (value === null) {
    return null;
  }
  return COERCERS[kind](value);
}

const COERCERS: Readonly<
  Record<ColumnKind, (value: Exclude<SqlValue, null>) => SqlValue>
> = {
  bigint: toNumeric,
  double: value => Number(toNumeric(value)),
  string: value => value.toString(),
  blob: toBytes,
};

/** Returns the column kind of a computed value. */
export function kindOf(value: SqlValue): ColumnKind {
  if (Buffer.isBuffer(value)) {
    return 'blob';
  }
  if (typeof value === 'bigint' || Number.isInteger(value)) {
    return 'bigint';
  }
  return typeof value === 'number' ? 'double' : 'string';
}

/**
 * Returns an index key that is the same for equal values, or null if any value
 * is NULL.
 */
export function indexKey(values: readonly SqlValue[]): string | null {
  if (values.includes(null)) {
    return null;
  }
  return values
    .map(value => toBytes(value!).toString('latin1'))
    .map(text => `${text.length}:${text}`)
    .join('');
}
