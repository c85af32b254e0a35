/**
 * Keys that are added, taken away and given to other workspaces, at random and
 * on hosts of which some are cut off from the store or from each other. An
 * endpoint never runs a statement for a workspace that did not hold the key of
 * its caller, and a change is in force in time. More runs: `KEY_RUNS=1000`.
 */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {Access} from '../../decisions/access.js';
import {checkAccess, isAccessRevoked} from '../../decisions/access.js';
import type {RouteTable} from '../../model/directory.js';
import {createFleet, DATABASE, TABLE} from '../fake_fleet.js';
import type {Fleet} from '../fake_fleet.js';

const CENTRES = ['lima-a', 'lima-b', 'lima-c'];
const RUNS = Number(process.env['KEY_RUNS'] ?? 25);
const SEED = 20261206;
const STEPS = 14;
const KEYS = ['k1', 'k2', 'k3'];
const NAMES = ['red', 'green', null];
/** Time after which a change must be in force, in ms. */
const APPLY_MS = 5_000;
const FIRST_CALLER = 1_000;

/** A table with the owners of all keys; `null` for a key that is unknown. */
function createTable(
  version: number,
  owners: ReadonlyMap<string, string | null>,
): RouteTable {
  const held = [...owners].filter(
    (pair): pair is [string, string] => pair[1] !== null,
  );
  return {
    ...TABLE,
    version,
    workspaces: {
      limits: new Map(
        NAMES.flatMap(name => (name === null ? [] : [[name, null]])),
      ),
      owners: new Map(held),
    },
  };
}

describe('access to a database', () => {
  const route = TABLE.routes.get(DATABASE)!;
  const table = createTable(5, new Map([['k1', 'red']]));
  const publicTable = {
    ...table,
    routes: new Map([[DATABASE, {...route, isPublic: true}]]),
  };
  const granted = (workspace: string | null): Access => ({
    type: 'granted',
    workspace,
  });

  it('needs a known key, unless the route is public', () => {
    expect(checkAccess(table, DATABASE, 'k1')).toEqual(granted('red'));
    for (const key of ['k2', null]) {
      expect(checkAccess(table, DATABASE, key)).toEqual({type: 'unknown_key'});
      expect(checkAccess(publicTable, DATABASE, key)).toEqual(granted(null));
    }
    expect(checkAccess(publicTable, DATABASE, 'k1')).toEqual(granted('red'));
  });

  it('needs no key where the table has no workspaces', () => {
    for (const key of ['k1', null]) {
      expect(checkAccess(TABLE, DATABASE, key)).toEqual(granted(null));
    }
  });

  it('says that a database is unknown before it looks at the key', () => {
    expect(checkAccess(table, 'other', null)).toEqual({type: 'no_database'});
  });

  const claim = {
    database: DATABASE,
    workspace: 'red',
    keyDigest: 'k1',
    tableVersion: 5,
  };

  it('is revoked at the owner if the key is gone or moved', () => {
    expect(isAccessRevoked(table, claim)).toBe(false);
    const gone = createTable(6, new Map());
    const moved = createTable(6, new Map([['k1', 'green']]));
    expect(isAccessRevoked(gone, claim)).toBe(true);
    expect(isAccessRevoked(moved, claim)).toBe(true);
    expect(isAccessRevoked(null, claim)).toBe(false);
  });

  // A new key was refused by an owner that had not received the table yet.
  it('is not judged by a table older than that of the entry host', () => {
    const older = createTable(4, new Map());
    expect(isAccessRevoked(older, claim)).toBe(false);
  });

  it('stays for a route that was dropped, for transactions that began before', () => {
    const dropped = {...table, version: 6, routes: new Map()};
    expect(isAccessRevoked(dropped, claim)).toBe(false);
  });
});

type Step =
  | {readonly type: 'give'; readonly key: number; readonly name: number}
  | {
      readonly type: 'cut' | 'refuse' | 'isolate' | 'heal';
      readonly host: number;
    }
  | {readonly type: 'down' | 'up'};

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      type: fc.constant('give' as const),
      key: fc.nat(KEYS.length - 1),
      name: fc.nat(NAMES.length - 1),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constantFrom('cut', 'refuse', 'isolate', 'heal'),
      host: fc.nat(5),
    }),
  },
  {weight: 1, arbitrary: fc.record({type: fc.constantFrom('down', 'up')})},
);

/** Owners of the keys from an instant on. */
interface Epoch {
  readonly at: number;
  readonly owners: ReadonlyMap<string, string | null>;
}

/** Statements of callers with each key at each host, and what the tables say. */
class Play {
  readonly fleet: Fleet = createFleet(CENTRES, 2);
  readonly keyOf = new Map<string, string>();
  readonly sentAt = new Map<string, number>();
  readonly epochs: Epoch[] = [];
  #nextCaller = FIRST_CALLER;
  #version = 1;

