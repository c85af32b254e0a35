/** Formats columns, durations and timestamps for people. */

const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 3_600_000;
const MS_PER_DAY = 86_400_000;
const COLUMN_GAP = '  ';

/** Returns lines with the rows aligned in columns below their headings. */
export function alignColumns(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): readonly string[] {
  const all = [headings, ...rows];
  const widths = headings.map((_, i) =>
    Math.max(...all.map(row => (row[i] ?? '').length)),
  );
  return all.map(row =>
    headings
      .map((_, i) => (row[i] ?? '').padEnd(widths[i] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}

/** Formats a duration, for instance `2 h 3 min` or `0.4 s`. */
export function formatSpan(ms: number): string {
  if (ms < MS_PER_MINUTE) {
    return `${(ms / MS_PER_SECOND).toFixed(1)} s`;
  }
  if (ms < MS_PER_HOUR) {
    return `${Math.floor(ms / MS_PER_MINUTE)} min`;
  }
  if (ms < MS_PER_DAY) {
    const minutes = Math.floor((ms % MS_PER_HOUR) / MS_PER_MINUTE);
    return `${Math.floor(ms / MS_PER_HOUR)} h ${minutes} min`;
  }
  const hours = Math.floor((ms % MS_PER_DAY) / MS_PER_HOUR);
  return `${Math.floor(ms / MS_PER_DAY)} d ${hours} h`;
}

/** Formats a wall-clock timestamp in UTC, to the second. */
export function formatWallTime(wallMs: number): string {
  return `${new Date(wallMs).toISOString().slice(0, 19).replace('T', ' ')} UTC`;
}
