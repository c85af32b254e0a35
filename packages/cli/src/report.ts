/** The output of a command, as text and as JSON. */

/** The exit code and output of a command. */
export interface Report {
  readonly exitCode: number;
  /** Lines of text for people. */
  readonly lines: readonly string[];
  /** The same content for programs, printed with `--json`. */
  readonly data: unknown;
}