  give(key: string, name: string | null): void {
    const owners = new Map(this.epochs.at(-1)?.owners ?? []).set(key, name);
    this.epochs.push({at: this.fleet.runtime.now(), owners});
    this.fleet.setTable(createTable(++this.#version, owners));
  }

  apply(action: Step): void {
    const {fleet} = this;
    const names = [...fleet.hosts.keys()];
    switch (action.type) {
      case 'give':
        this.give(KEYS[action.key]!, NAMES[action.name]!);
        return;
      case 'cut':
        fleet.cutPair(names[action.host]!, names[(action.host + 1) % 6]!);
        return;
      case 'refuse':
        fleet.store.refusedHosts.add(names[action.host]!);
        return;
      case 'isolate':
        fleet.cut(names[action.host]!);
        return;
      case 'heal':
        fleet.store.refusedHosts.delete(names[action.host]!);
        fleet.heal(names[action.host]!);
        return;
      default:
        fleet.store.isDown = action.type === 'down';
    }
  }

  /** Sends a write with each key through each host. */
  send(): void {
    for (const [name, {host}] of this.fleet.hosts) {
      for (const key of KEYS) {
        const caller = this.#nextCaller++;
        if (host.entry.open(caller, DATABASE, key) !== 'opened') {
          continue;
        }
        const request = `${name}-${caller}`;
        this.keyOf.set(request, key);
        this.sentAt.set(request, this.fleet.runtime.now());
        const text = `PUT ${caller}`;
        host.entry.serve(caller, request, {type: 'run', access: 'write', text});
      }
    }
  }

  /** Returns the workspaces that held a key within a span of time. */
  listHolders(key: string, from: number, to: number): Set<string | null> {
    const holders = new Set<string | null>();
    this.epochs.forEach(({at, owners}, index) => {
      const end = this.epochs[index + 1]?.at ?? Infinity;
      if (at <= to && end > from) {
        holders.add(owners.get(key) ?? null);
      }
    });
    return holders;
  }

  /**
   * A statement ran for a workspace that held its key at some time, and within
   * the time that a change needs unless a host or the store was unreachable.
   */
  check(isConnected: boolean): void {
    for (const {request, workspace, at} of this.fleet.group.ran) {
      const key = this.keyOf.get(request!)!;
      expect(workspace).not.toBeNull();
      const since = isConnected ? this.sentAt.get(request!)! - APPLY_MS : 0;
      expect(this.listHolders(key, since, at)).toContain(workspace);
    }
  }
}

async function start(): Promise<Play> {
  const play = new Play();
  KEYS.forEach((key, index) => play.give(key, index === 0 ? 'red' : 'green'));
  await play.fleet.passTime(7_000);
  return play;
}

it('keeps keys and workspaces together under random changes and cuts', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, {minLength: STEPS, maxLength: STEPS}),
      fc.array(fc.integer({min: 20, max: 900}), {
        minLength: STEPS,
        maxLength: STEPS,
      }),
      async (steps, waits) => {
        const play = await start();
        for (const [index, action] of steps.entries()) {
          play.apply(action);
          play.send();
          await play.fleet.passTime(waits[index]!);
        }
        const isConnected = steps.every(({type}) => type === 'give');
        play.check(isConnected);
        // Once all is healed, every host knows the last change.
        play.fleet.store.isDown = false;
        play.fleet.store.refusedHosts.clear();
        [...play.fleet.hosts.keys()].forEach(name => play.fleet.heal(name));
        await play.fleet.passTime(18_000);
        const before = play.fleet.group.ran.length;
        play.send();
        await play.fleet.passTime(1_500);
        const {owners} = play.epochs.at(-1)!;
        const late = play.fleet.group.ran.slice(before);
        for (const {request, workspace} of late) {
          expect(workspace).toBe(owners.get(play.keyOf.get(request!)!));
        }
        const held = KEYS.filter(key => (owners.get(key) ?? null) !== null);
        expect(late).toHaveLength(held.length * play.fleet.hosts.size);
      },
    ),
    {numRuns: RUNS, seed: SEED, endOnFailure: true},
  );
}, 200_000);

it('keeps to a change in time while all hosts reach the store', async () => {
  const play = await start();
  for (let turn = 0; turn < 20; turn++) {
    play.give(KEYS[turn % 3]!, NAMES[(turn * 2 + 1) % 3]!);
    for (let part = 0; part < 4; part++) {
      play.send();
      await play.fleet.passTime(150);
    }
  }
  play.check(true);
  expect(play.fleet.group.ran.length).toBeGreaterThan(500);
}, 60_000);
