/** The command line of `lacewingroad-slopes`. */

import {defineCommand, runMain} from 'citty';
import {printClientSlopes} from './client_slopes.js';
import {printEngineSlopes, printStartSlopes} from './engine_slopes.js';
import {printFleetSlopes} from './fleet_slopes.js';
import {printLinkSlopes} from './link_slopes.js';
import {printSiteSlopes} from './site_slopes.js';
import type {FleetSize} from './fleet_objects.js';
import {
  printHeapSlopes,
  printOwnerSlopes,
  printStatementSlopes,
} from './statement_slopes.js';

/** Databases per host at the target size: 2,100 on 1,600 hosts. */
const GROUPS_PER_HOST = 2_100 / 1_600;

const SIZE_ARGS = {
  hosts: {
    type: 'string',
    default: '100,200,400,800,1600',
    description: 'numbers of hosts',
  },
  groups: {
    type: 'string',
    default: '',
    description: 'databases for all sizes; by default 21 for each 16 hosts',
  },
  dcs: {type: 'string', default: '21', description: 'data centres'},
  rows: {type: 'string', default: '8', description: 'rows of a table'},
  edits: {type: 'string', default: '5', description: 'edits in a table'},
} as const;

interface SizeArgs {
  readonly hosts: string;
  readonly groups: string;
  readonly dcs: string;
  readonly rows: string;
  readonly edits: string;
}

function readSizes(args: SizeArgs): readonly FleetSize[] {
  return args.hosts.split(',').map(text => {
    const hosts = Number(text);
    return {
      hosts,
      groups:
        args.groups === ''
          ? Math.round(hosts * GROUPS_PER_HOST)
          : Number(args.groups),
      dataCentres: Number(args.dcs),
      rows: Number(args.rows),
      edits: Number(args.edits),
    };
  });
}

const engine = defineCommand({
  meta: {name: 'engine', description: 'cost of an idle and a cut-off host'},
  args: SIZE_ARGS,
  run: ({args}) => printEngineSlopes(readSizes(args)),
});

const start = defineCommand({
  meta: {name: 'start', description: 'cost of a start; needs --expose-gc'},
  args: SIZE_ARGS,
  run: ({args}) => printStartSlopes(readSizes(args)),
});

const statements = defineCommand({
  meta: {name: 'statements', description: 'cost of statements'},
  args: {
    ...SIZE_ARGS,
    callers: {type: 'string', default: '1000', description: 'connections'},
  },
  run: ({args}) => {
    printStatementSlopes(readSizes(args), Number(args.callers));
    printOwnerSlopes(readSizes(args));
  },
});

const heap = defineCommand({
  meta: {name: 'heap', description: 'heap of callers; needs --expose-gc'},
  args: SIZE_ARGS,
  run: ({args}) => printHeapSlopes(readSizes(args).at(-1)!),
});

const fleet = defineCommand({
  meta: {name: 'fleet', description: 'cost of idle fleets of real daemons'},
  args: {
    hosts: {type: 'string', default: '3,9,18,36', description: 'daemons'},
    seconds: {type: 'string', default: '60', description: 'measured time span'},
  },
  run: ({args}) =>
    printFleetSlopes(args.hosts.split(',').map(Number), Number(args.seconds)),
});

const clients = defineCommand({
  meta: {name: 'clients', description: 'cost of connections to one daemon'},
  args: {
    count: {type: 'string', default: '10000', description: 'connections'},
    rate: {type: 'string', default: '306', description: 'statements a second'},
  },
  run: ({args}) => printClientSlopes(Number(args.count), Number(args.rate)),
});

const links = defineCommand({
  meta: {name: 'links', description: 'cost of links to one daemon'},
  args: {
    links: {type: 'string', default: '0,200,400,800', description: 'links'},
  },
  run: ({args}) => printLinkSlopes(args.links.split(',').map(Number)),
});

const site = defineCommand({
  meta: {name: 'site', description: 'traffic of simulated fleets'},
  args: {
    hosts: {type: 'string', default: '28,56,112', description: 'hosts'},
  },
  run: ({args}) => printSiteSlopes(args.hosts.split(',').map(Number)),
});

const slopes = defineCommand({
  meta: {
    name: 'lacewingroad-slopes',
    description: 'measures how costs grow with size',
  },
  subCommands: {engine, start, statements, heap, fleet, clients, links, site},
});

/** Runs a command line. */
export function runSlopes(rawArgs: readonly string[]): Promise<void> {
  return runMain(slopes, {rawArgs: [...rawArgs]});
}
