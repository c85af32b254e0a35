/** External dependencies of the commands; tests pass fakes. */

import type {UpdateResult} from '@lacewingroad/core';
import type {Runtime} from '@lacewingroad/runtime';
import type {CliError} from './cli_error.js';
import type {Result} from './result.js';

/** An object of the platform. */
export interface StoredObject {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** The object API of the platform. */
export interface PlatformPort {
  /** Returns the object, or null when it does not exist. */
  readonly getObject: (
    key: string,
  ) => Promise<Result<StoredObject | null, CliError>>;
  /** Returns all objects whose key starts with `prefix`. */
  readonly listObjects: (
    prefix: string,
  ) => Promise<Result<readonly StoredObject[], CliError>>;
  /** Writes an object if its version is `baseVersion`; 0 means absent. */
  readonly putObject: (
    key: string,
    baseVersion: number,
    value: unknown,
  ) => Promise<UpdateResult>;
  /** Closes the connections. */
  readonly close: () => void;
}

/** The entry hosts' operator HTTP interface; addresses are `IP:PORT`. */
export interface OperatorPort {
  readonly get: (
    address: string,
    path: string,
  ) => Promise<Result<unknown, CliError>>;
  readonly post: (
    address: string,
    path: string,
    body: unknown,
  ) => Promise<Result<unknown, CliError>>;
}

/** Files on the local machine. */
export interface FilePort {
  /** Reads a whole file; `-` means standard input. */
  readonly read: (path: string) => Promise<Result<string, CliError>>;
  /** Creates a file; fails if it exists, as it may hold an unapplied edit. */
  readonly create: (
    path: string,
    text: string,
  ) => Promise<Result<null, CliError>>;
}

/** Programs of other packages that commands run. */
export interface ProgramPort {
  /** Runs an entry host until it stops; returns its exit code. */
  readonly runEntry: (settingsPath: string) => Promise<number>;
  /** Validates a settings file; returns a summary of it. */
  readonly checkSettings: (
    settingsPath: string,
  ) => Promise<Result<unknown, CliError>>;
  /** Runs an experiment file; loads the bench package on demand. */
  readonly runBench: (
    request: RunFileRequest,
    onProgress: (text: string) => void,
  ) => Promise<Result<RunFileResult, CliError>>;
}

/** Options of a bench run. */
interface RunFileRequest {
  readonly file: string;
  /** Output directory of the JSON result and the HTML report. */
  readonly out: string;
  /** Whether to measure also the cost of one hop, with real processes. */
  readonly withOverhead: boolean;
}

/** The result of a bench run, as text and as data. */
interface RunFileResult {
  readonly lines: readonly string[];
  readonly data: unknown;
}

/** All external dependencies of the commands. */
export interface CliContext {
  readonly runtime: Runtime;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Login name of the operator, used for edits without `--by`. */
  readonly userName: string;
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly files: FilePort;
  readonly openPlatform: (url: string) => PlatformPort;
  readonly operators: OperatorPort;
  readonly programs: ProgramPort;
}
