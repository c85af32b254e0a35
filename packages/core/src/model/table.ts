/** The table of a service, in which operators define its kinds of work. */

import type {GroupId, KindId, ServiceId} from './ids.js';

/** The ranks of work, most urgent first. */
export const RANKS = ['urgent', 'standard', 'background'] as const;

/** A rank of work. */
export type Rank = (typeof RANKS)[number];

/** When a write is acknowledged. */
export type AckMode = 'primary' | 'replica';

/** The row that applies to kinds of work without a specific row. */
export const DEFAULT_KIND: KindId = '*';

/** One row: how a kind of work is treated. */
export interface TableRow {
  readonly kind: KindId;
  readonly rank: Rank;
  /** Value of one request that is answered within its target time. */
  readonly worth: number;
  /** Time within which a request should be answered, in milliseconds. */
  readonly targetMs: number;
  /** Time after which a request is abandoned, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Maximum age of the data for a read, in milliseconds. 0: reads go to the
   * primary. Null: any age, but never older than the session's own writes.
   */
  readonly maxStalenessMs: number | null;
  /** Connections to one endpoint that the kind may hold at once. */
  readonly connectionLimit: number;
  /** Share of an endpoint's slots kept for the row's rank, in percent. */
  readonly floorPercent: number;
  /** Whether a write may be run again when its outcome is unknown. */
  readonly mayRepeat: boolean;
  /** `replica`: acknowledged once a replica has the write too. */
  readonly ack: AckMode;
}

/** A service's table as the platform holds it. */
export interface TableObject {
  readonly service: ServiceId;
  readonly group: GroupId;
  readonly rows: readonly TableRow[];
  /** Unique id of the last edit, by which its author recognises it. */
  readonly editId: string;
  readonly editedBy: string;
  readonly note: string;
  /** The latest edits, newest first, at most TABLE_HISTORY_LIMIT. */
  readonly history: readonly TableEdit[];
}

/** One accepted edit. */
export interface TableEdit {
  readonly version: number;
  readonly editId: string;
  readonly editedBy: string;
  readonly note: string;
  /** Wall clock of the author, milliseconds since the Unix epoch. */
  readonly at: number;
  readonly changes: readonly string[];
}

/** Number of edits that a table object keeps. */
export const TABLE_HISTORY_LIMIT = 100;

/** Row for work that no row matches: lowest rank, no repeats, no stale data. */
export const FALLBACK_ROW: TableRow = {
  kind: DEFAULT_KIND,
  rank: 'background',
  worth: 1,
  targetMs: 1_000,
  timeoutMs: 15_000,
  maxStalenessMs: 0,
  connectionLimit: 4,
  floorPercent: 0,
  mayRepeat: false,
  ack: 'primary',
};

/** Returns the row for a kind of work: its own, the `*` row, or a fallback. */
export function findRow(table: TableObject | null, kind: KindId): TableRow {
  const rows = table?.rows ?? [];
  return (
    rows.find(row => row.kind === kind) ??
    rows.find(row => row.kind === DEFAULT_KIND) ??
    FALLBACK_ROW
  );
}
