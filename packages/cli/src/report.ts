/** What a command reports, for people and as JSON. */

/** The end of a command. */
export interface Report {
  readonly exitCode: number;
  /** For people. */
  readonly lines: readonly string[];
  /** The same for programs, printed with `--json`. */
  readonly data: unknown;
}
