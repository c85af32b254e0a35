/** Faults around a change of primary in virtual time, and checks of the rules. */

import {expect} from 'vitest';
import type {Promote} from '../ports.js';
import {DATABASE} from './fake_fleet.js';
import type {Fleet} from './fake_fleet.js';
import type {FakeEndpoint} from './fake_group.js';

/** Interval of writes, in ms: some are always on their way. */
const WRITE_INTERVAL_MS = 4;
/** Time from a crash until its entry expires, in ms. */
const EXPIRY_MS = 2_500;

/** Delay of a call that the platform runs late, in ms. */
const LATE_CALL_MS = 700;

export interface Step {
  readonly fault: keyof typeof FAULTS;
  readonly target: number;
  readonly waitMs: number;
}

export interface World {
  readonly fleet: Fleet;
  /** How the platform handles the next promotion calls. */
  control: 'well' | 'loses_answers' | 'late' | 'refuses';
}

type ApplyFault = (world: World, target: number) => void;

function listEndpoints({fleet}: World): readonly FakeEndpoint[] {
  return [...fleet.group.endpoints.values()];
}

function findPrimary(world: World): FakeEndpoint {
  return listEndpoints(world)
    .filter(({role}) => role === 'primary')
    .reduce((best, other) => (other.term > best.term ? other : best));
}

function pickReplica(world: World, target: number): FakeEndpoint | undefined {
  const replicas = listEndpoints(world).filter(
    ({role, isUnresponsive}) => role === 'replica' && !isUnresponsive,
  );
  return replicas[target % replicas.length];
}

function pickHost({fleet}: World, target: number): string {
  const names = [...fleet.hosts.keys()];
  return names[target % names.length]!;
}

function findOwner(world: World, target: number): string {
  return world.fleet.listActiveOwners()[0] ?? pickHost(world, target);
}

function crash(world: World, endpoint: FakeEndpoint | undefined): void {
  const {fleet} = world;
  const isOneDown = listEndpoints(world).some(
    ({isUnresponsive}) => isUnresponsive,
  );
  if (endpoint === undefined || isOneDown) {
    return;
  }
  endpoint.isUnresponsive = true;
  endpoint.unconfirmed = [];
  endpoint.reset();
  const {id} = endpoint.entry;
  fleet.runtime.at(fleet.runtime.now() + EXPIRY_MS, () => {
    if (endpoint.isUnresponsive) {
      fleet.store.unlisted.add(id);
    }
  });
}

/** Starts crashed endpoints again, as new runs; each has its log. */
export function startEndpoints({fleet}: World): void {
  for (const [id, endpoint] of fleet.group.endpoints) {
    if (endpoint.isUnresponsive) {
      endpoint.isUnresponsive = false;
      const startedAt = Math.round(fleet.runtime.now()) + 1;
      endpoint.entry = {...endpoint.entry, startedAt};
    }
    fleet.store.unlisted.delete(id);
  }
  fleet.group.catchUp();
}

function bounce({fleet}: World, name: string): void {
  fleet.kill(name);
  fleet.start(name);
}

function cutFromPrimary(world: World, target: number): void {
  const {id} = findPrimary(world).entry;
  world.fleet.cutPairs.add([findOwner(world, target), id].sort().join('~'));
}

