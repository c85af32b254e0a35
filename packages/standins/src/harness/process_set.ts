/** Manages the child processes of one test site by name. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';

/** Root of the workspace. */
export const WORKSPACE = fileURLToPath(
  new URL('../../../../', import.meta.url),
);

const WATCHDOG = join(WORKSPACE, 'packages/standins/dist/harness/watchdog.js');
const POLL_MS = 20;

/** Signals that tests can send. */
export type TestSignal = 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT';

/** How a process ended. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: string | null;
}

/** Starts and stops processes; none outlives `close` or the test process. */
export interface ProcessSet {
  /** Starts `node ARGS`. Throws if a process of that name is running. */
  readonly start: (name: string, args: readonly string[]) => void;
  readonly signal: (name: string, signal: TestSignal) => void;
  /** Returns the process id. Throws if no process of that name was started. */
  readonly pid: (name: string) => number;
  readonly isRunning: (name: string) => boolean;
  /** Resolves once the process has ended. */
  readonly exited: (name: string) => Promise<ExitStatus>;
  /** Returns all output of the processes of that name. */
  readonly output: (name: string) => string;
  /**
   * Resolves with the first match in the output; rejects after `timeoutMs` or
   * if the process exits.
   */
  readonly waitForOutput: (
    name: string,
    pattern: RegExp,
    timeoutMs: number,
  ) => Promise<RegExpExecArray>;
  /** Kills all processes and waits until they have exited. */
  readonly close: () => Promise<void>;
}

interface ManagedProcess {
  readonly child: ChildProcess;
  readonly exited: Promise<ExitStatus>;
  /** Length of the output of earlier processes of the same name. */
  readonly outputStart: number;
  isRunning: boolean;
}

/** Creates an empty set; output goes to files in `directory`. */
export function createProcessSet(
  directory: string,
  runtime: Runtime,
): ProcessSet {
  const processes = new Map<string, ManagedProcess>();
  const watchdog = spawn(process.execPath, [WATCHDOG], {
    stdio: ['pipe', 'ignore', 'ignore'],
  });
  watchdog.stdin.on('error', () => undefined);
  const watchdogExited = new Promise<void>(resolve =>
    watchdog.on('exit', () => resolve()),
  );

  const outputFileOf = (name: string): string => join(directory, `${name}.log`);
  const output = (name: string): string => {
    try {
      return readFileSync(outputFileOf(name), 'utf8');
    } catch {
      return '';
    }
  };

  const find = (name: string): ManagedProcess => {
    const managed = processes.get(name);
    if (managed === undefined) {
      throw new Error(`process '${name}' was not started`);
    }
    return managed;
  };

  const start = (name: string, args: readonly string[]): void => {
    if (processes.get(name)?.isRunning === true) {
      throw new Error(`process '${name}' is already running`);
    }
    const outputStart = output(name).length;
    const file = openSync(outputFileOf(name), 'a');
    const child = spawn(process.execPath, args, {
      cwd: WORKSPACE,
      stdio: ['ignore', file, file],
    });
    closeSync(file);
    const exited = new Promise<ExitStatus>(resolve => {
      child.on('exit', (code, signal) => {
        managed.isRunning = false;
        watchdog.stdin.write(`-${child.pid}\n`);
        resolve({code, signal});
      });
    });
    const managed: ManagedProcess = {
      child,
      exited,
      outputStart,
      isRunning: true,
    };
    processes.set(name, managed);
    watchdog.stdin.write(`+${child.pid}\n`);
  };

  const waitForOutput = async (
    name: string,
    pattern: RegExp,
    timeoutMs: number,
  ): Promise<RegExpExecArray> => {
    const deadline = runtime.now() + timeoutMs;
    const {outputStart} = find(name);
    for (;;) {
      const match = pattern.exec(output(name).slice(outputStart));
      if (match !== null) {
        return match;
      }
      if (!find(name).isRunning || runtime.now() > deadline) {
        throw new Error(
          `no output of process '${name}' matches ${pattern}; its output:\n${output(name)}`,
        );
      }
      await waitUntil(runtime, runtime.now() + POLL_MS);
    }
  };

  const killAll = (): void => {
    [...processes.values()]
      .filter(managed => managed.isRunning)
      .forEach(managed => managed.child.kill('SIGKILL'));
  };
  process.on('exit', killAll);

  return {
    start,
    signal: (name, signal) => {
      if (find(name).isRunning) {
        find(name).child.kill(signal);
      }
    },
    pid: name => find(name).child.pid!,
    isRunning: name => processes.get(name)?.isRunning ?? false,
    exited: name => find(name).exited,
    output,
    waitForOutput,
    close: async () => {
      killAll();
      await Promise.all([...processes.values()].map(({exited}) => exited));
      process.off('exit', killAll);
      watchdog.stdin.end();
      await watchdogExited;
    },
  };
}
