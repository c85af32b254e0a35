/** Errors of the commands; every message names the remedy. */

/** Exit codes of every command. */
export const EXIT_OK = 0;
/** The command worked, but things are not as wished. */
export const EXIT_NOT_AS_WISHED = 1;
/** The command line is wrong. */
export const EXIT_USAGE = 2;
/** The platform or the entry hosts could not be reached. */
export const EXIT_UNREACHABLE = 3;

/** What kept a command from its work. */
export type CliErrorKind =
  | 'usage'
  /** A file cannot be read, or its content has faults. */
  | 'invalid_input'
  /** The other side answered and refused. */
  | 'refused'
  /** Nothing was sent, or the other side refused it unseen. */
  | 'unreachable'
  /** The request was sent; whether it took effect is not known. */
  | 'no_answer';

/** An error of a command. */
export interface CliError {
  readonly kind: CliErrorKind;
  /** What is wrong and what to do about it. */
  readonly message: string;
}

const EXIT_CODES: Readonly<Record<CliErrorKind, number>> = {
  usage: EXIT_USAGE,
  invalid_input: EXIT_NOT_AS_WISHED,
  refused: EXIT_NOT_AS_WISHED,
  unreachable: EXIT_UNREACHABLE,
  no_answer: EXIT_UNREACHABLE,
};

/** Returns the exit code that reports an error. */
export function getExitCode(err: CliError): number {
  return EXIT_CODES[err.kind];
}
