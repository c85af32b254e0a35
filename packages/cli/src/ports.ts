/** What the commands need from outside; tests hand in fakes. */

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
  /** Returns the object, or null when the platform holds none. */
  readonly getObject: (
    key: string,
  ) => Promise<Result<StoredObject | null, CliError>>;
  /** Returns all objects whose key begins with `prefix`. */
  readonly listObjects: (
    prefix: string,
  ) => Promise<Result<readonly StoredObject[], CliError>>;
  /** Writes an object if it stands at `baseVersion`; 0 means absent. */
  readonly putObject: (
    key: string,
    baseVersion: number,
    value: unknown,
  ) => Promise<UpdateResult>;
  /** Releases the connections. */
  readonly close: () => void;
}

/** The operator HTTP of entry hosts; addresses are `IP:PORT`. */
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

/** The files of the operator's computer. */
export interface FilePort {
  /** Reads a file whole; `-` is the standard input. */
  readonly read: (path: string) => Promise<Result<string, CliError>>;
  /** Creates a file; refuses to replace one, which may hold an edit. */
  readonly create: (
    path: string,
    text: string,
  ) => Promise<Result<null, CliError>>;
}

/** The programs of other packages that commands start. */
export interface ProgramPort {
  /** Runs an entry host until it stopped; returns its exit code. */
  readonly runEntry: (settingsPath: string) => Promise<number>;
  /** Checks a settings file; returns what it holds. */
  readonly checkSettings: (
    settingsPath: string,
  ) => Promise<Result<unknown, CliError>>;
  /** Runs an experiment of the bench; loads the bench only now. */
  readonly runBench: (
    request: BenchRequest,
    onProgress: (text: string) => void,
  ) => Promise<Result<BenchAnswer, CliError>>;
}

/** What the bench is asked for. */
interface BenchRequest {
  readonly file: string;
  /** Directory of the JSON result and the HTML report. */
  readonly out: string;
  /** Whether the cost of one hop is measured too, with real processes. */
  readonly withOverhead: boolean;
}

/** What the bench found. */
interface BenchAnswer {
  readonly lines: readonly string[];
  readonly data: unknown;
}

/** Everything from outside. */
export interface CliContext {
  readonly runtime: Runtime;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Name of the operator, for edits without `--by`. */
  readonly userName: string;
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly files: FilePort;
  readonly openPlatform: (url: string) => PlatformPort;
  readonly operators: OperatorPort;
  readonly programs: ProgramPort;
}
