/** Writes which version is in force where, for people. */

import {alignColumns, formatSpan, formatWallTime} from '../format_text.js';
import type {HostInForce, ServiceInForce} from '../in_force.js';
import type {CliContext} from '../ports.js';

const HEADINGS = [
  'HOST',
  'DATA CENTRE',
  'VERSION',
  'IN FORCE SINCE',
  'VIEW AGE',
  'STATE',
] as const;
const NOTHING = '-';

/** Writes one service: a line per host and one that sums up. */
export function formatServiceLines(
  cli: CliContext,
  reading: ServiceInForce,
): readonly string[] {
  const wallNow = cli.runtime.wallNow();
  const rows = reading.hosts.map(host =>
    formatHost(host, reading.wanted, wallNow),
  );
  return [
    `Service ${reading.service}`,
    ...alignColumns(HEADINGS, rows),
    sumUp(reading),
  ];
}

function formatHost(
  host: HostInForce,
  wanted: number,
  wallNow: number,
): readonly string[] {
  return [
    host.host,
    host.dataCentre,
    host.version === null ? NOTHING : String(host.version),
    formatSince(host.inForceForMs, wallNow),
    host.viewAgeMs === null ? NOTHING : formatSpan(host.viewAgeMs),
    describeState(host, wanted),
  ];
}

function formatSince(inForceForMs: number | null, wallNow: number): string {
  if (inForceForMs === null) {
    return NOTHING;
  }
  const since = formatWallTime(wallNow - inForceForMs);
  return `${since} (${formatSpan(inForceForMs)} ago)`;
}

function describeState(host: HostInForce, wanted: number): string {
  const leaving = host.state === 'leaving' ? ' (leaving)' : '';
  if (host.fault !== null) {
    return `no answer: ${host.fault}${leaving}`;
  }
  if (host.version === null) {
    return `no table of this service${leaving}`;
  }
  if (host.version < wanted) {
    return `behind: version ${wanted} is wanted${leaving}`;
  }
  return `in force${leaving}`;
}

function sumUp(reading: ServiceInForce): string {
  const live = reading.hosts.filter(host => host.state === 'live').length;
  const good = live - reading.missing.length;
  const head = `Version ${reading.wanted} of ${reading.service} is in force on ${good} of ${live} live hosts.`;
  if (reading.missing.length === 0) {
    return head;
  }
  return `${head} Missing: ${reading.missing.join(', ')}.`;
}