export const FAULTS = {
  crashPrimary: world => crash(world, findPrimary(world)),
  crashReplica: (world, target) => crash(world, pickReplica(world, target)),
  startEndpoints,
  deafReplica: (world, target) => {
    const replica = pickReplica(world, target);
    if (replica !== undefined) {
      replica.isDeaf = true;
    }
  },
  hear: world => {
    listEndpoints(world).forEach(endpoint => {
      endpoint.isDeaf = false;
      endpoint.unheard.clear();
    });
    world.fleet.group.catchUp();
  },
  unhear: (world, target) => {
    const [one, other] = [target, target + 1].map(
      at => listEndpoints(world)[at % 3]!,
    );
    one!.unheard.add(other!.entry.id);
    other!.unheard.add(one!.entry.id);
  },
  cutFromPrimary,
  powerCycle: world =>
    [...world.fleet.hosts.keys()].forEach(name => bounce(world, name)),
  bounceOwner: (world, target) => bounce(world, findOwner(world, target)),
  handOver: (world, target) =>
    void world.fleet.get(findOwner(world, target)).host.handOver(),
  pauseOwner: (world, target) => {
    const {fleet} = world;
    const name = findOwner(world, target);
    fleet.pause(name);
    fleet.runtime.at(fleet.runtime.now() + 1_300, () => fleet.resume(name));
  },
  healHost: (world, target) => world.fleet.heal(pickHost(world, target)),
  loseAnswers: world => {
    world.control = 'loses_answers';
  },
  delayCalls: world => {
    world.control = 'late';
  },
  refuseCalls: world => {
    world.control = 'refuses';
  },
  restoreControl: world => {
    world.control = 'well';
  },
  leave: world => {
    const primary = findPrimary(world);
    primary.entry = {...primary.entry, isLeaving: true};
  },
  stay: world =>
    listEndpoints(world).forEach(endpoint => {
      endpoint.entry = {...endpoint.entry, isLeaving: false};
    }),
} as const satisfies Record<string, ApplyFault>;

/** Makes the platform handle calls as the world says. */
export function breakControl(world: World): void {
  const {group, runtime} = world.fleet;
  const {promote} = group;
  const handlers: Readonly<Record<World['control'], Promote>> = {
    well: promote,
    loses_answers: call => {
      void promote(call);
      return Promise.resolve({type: 'unknown', detail: 'no answer'});
    },
    late: call => {
      runtime.at(runtime.now() + LATE_CALL_MS, () => void promote(call));
      return Promise.resolve({type: 'unknown', detail: 'no answer'});
    },
    refuses: () => Promise.resolve({type: 'not_sent', detail: 'refused'}),
  };
  group.promote = call => handlers[world.control](call);
}

export interface Watch {
  /** Broken rules. */
  readonly faults: string[];
  readonly ackedAt: ReadonlyMap<string, number>;
  readonly check: () => void;
  nextCaller: number;
}

/** Watches the commits that callers were told of. */
export function watchRules(world: World): Watch {
  const {fleet} = world;
  const {group, runtime, hosts} = fleet;
  const faults: string[] = [];
  const ackedAt = new Map<string, number>();
  const seen = new Map<string, number>();
  const promoted: {at: number; id: string}[] = [];
  const check = (): void => {
    for (const {name, replies} of hosts.values()) {
      for (const {caller, at, reply} of replies.slice(seen.get(name) ?? 0)) {
        if (reply.type !== 'done') {
          continue;
        }
        const text = `PUT ${caller}`;
        ackedAt.set(text, at);
        const run = group.ran.find(other => other.text === text);
        const last = promoted.findLast(
          ({at}) => run !== undefined && at < run.at,
        );
        if (last !== undefined && last.id !== run!.endpoint) {
          faults.push(
            `ONE: ${text} at ${run!.endpoint}, ${Math.round(run!.at - last.at)} ms after the promotion of ${last.id}`,
          );
        }
      }
      seen.set(name, replies.length);
    }
  };
  group.onPromoted = endpoint => {
    check();
    const held = new Set(endpoint.log);
    const missing = [...ackedAt.keys()].filter(text => !held.has(text));
    if (missing.length > 0) {
      faults.push(`LOST: ${endpoint.entry.id} lacks ${missing.length}`);
    }
    promoted.push({at: runtime.now(), id: endpoint.entry.id});
  };
  return {faults, ackedAt, check, nextCaller: 1};
}

/** Writes through one host after the other while time passes. */
export async function passTime(
  fleet: Fleet,
  watch: Watch,
  ms: number,
): Promise<void> {
  const hosts = [...fleet.hosts.values()];
  for (let passed = 0; passed < ms; passed += WRITE_INTERVAL_MS) {
    const {host, isUp, isPaused} = hosts[watch.nextCaller % hosts.length]!;
    const caller = watch.nextCaller++;
    if (isUp && !isPaused && host.entry.open(caller, DATABASE) === 'opened') {
      const text = `PUT ${caller}`;
      host.entry.serve(caller, text, {type: 'run', access: 'write', text});
    }
    await fleet.passTime(WRITE_INTERVAL_MS);
    watch.check();
    expect(watch.faults).toEqual([]);
  }
}
