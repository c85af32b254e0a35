#!/usr/bin/env node
/** Command line of the stand-ins; each runs in its own process. */

import {readFileSync} from 'node:fs';
import {defineCommand, runMain} from 'citty';
import {parse} from 'yaml';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {startEndpoint} from './endpoint/endpoint.js';
import type {FollowTarget} from './endpoint/ledger.js';
import {startFault} from './fault/fault.js';
import {formatHostPort, parseHostPort} from './http.js';
import {startPlatform} from './platform/platform.js';
import type {Standin} from './platform/platform.js';

const ADDRESS_OPTION = {
  type: 'string',
  required: true,
  valueHint: 'IP:PORT',
} as const;
const NUMBER_OPTION = {type: 'string'} as const;

/** Parses number options; leaves out absent ones. */
function parseNumberOptions<K extends string>(
  values: Readonly<Record<K, string | undefined>>,
): Partial<Record<K, number>> {
  const given = Object.entries<string | undefined>(values)
    .filter(([, text]) => text !== undefined)
    .map(([name, text]) => [name, Number(text)]);
  return Object.fromEntries(given) as Partial<Record<K, number>>;
}

/**
 * Prints the listening addresses as one line of JSON for the parent process.
 */
function printAddresses(standin: Standin): void {
  const line = {
    address: formatHostPort(standin.address),
    control: formatHostPort(standin.control),
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function parseFollowTarget(text: string): FollowTarget {
  const [id = '', address = ''] = text.split('@');
  const {host, port} = parseHostPort(address);
  return {id, address: host, port};
}

const platform = defineCommand({
  meta: {name: 'platform', description: 'object API in memory'},
  args: {
    listen: ADDRESS_OPTION,
    control: ADDRESS_OPTION,
    'seed-file': {type: 'string', description: 'objects by key, YAML or JSON'},
    'writes-per-second': NUMBER_OPTION,
    'reads-per-second': NUMBER_OPTION,
    'host-list-lag-ms': NUMBER_OPTION,
  },
  run: async ({args}) => {
    const file = args['seed-file'];
    const objects =
      file === undefined
        ? {}
        : (parse(readFileSync(file, 'utf8')) as Record<string, unknown>);
    const cfg = {
      listen: parseHostPort(args.listen),
      control: parseHostPort(args.control),
      objects,
      ...parseNumberOptions({
        writesPerSecond: args['writes-per-second'],
        readsPerSecond: args['reads-per-second'],
        hostListLagMs: args['host-list-lag-ms'],
      }),
    };
    printAddresses(await startPlatform(cfg, createSystemRuntime()));
  },
});

const endpoint = defineCommand({
  meta: {name: 'endpoint', description: 'replicated ledger in memory'},
  args: {
    id: {type: 'string', required: true},
    listen: ADDRESS_OPTION,
    control: ADDRESS_OPTION,
    role: {type: 'enum', options: ['primary', 'replica'], required: true},
    term: {type: 'string', default: '1'},
    follow: {type: 'string', valueHint: 'ID@IP:PORT'},
    slots: NUMBER_OPTION,
    'max-connections': NUMBER_OPTION,
    'connect-ms': NUMBER_OPTION,
    'service-ms': NUMBER_OPTION,
    'lag-ms': NUMBER_OPTION,
    'lock-wait-ms': NUMBER_OPTION,
    address: {type: 'string', description: 'source of outgoing connections'},
  },
  run: async ({args}) => {
    const cfg = {
      id: args.id,
      listen: parseHostPort(args.listen),
      control: parseHostPort(args.control),
      role: args.role as 'primary' | 'replica',
      term: Number(args.term),
      ...(args.follow === undefined
        ? {}
        : {follow: parseFollowTarget(args.follow)}),
      ...(args.address === undefined ? {} : {address: args.address}),
      ...parseNumberOptions({
        slots: args.slots,
        maxConnections: args['max-connections'],
        connectMs: args['connect-ms'],
        serviceMs: args['service-ms'],
        lagMs: args['lag-ms'],
        lockWaitMs: args['lock-wait-ms'],
      }),
    };
    printAddresses(await startEndpoint(cfg, createSystemRuntime()));
  },
});

const fault = defineCommand({
  meta: {name: 'fault', description: 'fault-injecting TCP proxy'},
  args: {control: ADDRESS_OPTION},
  run: async ({args}) => {
    const cfg = {control: parseHostPort(args.control)};
    printAddresses(await startFault(cfg, createSystemRuntime()));
  },
});

await runMain(
  defineCommand({
    meta: {
      name: 'lacewingroad-standin',
      description: 'Stand-ins for tests of lacewingroad',
    },
    subCommands: {platform, endpoint, fault},
  }),
);
