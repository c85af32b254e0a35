/** Formats which table version each host has in force, for people. */

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
const EMPTY_CELL = '-';

/** Formats one service: a line per host and a summary line. */
export function formatServiceLines(
  cli: CliContext,
  summary: ServiceInForce,
): readonly string[] {
  const wallNow = cli.runtime.wallNow();
  const rows = summary.hosts.map(host =>
    formatHost(host, summary.wanted, wallNow),
  );
  return [
    `Service ${summary.service}`,
    ...alignColumns(HEADINGS, rows),
    formatSummary(summary),
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
    host.version === null ? EMPTY_CELL : String(host.version),
    formatSince(host.inForceForMs, wallNow),
    host.viewAgeMs === null ? EMPTY_CELL : formatSpan(host.viewAgeMs),
    describeState(host, wanted),
  ];
}

function formatSince(inForceForMs: number | null, wallNow: number): string {
  if (inForceForMs === null) {
    return EMPTY_CELL;
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
    return `behind: version ${wanted} is expected${leaving}`;
  }
  return `in force${leaving}`;
}

function formatSummary(summary: ServiceInForce): string {
  const live = summary.hosts.filter(host => host.state === 'live').length;
  const upToDate = live - summary.missing.length;
  const text = `Version ${summary.wanted} of ${summary.service} is in force on ${upToDate} of ${live} live hosts.`;
  if (summary.missing.length === 0) {
    return text;
  }
  return `${text} Missing: ${summary.missing.join(', ')}.`;
}
