/** A site of several services, and the operators' command line against it. */

import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect, vi} from 'vitest';
import {orderByRendezvous} from '@lacewingroad/core';
import {LINKS, formatHostPort, launchSite} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {callOperator} from './site_story.js';

/** Stated time within which an edit is in force on all hosts, in ms. */
export const IN_FORCE_MS = 5_000;
/** Relays of a data centre; with more hosts, some host is no relay. */
const RELAYS = 2;
const HOSTS_PER_DATA_CENTRE = 3;
const CLI = fileURLToPath(
  new URL('../../../../cli/dist/main.js', import.meta.url),
);
const LATE = {timeout: 20_000, interval: 50};

/** How a command of the operators ended. */
export interface CommandEnd {
  readonly code: number;
  readonly output: string;
}

/** A table as a host has it in force. */
export interface TableInForce {
  readonly version: number;
  readonly worth: number | undefined;
}

/** What an entry host says of its tables. */
interface TablePage {
  readonly tables: readonly {
    readonly service: string;
    readonly version: number;
    readonly rows: readonly {readonly kind: string; readonly worth: number}[];
  }[];
}

/** A site whose services are edited by operators. */
export interface TableSite {
  readonly site: Site;
  readonly hosts: readonly string[];
  /** Hosts of a data centre, the relays first. */
  readonly relaysFirst: (dataCentre: string) => readonly string[];
  /** Reads a table into a file and replaces text of it there. */
  readonly prepare: (
    service: string,
    from: RegExp,
    to: string,
  ) => Promise<string>;
  readonly apply: (file: string, by: string) => Promise<CommandEnd>;
  readonly read: (host: string, service: string) => Promise<TableInForce>;
  /** Waits until the platform holds a version. */
  readonly waitAccepted: (service: string, version: number) => Promise<void>;
  /** Waits until hosts have a version in force; returns how long it took. */
  readonly waitInForce: (
    service: string,
    version: number,
    hosts?: readonly string[],
  ) => Promise<number>;
  /** Versions of a table in the order in which a host took them. */
  readonly history: (host: string, service: string) => readonly number[];
  /** Ends what a story left behind: outages, and processes that sleep. */
  readonly heal: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Starts a site with the same table for each of the services. */
export async function startTableSite(
  services: readonly string[],
): Promise<TableSite> {
  const site = await launchSite({
    dataCentres: ['a', 'b', 'c'],
    entriesPerDataCentre: HOSTS_PER_DATA_CENTRE,
    services: services.map(service => ({
      service,
      group: 'g1',
      rows: [
        {kind: '*', rank: 'standard'},
        {kind: 'payment', rank: 'urgent', worth: 100},
        {
          kind: 'gallery',
          rank: 'background',
          maxStalenessMs: 60_000,
          connectionLimit: 6,
        },
      ],
    })),
  });
  const directory = mkdtempSync(join(tmpdir(), 'lacewingroad-tables-'));
  const hosts = site.plan.entries.map(({id}) => id);
  let files = 0;

  const runCommand = (args: readonly string[]): Promise<CommandEnd> => {
    const platform = `http://${formatHostPort(site.proxyAddress(LINKS.platform))}`;
    return new Promise(resolve => {
      execFile(
        process.execPath,
        [CLI, ...args, '--platform', platform],
        (err, stdout, stderr) =>
          resolve({
            code: typeof err?.code === 'number' ? err.code : 0,
            output: stdout + stderr,
          }),
      );
    });
  };

  const read = async (host: string, service: string): Promise<TableInForce> => {
    const page = await callOperator<TablePage>(site, host, '/table');
    const table = page.tables.find(one => one.service === service);
    const row = table?.rows.find(({kind}) => kind === 'payment');
    return {version: table?.version ?? 0, worth: row?.worth};
  };

  return {
    site,
    hosts,
    relaysFirst: dataCentre =>
      orderByRendezvous(
        `relay:${dataCentre}`,
        hosts.filter(host => host.startsWith(dataCentre)),
      ),
    prepare: async (service, from, to) => {
      const file = join(directory, `${(files += 1)}.csv`);
      const got = await runCommand(['table', 'get', service, '--out', file]);
      expect(got).toMatchObject({code: 0});
      const text = readFileSync(file, 'utf8');
      const edited = text.replace(from, to);
      expect(edited).not.toBe(text);
      writeFileSync(file, edited);
      return file;
    },
    apply: (file, by) =>
      runCommand(['table', 'apply', file, '--note', `for ${by}`, '--by', by]),
    read,
    waitAccepted: (service, version) =>
      vi.waitFor(async () => {
        const objects = await site.platform.objects();
        const table = objects.find(({key}) => key === `tables/${service}`);
        expect(table?.version).toBe(version);
      }, LATE),
    waitInForce: async (service, version, among = hosts) => {
      const since = Date.now();
      for (const host of among) {
        await vi.waitFor(async () => {
          const table = await read(host, service);
          expect(table.version).toBeGreaterThanOrEqual(version);
        }, LATE);
      }
      return Date.now() - since;
    },
    history: (host, service) =>
      site.processes
        .output(host)
        .split('\n')
        .filter(line => line.includes(' event=object_in_force '))
        .map(line => / key=tables\/(\S+) version=(\d+)/.exec(line))
        .filter(match => match?.[1] === service)
        .map(match => Number(match?.[2])),
    heal: async () => {
      await site.platform.set({mode: 'up', delayMs: 0, loseAnswers: 0});
      for (const host of hosts) {
        site.processes.signal(host, 'SIGCONT');
      }
    },
    close: async () => {
      rmSync(directory, {recursive: true});
      await site.close();
    },
  };
}

/** Returns a host that is no relay of its data centre. */
export function findFollower(tables: TableSite, dataCentre: string): string {
  return tables.relaysFirst(dataCentre)[RELAYS]!;
}
