/** A site of several services whose tables are edited with the CLI. */

import {execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect, vi} from 'vitest';
import {orderByRendezvous} from '@lacewingroad/core';
import {LINKS, formatHostPort, launchSite} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {callOperator} from './failure_site.js';

/** Documented bound within which an edit is in force on all hosts, in ms. */
export const IN_FORCE_MS = 5_000;
/** Relays per data centre; there are more hosts, so that one is not a relay. */
const RELAYS = 2;
const HOSTS_PER_DATA_CENTRE = 3;
const CLI = fileURLToPath(
  new URL('../../../../cli/dist/main.js', import.meta.url),
);
const WAIT = {timeout: 20_000, interval: 50};

/** Exit code and output of a CLI command. */
export interface CommandResult {
  readonly code: number;
  readonly output: string;
}

/** The table in force on a host. */
export interface TableInForce {
  readonly version: number;
  readonly worth: number | undefined;
}

/** The response of GET /table. */
interface TablePage {
  readonly tables: readonly {
    readonly service: string;
    readonly version: number;
    readonly rows: readonly {readonly kind: string; readonly worth: number}[];
  }[];
}

/** A site whose tables are edited with the CLI. */
export interface TableSite {
  readonly site: Site;
  readonly hosts: readonly string[];
  /** Hosts of a data centre, the relays first. */
  readonly relaysFirst: (dataCentre: string) => readonly string[];
  /** Writes a table to a file, replaces text in it and returns the path. */
  readonly prepareEdit: (
    service: string,
    from: RegExp,
    to: string,
  ) => Promise<string>;
  readonly apply: (file: string, by: string) => Promise<CommandResult>;
  readonly read: (host: string, service: string) => Promise<TableInForce>;
  /** Waits until the platform holds a version. */
  readonly waitUntilStored: (service: string, version: number) => Promise<void>;
  /** Waits until hosts have a version in force; returns the elapsed ms. */
  readonly waitUntilInForce: (
    service: string,
    version: number,
    hosts?: readonly string[],
  ) => Promise<number>;
  /** Returns versions of a table in the order in which a host applied them. */
  readonly history: (host: string, service: string) => readonly number[];
  /** Ends platform faults and resumes paused processes. */
  readonly clearFaults: () => Promise<void>;
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

  const runCommand = (args: readonly string[]): Promise<CommandResult> => {
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
    const table = page.tables.find(entry => entry.service === service);
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
    prepareEdit: async (service, from, to) => {
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
    waitUntilStored: (service, version) =>
      vi.waitFor(async () => {
        const objects = await site.platform.objects();
        const table = objects.find(({key}) => key === `tables/${service}`);
        expect(table?.version).toBe(version);
      }, WAIT),
    waitUntilInForce: async (service, version, among = hosts) => {
      const since = Date.now();
      for (const host of among) {
        await vi.waitFor(async () => {
          const table = await read(host, service);
          expect(table.version).toBeGreaterThanOrEqual(version);
        }, WAIT);
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
    clearFaults: async () => {
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

/** Returns a host that is not a relay of its data centre. */
export function findNonRelay(tables: TableSite, dataCentre: string): string {
  return tables.relaysFirst(dataCentre)[RELAYS]!;
}
