/** Runs one entry host as a daemon process. */

import {createSystemRuntime} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {loadSettings} from '@lacewingroad/settings';
import {startEntryHost} from './entry_host.js';
import type {EntryHost, EntryOptions} from './entry_host.js';

/** Exit codes of the daemon. */
export const EXIT_CODES = {
  ok: 0,
  /** A defect, a port in use, or a second stop signal while draining. */
  failure: 1,
  /** The settings are not valid. */
  settings: 2,
} as const;

/** Signal at which the daemon reloads the settings file. */
const RELOAD_SIGNAL = 'SIGHUP';
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const MS_PER_SECOND = 1_000;

/** Resolves at the first stop signal; a second one ends the process. */
function waitForStopSignal(): Promise<void> {
  return new Promise(resolve => {
    let isStopping = false;
    const stop = (): void => {
      if (isStopping) {
        process.exit(EXIT_CODES.failure);
      }
      isStopping = true;
      resolve();
    };
    STOP_SIGNALS.forEach(signal => process.on(signal, stop));
  });
}

/** Writes a message to standard error. */
function printError(message: string): void {
  process.stderr.write(`${message}\n`);
}

/** Stops a host gracefully: drains it, then closes it. */
async function stopGracefully(
  host: EntryHost,
  runtime: Runtime,
  drainSeconds: number,
): Promise<void> {
  await host.drain(runtime.now() + drainSeconds * MS_PER_SECOND);
  await host.close();
}

/**
 * Runs an entry host with the settings file at `settingsPath` until a stop
 * signal, then exits the process with one of EXIT_CODES.
 */
export async function runEntry(
  settingsPath: string,
  options: EntryOptions = {},
): Promise<never> {
  const loaded = loadSettings(settingsPath);
  if (loaded.err) {
    printError(loaded.val.message);
    process.exit(EXIT_CODES.settings);
  }
  const settings = loaded.val;
  const runtime = createSystemRuntime();
  const stopped = waitForStopSignal();
  const host = startEntryHost(settings, runtime, {
    withProcessMetrics: true,
    ...options,
  });
  // Registered before the ports open: without a handler, the signal would end
  // the process.
  process.on(RELOAD_SIGNAL, () => host.reload(loadSettings(settingsPath)));
  try {
    await host.ready;
  } catch (err) {
    printError(
      `The entry host cannot listen (${String(err)}); check address and ports in ${settingsPath}.`,
    );
    process.exit(EXIT_CODES.failure);
  }
  await stopped;
  await stopGracefully(host, runtime, host.readSettings().drainSeconds);
  process.exit(EXIT_CODES.ok);
}
