/**
 * The columns of an operator's table: their names in the file, the allowed
 * values and how a cell is parsed and formatted. The checks use them.
 */

import {z} from 'zod';
import {RANKS} from '../model/table.js';
import type {TableRow} from '../model/table.js';

/** The highest worth of a request. */
const MAX_WORTH = 1_000_000;
/** The longest target or timeout, in milliseconds: ten minutes. */
const MAX_WAIT_MS = 600_000;
/** The oldest data that a read may accept, in milliseconds: one day. */
const MAX_STALENESS_MS = 86_400_000;
/** The highest connection limit to one endpoint. */
const MAX_CONNECTIONS = 10_000;
const MAX_PERCENT = 100;
const KIND_PATTERN = /^(\*|[A-Za-z0-9_.-]{1,64})$/;
const WHOLE_NUMBER_PATTERN = /^-?\d{1,15}$/;
const BOOLEAN_WORDS: Readonly<Record<string, boolean>> = {
  yes: true,
  true: true,
  no: false,
  false: false,
};

/** One column of the table. */
export interface TableColumn {
  /** The name in the header of the file. */
  readonly column: string;
  readonly field: keyof TableRow;
  readonly schema: z.ZodType<string | number | boolean | null>;
  /** What a cell may hold, in words for operators. */
  readonly allowed: string;
  /** Converts a cell to a value; a cell that it cannot parse stays text. */
  readonly parse: (cell: string) => unknown;
}

function parseNumber(cell: string): unknown {
  return WHOLE_NUMBER_PATTERN.test(cell) ? Number(cell) : cell;
}

function parseWord(cell: string): unknown {
  return cell.toLowerCase();
}

function parseBoolean(cell: string): unknown {
  return BOOLEAN_WORDS[cell.toLowerCase()] ?? cell;
}

function numberColumn(
  column: string,
  field: keyof TableRow,
  min: number,
  max: number,
  unit: string,
): TableColumn {
  return {
    column,
    field,
    schema: z.number().int().min(min).max(max),
    allowed: `a whole number from ${min} to ${max}${unit}`,
    parse: parseNumber,
  };
}

/** All columns, in the order of the file. */
export const TABLE_COLUMNS: readonly TableColumn[] = [
  {
    column: 'kind',
    field: 'kind',
    schema: z.string().regex(KIND_PATTERN),
    allowed: '* or a name of 1 to 64 letters, digits, "_", "." and "-"',
    parse: cell => cell,
  },
  {
    column: 'rank',
    field: 'rank',
    schema: z.enum(RANKS),
    allowed: `one of ${RANKS.join(', ')}`,
    parse: parseWord,
  },
  numberColumn('worth', 'worth', 0, MAX_WORTH, ''),
  numberColumn('target_ms', 'targetMs', 1, MAX_WAIT_MS, ' (milliseconds)'),
  numberColumn('timeout_ms', 'timeoutMs', 1, MAX_WAIT_MS, ' (milliseconds)'),
  {
    column: 'max_staleness_ms',
    field: 'maxStalenessMs',
    schema: z.number().int().min(0).max(MAX_STALENESS_MS).nullable(),
    allowed: `a whole number from 0 to ${MAX_STALENESS_MS} (milliseconds; 0: reads go to the primary), or nothing (data of any age that includes the session's own writes)`,
    parse: cell => (cell === '' ? null : parseNumber(cell)),
  },
  numberColumn('connection_limit', 'connectionLimit', 1, MAX_CONNECTIONS, ''),
  numberColumn('floor_percent', 'floorPercent', 0, MAX_PERCENT, ' (percent)'),
  {
    column: 'may_repeat',
    field: 'mayRepeat',
    schema: z.boolean(),
    allowed: 'yes or no',
    parse: parseBoolean,
  },
  {
    column: 'ack',
    field: 'ack',
    schema: z.enum(['primary', 'replica']),
    allowed: 'primary or replica',
    parse: parseWord,
  },
];

/** Formats a value as a cell of the file. */
export function formatCell(value: string | number | boolean | null): string {
  if (value === null) {
    return '';
  }
  if (typeof value === 'boolean') {
    return value ? 'yes' : 'no';
  }
  return String(value);
}
