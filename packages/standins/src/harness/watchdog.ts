/**
 * Kills the child processes of a test when the test process exits for any
 * reason. Reads `+PID` and `-PID` lines from standard input to track the
 * children, and kills the remaining ones at end of input.
 */

import {createInterface} from 'node:readline';

const trackedPids = new Set<number>();

const LINE_HANDLERS: Readonly<Record<string, (pid: number) => void>> = {
  '+': pid => trackedPids.add(pid),
  '-': pid => trackedPids.delete(pid),
};

function kill(pid: number): void {
  try {
    process.kill(pid, 'SIGKILL');
  } catch {
    // The process has already exited.
  }
}

const lines = createInterface({input: process.stdin});
lines.on('line', line => LINE_HANDLERS[line[0] ?? '']?.(Number(line.slice(1))));
lines.on('close', () => trackedPids.forEach(kill));
// Ctrl-C reaches the whole process group. Ignore it and wait for end of input.
process.on('SIGINT', () => undefined);
