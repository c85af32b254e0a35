/** The daemon: one entry host in one process. */

import {createSystemRuntime} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {loadSettings} from '@lacewingroad/settings';
import {startEntryHost} from './wire.js';
import type {EntryHost, EntryOptions} from './wire.js';

/** Exit codes of the daemon. */
export const EXIT_CODES = {
  ok: 0,
  /** A defect, a taken port, or a second signal while draining. */
  failure: 1,
  /** The settings are not valid. */
  settings: 2,
} as const;

/** Has the settings file read again. */
const RELOAD_SIGNAL = 'SIGHUP';
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
const MS_PER_SECOND = 1_000;

/** Resolves at the first signal to stop; a second one ends the process. */
function waitForStop(): Promise<void> {
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

/** Writes a message for whoever started the daemon. */
function complain(message: string): void {
  process.stderr.write(`${message}\n`);
}

/** Stops a host gracefully: finishes what it runs, then closes. */
async function stopGracefully(
  host: EntryHost,
  runtime: Runtime,
  drainSeconds: number,
): Promise<void> {
  await host.drain(runtime.now() + drainSeconds * MS_PER_SECOND);
  await host.close();
}

/**
 * Runs an entry host with the settings file at `settingsPath` until a signal
 * stops it, and ends the process: see EXIT_CODES.
 */
export async function runEntry(
  settingsPath: string,
  options: EntryOptions = {},
): Promise<never> {
  const loaded = loadSettings(settingsPath);
  if (loaded.err) {
    complain(loaded.val.message);
    process.exit(EXIT_CODES.settings);
  }
  const settings = loaded.val;
  const runtime = createSystemRuntime();
  const stopped = waitForStop();
  const host = startEntryHost(settings, runtime, {
    withProcessMetrics: true,
    ...options,
  });
  // Before anybody can see that it listens: unhandled, the signal would end it.
  process.on(RELOAD_SIGNAL, () => host.reload(loadSettings(settingsPath)));
  try {
    await host.ready;
  } catch (err) {
    complain(
      `The entry host cannot listen (${String(err)}); check address and ports in ${settingsPath}.`,
    );
    process.exit(EXIT_CODES.failure);
  }
  await stopped;
  await stopGracefully(host, runtime, host.readSettings().drainSeconds);
  process.exit(EXIT_CODES.ok);
}
