/** Finds the entry hosts, and puts one question to all of them. */

import type {HostId} from '@lacewingroad/core';
import type {z} from 'zod';
import type {CliError} from './cli_error.js';
import {hostObjectSchema, hostsAnswerSchema} from './operator_answers.js';
import type {OperatorPort, PlatformPort} from './ports.js';
import {Err, Ok} from './result.js';
import type {Result} from './result.js';

/** Hosts that are asked at the same time. */
const ASK_BATCH = 50;

/** An entry host as the command line knows it. */
export type KnownHost = z.infer<typeof hostObjectSchema>;

/** Where hosts are learned from. */
export interface HostSources {
  /** Null when no platform was named. */
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
 * Returns the hosts of the platform's list and of the hosts named with
 * `--host`, in the order of their ids.
 */
export async function findHosts(
  sources: HostSources,
): Promise<Result<readonly KnownHost[], CliError>> {
  const listed = await listPlatformHosts(sources.platform);
  const told = await Promise.all(
    sources.seeds.map(seed => askSeed(sources.operators, seed)),
  );
  const results = [...(listed === null ? [] : [listed]), ...told];
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
    'Name the platform (--platform URL) or a host (--host IP:PORT).';
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

async function askSeed(
  operators: OperatorPort,
  seed: string,
): Promise<Result<readonly KnownHost[], CliError>> {
  const answer = await askHost(operators, seed, '/hosts', hostsAnswerSchema);
  return answer.map(({hosts}) => hosts);
}

/** Puts a question to one host and checks the shape of the answer. */
async function askHost<T>(
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
      `${address} answered ${path} in another form than expected; ` +
      'use the command line of the same release as the host.',
  });
}

/** Puts a question to all hosts, some at a time. */
export async function askHosts<T>(
  operators: OperatorPort,
  hosts: readonly KnownHost[],
  path: string,
  schema: z.ZodType<T>,
): Promise<readonly HostAnswer<T>[]> {
  const answers: HostAnswer<T>[] = [];
  for (let start = 0; start < hosts.length; start += ASK_BATCH) {
    const batch = hosts.slice(start, start + ASK_BATCH);
    const asked = batch.map(async host => {
      const address = host.operatorAddress;
      const answer = await askHost(operators, address, path, schema);
      return {host, answer};
    });
    answers.push(...(await Promise.all(asked)));
  }
  return answers;
}

/** Finds the hosts and puts a question to all of them. */
export async function askAllHosts<T>(
  sources: HostSources,
  path: string,
  schema: z.ZodType<T>,
): Promise<Result<readonly HostAnswer<T>[], CliError>> {
  const hosts = await findHosts(sources);
  return hosts.err
    ? hosts
    : Ok(await askHosts(sources.operators, hosts.val, path, schema));
}
