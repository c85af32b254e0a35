/** Finds the entry hosts and sends a request to each of them. */

import type {HostId} from '@lacewingroad/core';
import type {z} from 'zod';
import type {CliError} from './cli_error.js';
import {hostObjectSchema, hostsAnswerSchema} from './operator_answers.js';
import type {OperatorPort, PlatformPort} from './ports.js';
import {Err, Ok} from './result.js';
import type {Result} from './result.js';

/** Maximum number of hosts that are queried at the same time. */
const QUERY_BATCH_SIZE = 50;

/** An entry host that the platform or another host lists. */
export type KnownHost = z.infer<typeof hostObjectSchema>;

/** Where the list of hosts comes from. */
export interface HostSources {
  /** Null when no platform was given. */
  readonly platform: PlatformPort | null;
  /** Operator addresses given with `--host`, as `IP:PORT`. */
  readonly seeds: readonly string[];
  readonly operators: OperatorPort;
}

/** One host's answer. */
export interface HostAnswer<T> {
  readonly host: KnownHost;
  readonly answer: Result<T, CliError>;
}

/**
 * Returns the hosts that the platform and the hosts given with `--host` list,
 * ordered by id.
 */
export async function findHosts(
  sources: HostSources,
): Promise<Result<readonly KnownHost[], CliError>> {
  const listed = await listPlatformHosts(sources.platform);
  const seedResults = await Promise.all(
    sources.seeds.map(seed => querySeed(sources.operators, seed)),
  );
  const results = [...(listed === null ? [] : [listed]), ...seedResults];
  const hosts = new Map<HostId, KnownHost>();
  for (const host of results.flatMap(result => (result.ok ? result.val : []))) {
    hosts.set(host.id, hosts.get(host.id) ?? host);
  }
  if (hosts.size > 0) {
    return Ok([...hosts.values()].sort((a, b) => compareIds(a.id, b.id)));
  }
  return Err(describeNoHosts(results));
}

function compareIds(a: HostId, b: HostId): number {
  return a.localeCompare(b, 'en', {numeric: true});
}

function describeNoHosts(
  results: readonly Result<unknown, CliError>[],
): CliError {
  const details = results.map(result =>
    result.err ? result.val.message : 'The platform lists no hosts.',
  );
  const remedy =
    'Give the platform (--platform URL) or a host (--host IP:PORT).';
  return {kind: 'unreachable', message: [...details, remedy].join('\n')};
}

async function listPlatformHosts(
  platform: PlatformPort | null,
): Promise<Result<readonly KnownHost[], CliError> | null> {
  if (platform === null) {
    return null;
  }
  const listed = await platform.listObjects('hosts/');
  return listed.map(objects =>
    objects.flatMap(object => {
      const parsed = hostObjectSchema.safeParse(object.value);
      return parsed.success ? [parsed.data] : [];
    }),
  );
}

async function querySeed(
  operators: OperatorPort,
  seed: string,
): Promise<Result<readonly KnownHost[], CliError>> {
  const answer = await queryHost(operators, seed, '/hosts', hostsAnswerSchema);
  return answer.map(({hosts}) => hosts);
}

/** Sends a GET request to one host and validates the answer. */
async function queryHost<T>(
  operators: OperatorPort,
  address: string,
  path: string,
  schema: z.ZodType<T>,
): Promise<Result<T, CliError>> {
  const answer = await operators.get(address, path);
  if (answer.err) {
    return answer;
  }
  const parsed = schema.safeParse(answer.val);
  if (parsed.success) {
    return Ok(parsed.data);
  }
  return Err({
    kind: 'refused',
    message:
      `${address} answered ${path} in an unexpected format; ` +
      'use the command line of the same release as the host.',
  });
}

/** Sends a GET request to all given hosts, in batches. */
export async function queryHosts<T>(
  operators: OperatorPort,
  hosts: readonly KnownHost[],
  path: string,
  schema: z.ZodType<T>,
): Promise<readonly HostAnswer<T>[]> {
  const answers: HostAnswer<T>[] = [];
  for (let start = 0; start < hosts.length; start += QUERY_BATCH_SIZE) {
    const batch = hosts.slice(start, start + QUERY_BATCH_SIZE);
    const pending = batch.map(async host => {
      const address = host.operatorAddress;
      const answer = await queryHost(operators, address, path, schema);
      return {host, answer};
    });
    answers.push(...(await Promise.all(pending)));
  }
  return answers;
}

/** Finds the hosts and sends a GET request to all of them. */
export async function queryAllHosts<T>(
  sources: HostSources,
  path: string,
  schema: z.ZodType<T>,
): Promise<Result<readonly HostAnswer<T>[], CliError>> {
  const hosts = await findHosts(sources);
  return hosts.err
    ? hosts
    : Ok(await queryHosts(sources.operators, hosts.val, path, schema));
}
