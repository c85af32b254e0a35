/** Errors and exit codes of the commands; every message names the remedy. */

/** The command succeeded. */
export const EXIT_OK = 0;
/** The command was refused, failed, or found a state other than expected. */
export const EXIT_FAILURE = 1;
/** The command line is invalid. */
export const EXIT_USAGE = 2;
/** The platform or the entry hosts did not answer. */
export const EXIT_UNREACHABLE = 3;

/** Why a command failed. */
export type CliErrorKind =
  | 'usage'
  /** A file cannot be accessed or has invalid content. */
  | 'invalid_input'
  /** The server refused the request. */
  | 'refused'
  /** Nothing was sent, or the server rejected the request unprocessed. */
  | 'unreachable'
  /** The request was sent, but it is unknown whether it took effect. */
  | 'no_answer';

/** The error that a command ended with. */
export interface CliError {
  readonly kind: CliErrorKind;
  /** Describes the problem and its remedy. */
  readonly message: string;
}

const EXIT_CODES: Readonly<Record<CliErrorKind, number>> = {
  usage: EXIT_USAGE,
  invalid_input: EXIT_FAILURE,
  refused: EXIT_FAILURE,
  unreachable: EXIT_UNREACHABLE,
  no_answer: EXIT_UNREACHABLE,
};

/** Returns the exit code for an error. */
export function getExitCode(err: CliError): number {
  return EXIT_CODES[err.kind];
}
