/** Reads back which version of a table is in force on each host. */

import type {ServiceId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {CliError} from './cli_error.js';
import {askHosts, findHosts} from './host_list.js';
import type {HostSources, KnownHost} from './host_list.js';
import {tableAnswerSchema} from './operator_answers.js';
import type {TableAnswer} from './operator_answers.js';
import {Ok} from './result.js';
import type {Result} from './result.js';

/** Wait between two readings of all hosts, in milliseconds. */
const POLL_INTERVAL_MS = 500;

/** What one host has in force for one service. */
export interface HostInForce {
  readonly host: string;
  readonly dataCentre: string;
  readonly state: KnownHost['state'];
  /** Null when the host did not answer or has no table of the service. */
  readonly version: number | null;
  readonly inForceForMs: number | null;
  /** Age of the host's knowledge of the platform, or null. */
  readonly viewAgeMs: number | null;
  /** Why the host did not answer, or null. */
  readonly fault: string | null;
}

/** One service over all hosts. */
export interface ServiceInForce {
  readonly service: ServiceId;
  /** The version that should be in force: the platform's, or the highest. */
  readonly wanted: number;
  readonly hosts: readonly HostInForce[];
  /** Live hosts that do not have it in force. */
  readonly missing: readonly string[];
}

/** All hosts' answers to `GET /table`. */
export interface TableReadings {
  readonly answers: readonly {
    readonly host: KnownHost;
    readonly answer: Result<TableAnswer, CliError>;
  }[];
}

/** Asks all hosts once. */
export async function readTables(
  sources: HostSources,
): Promise<Result<TableReadings, CliError>> {
  const hosts = await findHosts(sources);
  if (hosts.err) {
    return hosts;
  }
  const answers = await askHosts(
    sources.operators,
    hosts.val,
    '/table',
    tableAnswerSchema,
  );
  return Ok({answers});
}

/** Names the services that any host has in force. */
export function listServices(readings: TableReadings): readonly ServiceId[] {
  const names = readings.answers.flatMap(({answer}) =>
    answer.ok ? answer.val.tables.map(table => table.service) : [],
  );
  return [...new Set(names)].sort();
}

/** Sums up one service; `wanted` null stands for the highest version seen. */
export function summarizeService(
  readings: TableReadings,
  service: ServiceId,
  wanted: number | null,
): ServiceInForce {
  const hosts = readings.answers.map(({host, answer}) =>
    readHost(host, answer, service),
  );
  const highest = Math.max(0, ...hosts.map(host => host.version ?? 0));
  const target = wanted ?? highest;
  const missing = hosts
    .filter(host => host.state === 'live' && (host.version ?? -1) < target)
    .map(host => host.host);
  return {service, wanted: target, hosts, missing};
}

function readHost(
  host: KnownHost,
  answer: Result<TableAnswer, CliError>,
  service: ServiceId,
): HostInForce {
  const known = {
    host: host.id,
    dataCentre: host.dataCentre,
    state: host.state,
  };
  if (answer.err) {
    const fault = answer.val.message;
    return {
      ...known,
      version: null,
      inForceForMs: null,
      viewAgeMs: null,
      fault,
    };
  }
  const table = answer.val.tables.find(entry => entry.service === service);
  return {
    ...known,
    version: table?.version ?? null,
    inForceForMs: table?.inForceForMs ?? null,
    viewAgeMs: answer.val.viewAgeMs,
    fault: null,
  };
}

/**
 * Reads all hosts until a version is in force on every live one, at the latest
 * until the deadline; returns the last reading.
 */
export async function waitInForce(
  runtime: Runtime,
  sources: HostSources,
  service: ServiceId,
  version: number,
  deadline: Instant,
): Promise<Result<ServiceInForce, CliError>> {
  for (;;) {
    const readings = await readTables(sources);
    const reading = readings.map(val =>
      summarizeService(val, service, version),
    );
    const isDone = reading.ok && reading.val.missing.length === 0;
    if (isDone || runtime.now() + POLL_INTERVAL_MS >= deadline) {
      return reading;
    }
    await waitUntil(runtime, runtime.now() + POLL_INTERVAL_MS);
  }
}
