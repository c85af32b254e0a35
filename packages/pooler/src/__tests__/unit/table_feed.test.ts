/** How changes of the routing table reach the hosts of large data centres. */

import {beforeEach, describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {OpenResult} from '../../entry/entry.js';
import type {PoolMessage} from '../../model/message.js';
import {createFleet, DATABASE, TABLE} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];
const HOSTS_PER_CENTRE = 10;
/** Time in which a changed table must be in force, in ms. */
const IN_FORCE_MS = 3_000;
/** What the smallest host's link carries in a second: 7 Mbit. */
const LINK_BYTES_PER_S = 875_000;

let fleet: Fleet;
let nextCaller = 1_000;

/** Lists the watchers of the table in one data centre. */
function listRelays(centre: string): readonly string[] {
  return fleet.listTableWatchers().filter(name => name.startsWith(centre));
}

/** Returns the hosts at which the database is not known. */
function listHostsWithout(database: string): readonly string[] {
  return [...fleet.hosts.values()]
    .filter(
      ({isUp, host}) =>
        isUp && host.entry.open(nextCaller++, database) !== 'opened',
    )
    .map(({name}) => name);
}

function addDatabase(database: string, version: number): void {
  const route = TABLE.routes.get(DATABASE)!;
  const routes = new Map([...TABLE.routes, [database, {...route, database}]]);
  fleet.setTable({...TABLE, version, routes});
}

/** Adds databases whose names and limits have little in common. */
function addDatabases(count: number, version: number): void {
  const random = createVirtualRuntime(version).random;
  const route = TABLE.routes.get(DATABASE)!;
  const routes = Array.from({length: count}, (_, i) => ({
    ...route,
    database: `db${i}`,
    group: `g${Math.floor(random() * 1e9).toString(36)}`,
    timeoutMs: Math.floor(random() * 3_000),
  }));
  fleet.setTable({
    ...TABLE,
    version,
    routes: new Map([
      ...TABLE.routes,
      ...routes.map(added => [added.database, added] as const),
    ]),
  });
}

/** Returns the size of the table in a message, as it is sent to a host. */
function measureTable(msg: PoolMessage): {bytes: number; hasTable: boolean} {
  const table = msg.type === 'table_news' ? msg.table : null;
  if (table === null) {
    return {bytes: 0, hasTable: false};
  }
  const bytes =
    table instanceof Uint8Array ? table.length : JSON.stringify(table).length;
  return {bytes, hasTable: true};
}

beforeEach(async () => {
  fleet = createFleet(CENTRES, HOSTS_PER_CENTRE);
  await fleet.passTime(6_000);
});

describe('a table change', () => {
  it('is watched by two hosts of each data centre, not by all', async () => {
    for (const centre of CENTRES) {
      expect(listRelays(centre)).toHaveLength(2);
    }
    addDatabase('new', 2);
    await fleet.passTime(100);
    expect(listHostsWithout('new')).toEqual([]);
  });

  it('is in force in time when the store is silent for both relays', async () => {
    listRelays('lima-a').forEach(name => fleet.store.refusedHosts.add(name));
    const refused = [...fleet.store.refusedHosts];
    await fleet.passTime(300);
    addDatabase('new', 2);
    await fleet.passTime(IN_FORCE_MS);
    const late = listHostsWithout('new');
    expect(late.filter(name => !refused.includes(name))).toEqual([]);
  });

  it('is in force in time when both relays are suspended', async () => {
    const relays = listRelays('lima-b');
    relays.forEach(fleet.pause);
    await fleet.passTime(300);
    addDatabase('new', 2);
    await fleet.passTime(IN_FORCE_MS);
    const late = listHostsWithout('new');
    expect(late.filter(name => !relays.includes(name))).toEqual([]);
    relays.forEach(fleet.resume);
    await fleet.passTime(IN_FORCE_MS);
    expect(listHostsWithout('new')).toEqual([]);
  });

  it('finds new relays after the loss of both', async () => {
    const relays = listRelays('lima-c');
    relays.forEach(fleet.kill);
    await fleet.passTime(8_000);
    const next = listRelays('lima-c');
    expect(next).toHaveLength(2);
    expect(next.filter(name => relays.includes(name))).toEqual([]);
    addDatabase('new', 2);
    await fleet.passTime(100);
    expect(listHostsWithout('new')).toEqual([]);
  });

  it('is never undone by a relay with an older table', async () => {
    const [relay] = listRelays('lima-a');
    fleet.store.refusedHosts.add(relay!);
    addDatabase('new', 2);
    await fleet.passTime(IN_FORCE_MS);
    for (let passed = 0; passed < 5_000; passed += 250) {
      await fleet.passTime(250);
      expect(listHostsWithout('new').filter(name => name !== relay)).toEqual(
        [],
      );
    }
  });

  it('is not undone at a restarted host beside relays with an older table', async () => {
    const relays = listRelays('lima-a');
    relays.forEach(name => fleet.store.refusedHosts.add(name));
    fleet.setTable({...TABLE, version: 2, routes: new Map()});
    await fleet.passTime(IN_FORCE_MS);
    const name = [...fleet.hosts.keys()].find(
      host => host.startsWith('lima-a') && !relays.includes(host),
    )!;
    fleet.kill(name);
    await fleet.passTime(500);
    fleet.start(name);
    const results: OpenResult[] = [];
    for (let passed = 0; passed < 4_000; passed += 20) {
      await fleet.passTime(20);
      results.push(fleet.get(name).host.entry.open(nextCaller++, DATABASE));
    }
    const knownAt = results.findIndex(result => result !== 'starting');
    expect(knownAt).toBeGreaterThanOrEqual(0);
    expect(new Set(results.slice(knownAt))).toEqual(new Set(['no_database']));
  });

  // Relays that sent a large table to each host as often as it asked filled
  // their links for seconds: heartbeats were late, and sessions were cut.
  it('with 1,800 routes goes to each host once and leaves room on the link', async () => {
    fleet = createFleet(CENTRES, 20);
    await fleet.passTime(6_000);
    const tableBytes = new Map<string, number>();
    const received: string[] = [];
    fleet.messageObservers.add((from, to, msg) => {
      const {bytes, hasTable} = measureTable(msg);
      tableBytes.set(from, (tableBytes.get(from) ?? 0) + bytes);
      if (hasTable) {
        received.push(to);
      }
    });
    addDatabases(1_800, 2);
    await fleet.passTime(IN_FORCE_MS);
    expect(listHostsWithout('db1799')).toEqual([]);
    expect(new Set(received).size).toBe(received.length);
    for (const bytes of tableBytes.values()) {
      expect(bytes).toBeLessThan(LINK_BYTES_PER_S);
    }
  });

  it('reaches a small data centre by watches of all its hosts', async () => {
    fleet = createFleet(CENTRES, 3);
    await fleet.passTime(6_000);
    expect(fleet.listTableWatchers()).toHaveLength(9);
  });
});
