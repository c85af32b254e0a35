/** Values of the stand-in ledger. */

/** A value of a cell; null is SQL NULL. */
export type SqlValue = string | number | bigint | Buffer | null;

/** Column types as the MySQL protocol numbers them. */
export const COLUMN_TYPES = {
  double: 5,
  bigint: 8,
  blob: 252,
  string: 253,
} as const;

/** Kind of the values of a column. */
export type ColumnKind = keyof typeof COLUMN_TYPES;

/** A column of a table or of a result. */
export interface ColumnDef {
  readonly name: string;
  readonly kind: ColumnKind;
  readonly table: string;
  readonly isAutoIncrement: boolean;
}

/** An error that the ledger answers with. */
export class LedgerError extends Error {
  constructor(
    readonly errno: number,
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
  }
}

/** Errors by name, as MySQL numbers them. */
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
  full: () => new LedgerError(1040, '08004', 'Too many connections'),
  badStatement: () =>
    new LedgerError(1243, 'HY000', 'Unknown prepared statement handler'),
} as const;

/** Tells whether two values are equal in SQL; NULL equals nothing. */
export function areEqual(a: SqlValue, b: SqlValue): boolean {
  return compareValues(a, b) === 0;
}

/** Orders two values; null when one is NULL, so that no order holds. */
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

/** Reads a value as a number, as MySQL does for comparisons. */
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

/** Brings a value into the type of its column. */
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

/** Tells the kind of a computed value. */
export function kindOf(value: SqlValue): ColumnKind {
  if (Buffer.isBuffer(value)) {
    return 'blob';
  }
  if (typeof value === 'bigint' || Number.isInteger(value)) {
    return 'bigint';
  }
  return typeof value === 'number' ? 'double' : 'string';
}

/** A text that equal values share, for indexes; null when a part is NULL. */
export function indexKey(values: readonly SqlValue[]): string | null {
  if (values.includes(null)) {
    return null;
  }
  return values
    .map(value => toBytes(value!).toString('latin1'))
    .map(text => `${text.length}:${text}`)
    .join('');
}
