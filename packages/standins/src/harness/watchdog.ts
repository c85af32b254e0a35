/**
 * Ends the processes of a test whose own process is gone, however it went.
 * Reads `+PID` and `-PID` lines from standard input; at its end, kills the
 * processes that are left.
 */

import {createInterface} from 'node:readline';

const pids = new Set<number>();

const CHANGES: Readonly<Record<string, (pid: number) => void>> = {
  '+': pid => pids.add(pid),
  '-': pid => pids.delete(pid),
};

function kill(pid: number): void {
  try {
    process.kill(pid, 'SIGKILL');
  } catch {
    // It ended by itself.
  }
}

const lines = createInterface({input: process.stdin});
lines.on('line', line => CHANGES[line[0] ?? '']?.(Number(line.slice(1))));
lines.on('close', () => pids.forEach(kill));
// Ctrl-C reaches the whole process group; the end of the input decides.
process.on('SIGINT', () => undefined);
