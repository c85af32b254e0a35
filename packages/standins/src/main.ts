#!/usr/bin/env node
/** Command line of the stand-ins; each runs as a process of its own. */

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

const ADDRESS = {type: 'string', required: true, valueHint: 'IP:PORT'} as const;
const NUMBER = {type: 'string'} as const;

/** Reads a number option; absent ones are left out of the settings. */
function numbers<K extends string>(
  values: Readonly<Record<K, string | undefined>>,
): Partial<Record<K, number>> {
  const given = Object.entries<string | undefined>(values)
    .filter(([, text]) => text !== undefined)
    .map(([name, text]) => [name, Number(text)]);
  return Object.fromEntries(given) as Partial<Record<K, number>>;
}

/** Tells the parent where the process listens, as one line of JSON. */
function announce(standin: Standin): void {
  const line = {
    address: formatHostPort(standin.address),
    control: formatHostPort(standin.control),
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function parseFollow(text: string): FollowTarget {
  const [id = '', at = ''] = text.split('@');
  const {host, port} = parseHostPort(at);
  return {id, address: host, port};
}

const platform = defineCommand({
  meta: {name: 'platform', description: 'object API in memory'},
  args: {
    listen: ADDRESS,
    control: ADDRESS,
    'seed-file': {type: 'string', description: 'objects by key, YAML or JSON'},
    'writes-per-second': NUMBER,
    'reads-per-second': NUMBER,
    'host-list-lag-ms': NUMBER,
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
      ...numbers({
        writesPerSecond: args['writes-per-second'],
        readsPerSecond: args['reads-per-second'],
        hostListLagMs: args['host-list-lag-ms'],
      }),
    };
    announce(await startPlatform(cfg, createSystemRuntime()));
  },
});

const endpoint = defineCommand({
  meta: {name: 'endpoint', description: 'replicated ledger in memory'},
  args: {
    id: {type: 'string', required: true},
    listen: ADDRESS,
    control: ADDRESS,
    role: {type: 'enum', options: ['primary', 'replica'], required: true},
    term: {type: 'string', default: '1'},
    follow: {type: 'string', valueHint: 'ID@IP:PORT'},
    slots: NUMBER,
    'max-connections': NUMBER,
    'connect-ms': NUMBER,
    'service-ms': NUMBER,
    'lag-ms': NUMBER,
    'lock-wait-ms': NUMBER,
    address: {type: 'string', description: 'source of outgoing connections'},
  },
  run: async ({args}) => {
    const cfg = {
      id: args.id,
      listen: parseHostPort(args.listen),
      control: parseHostPort(args.control),
      role: args.role as 'primary' | 'replica',
      term: Number(args.term),
      ...(args.follow === undefined ? {} : {follow: parseFollow(args.follow)}),
      ...(args.address === undefined ? {} : {address: args.address}),
      ...numbers({
        slots: args.slots,
        maxConnections: args['max-connections'],
        connectMs: args['connect-ms'],
        serviceMs: args['service-ms'],
        lagMs: args['lag-ms'],
        lockWaitMs: args['lock-wait-ms'],
      }),
    };
    announce(await startEndpoint(cfg, createSystemRuntime()));
  },
});

const fault = defineCommand({
  meta: {name: 'fault', description: 'fault-injecting TCP proxy'},
  args: {control: ADDRESS},
  run: async ({args}) => {
    const cfg = {control: parseHostPort(args.control)};
    announce(await startFault(cfg, createSystemRuntime()));
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
