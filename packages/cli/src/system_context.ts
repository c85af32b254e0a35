/** Connects the commands to the system, the network and other packages. */

import {readFile, writeFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import {text} from 'node:stream/consumers';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {loadSettings} from '@lacewingroad/settings';
import type {CliError} from './cli_error.js';
import {createHttpOperators} from './http_operator.js';
import {createPlatformPort} from './platform_port.js';
import type {CliContext, FilePort, ProgramPort} from './ports.js';
import {Err, Ok} from './result.js';

/** The path that denotes standard input. */
const STDIN_PATH = '-';

/** Creates the production context. */
export function createSystemContext(): CliContext {
  const runtime = createSystemRuntime();
  return {
    runtime,
    env: process.env,
    userName: readUserName(),
    print: text => {
      process.stdout.write(`${text}\n`);
    },
    printError: text => {
      process.stderr.write(`${text}\n`);
    },
    files: createFilePort(),
    openPlatform: url => createPlatformPort(runtime, url),
    operators: createHttpOperators(runtime),
    programs: createProgramPort(),
  };
}

function readUserName(): string {
  try {
    return userInfo().username;
  } catch {
    return 'unknown';
  }
}

function createFilePort(): FilePort {
  return {
    read: async path => {
      try {
        return Ok(
          path === STDIN_PATH
            ? await text(process.stdin)
            : await readFile(path, 'utf8'),
        );
      } catch (err) {
        return Err(describeFileError('read', path, err));
      }
    },
    create: async (path, text) => {
      try {
        await writeFile(path, text, {flag: 'wx'});
        return Ok(null);
      } catch (err) {
        return Err(describeFileError('create', path, err));
      }
    },
  };
}

function describeFileError(verb: string, path: string, err: unknown): CliError {
  const detail = err instanceof Error ? err.message : String(err);
  return {
    kind: 'invalid_input',
    message: `Cannot ${verb} ${path} (${detail}). Check the path and its permissions; existing files are never replaced.`,
  };
}

function createProgramPort(): ProgramPort {
  return {
    // Loaded on demand, so that the other commands start quickly.
    runEntry: async path => {
      const {runEntry} = await import('@lacewingroad/daemon');
      return runEntry(path);
    },
    checkSettings: async path =>
      loadSettings(path)
        .map(({host, dataCentre, address}) => ({host, dataCentre, address}))
        .mapErr(err => ({
          kind: 'invalid_input' as const,
          message: err.message,
        })),
    runBench: async (request, onProgress) => {
      const bench = await import('@lacewingroad/bench');
      try {
        return Ok(await bench.runExperimentFile(request, onProgress));
      } catch (err) {
        return Err({
          kind: 'invalid_input',
          message: `The experiment ${request.file} was not run: ${(err as Error).message}`,
        });
      }
    },
  };
}
