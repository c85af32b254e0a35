/** Processor time and memory of other processes, as the kernel counts them. */

import {readFileSync} from 'node:fs';

/** Milliseconds of one tick of the kernel's process times. */
const TICK_MS = 10;
/** Fields of `stat` after the name, counted from 0. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Resources that a process uses. */
export interface ProcessStats {
  /** Processor time since its start, in milliseconds. */
  readonly cpuMs: number;
  /** Resident memory in KiB. */
  readonly rssKb: number;
}

/** Reads the statistics of a running process. */
export function readProcessStats(pid: number): ProcessStats {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rss = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  return {
    cpuMs:
      (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * TICK_MS,
    rssKb: Number(rss?.[1] ?? 0),
  };
}
