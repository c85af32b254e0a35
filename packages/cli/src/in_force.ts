/** Reads which version of a table is in force on each host. */

import type {ServiceId} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {CliError} from './cli_error.js';
import {queryHosts, findHosts} from './host_list.js';
import type {HostSources, KnownHost} from './host_list.js';
import {tableAnswerSchema} from './operator_answers.js';
import type {TableAnswer} from './operator_answers.js';
import {Ok} from './result.js';
import type {Result} from './result.js';

/** Interval between two polls of all hosts, in milliseconds. */
const POLL_INTERVAL_MS = 500;

/** The table version that one host has in force for one service. */
export interface HostInForce {
  readonly host: string;
  readonly dataCentre: string;
  readonly state: KnownHost['state'];
  /** Null when the host did not answer or has no table of the service. */
  readonly version: number | null;
  readonly inForceForMs: number | null;
  /** Age of the host's copy of the platform's objects, or null. */
  readonly viewAgeMs: number | null;
  /** Why the host did not answer, or null. */
  readonly fault: string | null;
}

/** The table versions that all hosts have in force for one service. */
export interface ServiceInForce {
  readonly service: ServiceId;
  /** The expected version: the platform's, or the highest of all hosts. */
  readonly wanted: number;
  readonly hosts: readonly HostInForce[];
  /** Live hosts that do not have the expected version in force. */
  readonly missing: readonly string[];
}

/** The answers of all hosts to `GET /table`. */
export interface TableAnswers {
  readonly answers: readonly {
    readonly host: KnownHost;
    readonly answer: Result<TableAnswer, CliError>;
  }[];
}

/** Requests the tables of all hosts once. */
export async function queryTables(
  sources: HostSources,
): Promise<Result<TableAnswers, CliError>> {
  const hosts = await findHosts(sources);
  if (hosts.err) {
    return hosts;
  }
  const answers = await queryHosts(
    sources.operators,
    hosts.val,
    '/table',
    tableAnswerSchema,
  );
  return Ok({answers});
}

/** Lists the services for which any host has a table in force. */
export function listServices(tableAnswers: TableAnswers): readonly ServiceId[] {
  const names = tableAnswers.answers.flatMap(({answer}) =>
    answer.ok ? answer.val.tables.map(table => table.service) : [],
  );
  return [...new Set(names)].sort();
}

/**
 * Summarizes one service over all hosts. When `wanted` is null, the expected
 * version is the highest that a host reported.
 */
export function summarizeService(
  tableAnswers: TableAnswers,
  service: ServiceId,
  wanted: number | null,
): ServiceInForce {
  const hosts = tableAnswers.answers.map(({host, answer}) =>
    toHostInForce(host, answer, service),
  );
  const highest = Math.max(0, ...hosts.map(host => host.version ?? 0));
  const target = wanted ?? highest;
  const missing = hosts
    .filter(host => host.state === 'live' && (host.version ?? -1) < target)
    .map(host => host.host);
  return {service, wanted: target, hosts, missing};
}

function toHostInForce(
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
 * Polls all hosts until a version is in force on every live one or the deadline
 * passes; returns the result of the last poll.
 */
export async function waitUntilInForce(
  runtime: Runtime,
  sources: HostSources,
  service: ServiceId,
  version: number,
  deadline: Instant,
): Promise<Result<ServiceInForce, CliError>> {
  for (;;) {
    const tableAnswers = await queryTables(sources);
    const summary = tableAnswers.map(val =>
      summarizeService(val, service, version),
    );
    const isDone = summary.ok && summary.val.missing.length === 0;
    if (isDone || runtime.now() + POLL_INTERVAL_MS >= deadline) {
      return summary;
    }
    await waitUntil(runtime, runtime.now() + POLL_INTERVAL_MS);
  }
}
