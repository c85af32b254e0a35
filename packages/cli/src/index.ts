/** The command line of lacewingroad. */

export {runCli} from './cli.js';
export type {CliError, CliErrorKind} from './cli_error.js';
export type {
  CliContext,
  FilePort,
  OperatorPort,
  PlatformPort,
  ProgramPort,
  StoredObject,
} from './ports.js';
export {formatTableFile, readTableFile} from './table_file.js';
export type {TableFile, TableFileBase} from './table_file.js';
