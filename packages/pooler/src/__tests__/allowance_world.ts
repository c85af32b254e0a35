/**
 * Owners that limit workspaces, simulated in virtual time with links that lose,
 * delay and duplicate messages. A small queue stands for each pool.
 */

import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {Runtime, VirtualRuntime} from '@lacewingroad/runtime';
import type {AllowanceTolerance} from '../decisions/allowance_homes.js';
import type {RateLimit, RouteTable} from '../model/directory.js';
import type {PoolMessage} from '../model/message.js';
import {createAllowances} from '../owner/allowances.js';
import type {Allowances} from '../owner/allowances.js';

export const TOLERANCE: AllowanceTolerance = {
  windowMs: 5_000,
  overShare: 0.1,
  slack: 20,
};
/** Time from the loss of an owner until another one acts, in ms. */
const TAKEOVER_MS = 2_000;
/** Time for which a lease is valid after its owner was frozen or cut, in ms. */
const LEASE_MS = 1_500;
const LINK_MS = 1.5;
const POOL_TICK_MS = 20;

interface WorldHost {
  readonly name: string;
  allowances: Allowances;
  isUp: boolean;
  frozenAt: number | null;
  pausedMs: number;
  starts: number;
  table: RouteTable;
  held: (() => void)[];
}

interface WorldGroup {
  owner: string;
  leaseUntil: number;
  /** No endpoint runs anything before this time. */
  stalledUntil: number;
}

/** An operation at an owner. */
interface WorldOperation {
  readonly request: string;
  readonly workspace: string;
  readonly group: string;
  readonly host: WorldHost;
  readonly starts: number;
  readonly readyAt: number;
  readonly deadline: number;
}

/** What happened to the operations of a workspace. */
export interface Tally {
  readonly startedAt: number[];
  readonly refusedAt: number[];
  readonly heldMs: number[];
  readonly retryAfterMs: number[];
  offered: number;
  expired: number;
}

/** Chances and delays of messages between hosts. */
export interface LinkFaults {
  lostShare: number;
  doubledShare: number;
  delayMs: number;
}

/** A simulated set of owners. */
export interface AllowanceWorld {
  readonly runtime: VirtualRuntime;
  readonly groups: ReadonlyMap<string, WorldGroup>;
  readonly links: LinkFaults;
  readonly cutPairs: Set<string>;
  readonly messages: {
    readonly at: number;
    readonly from: string;
    readonly to: string;
    readonly msg: PoolMessage;
  }[];
  readonly logs: {readonly event: string; readonly host: string}[];
  readonly getHost: (name: string) => WorldHost;
  readonly tally: (workspace: string) => Tally;
  /** Sends an operation to the owner of a group. */
  readonly offer: (workspace: string, group: string, rank?: number) => void;
  /** Sends operations at random intervals to groups until an instant. */
  readonly offerSteadily: (
    workspace: string,
    groups: readonly string[],
    perSecond: number,
    until: number,
  ) => void;
  readonly setLimit: (
    workspace: string,
    limit: RateLimit | null,
    delayMs: (host: string) => number,
  ) => void;
  readonly kill: (host: string) => void;
  readonly freeze: (host: string, ms: number) => void;
  readonly cut: (host: string, ms: number) => void;
  readonly move: (group: string, to: string) => void;
  readonly stall: (group: string, ms: number) => void;
  /** Delivers a message to a host, as if it came from another one. */
  readonly deliver: (from: string, to: string, msg: PoolMessage) => void;
}

const TARGET_MS = 400;
const DEADLINE_MS = 4_000;

function pairKey(a: string, b: string): string {
  return [a, b].sort().join('~');
}

/** Creates a world in which each host owns one group. */
export function createAllowanceWorld(
  count: number,
  limits: ReadonlyMap<string, RateLimit | null>,
  seed = 1,
): AllowanceWorld {
  const runtime = createVirtualRuntime(seed);
  const hosts = new Map<string, WorldHost>();
  const groups = new Map<string, WorldGroup>();
  const tallies = new Map<string, Tally>();
  const links: LinkFaults = {lostShare: 0, doubledShare: 0, delayMs: 0};
  const cutPairs = new Set<string>();
  const messages: AllowanceWorld['messages'] = [];
  const logs: AllowanceWorld['logs'] = [];
  const queue = new Set<WorldOperation>();
  let nextRequest = 1;
  let version = 1;

  const getHost = (name: string): WorldHost => hosts.get(name)!;
  const tally = (workspace: string): Tally => {
    const known = tallies.get(workspace);
    if (known !== undefined) {
      return known;
    }
    const created: Tally = {
      startedAt: [],
      refusedAt: [],
      heldMs: [],
      retryAfterMs: [],
      offered: 0,
      expired: 0,
    };
    tallies.set(workspace, created);
    return created;
  };

  const run = (host: WorldHost, starts: number, fn: () => void): void => {
    if (!host.isUp || host.starts !== starts) {
      return;
    }
    if (host.frozenAt !== null) {
      host.held.push(() => run(host, starts, fn));
      return;
    }
    fn();
  };

  const isActiveOwner = (host: WorldHost, group: string): boolean => {
    const known = groups.get(group);
    return (
      known?.owner === host.name &&
      host.isUp &&
      runtime.now() < known.leaseUntil
    );
  };

  const deliver = (from: string, to: string, msg: PoolMessage): void => {
    const host = getHost(to);
    run(host, host.starts, () => {
      if (msg.type === 'allowance_ask') {
        host.allowances.exchange.handleAsk(from, msg);
      } else if (msg.type === 'allowance_grant') {
        host.allowances.exchange.handleGrant(from, msg);
      }
    });
  };

  const send = (from: string, to: string, msg: PoolMessage): void => {
    messages.push({at: runtime.now(), from, to, msg});
    if (runtime.random() < links.lostShare) {
      return;
    }
    const copies = runtime.random() < links.doubledShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const delayMs = LINK_MS + runtime.random() * links.delayMs;
      runtime.at(runtime.now() + delayMs, () => {
        if (!cutPairs.has(pairKey(from, to))) {
          deliver(from, to, msg);
        }
      });
    }
  };

  /** The monotonic clock stops while the process is frozen. */
  const createClock = (host: WorldHost): Runtime => ({
    now: () => runtime.now() - host.pausedMs,
    wallNow: () => 1e6 + runtime.now(),
    random: runtime.random,
    at: (at, fn) => {
      const {starts} = host;
      return runtime.at(at + host.pausedMs, () => run(host, starts, fn));
    },
  });

  const start = (host: WorldHost): void => {
    host.starts++;
    host.isUp = true;
    host.held = [];
    host.frozenAt = null;
    host.allowances = createAllowances({
      self: host.name,
      tolerance: TOLERANCE,
      ports: {
        runtime: createClock(host),
        record: (_level, event) => logs.push({event, host: host.name}),
        send: (to, msg) => send(host.name, to, msg),
      },
      readTable: () => host.table,
      isActiveOwner: group => isActiveOwner(host, group),
      isLinked: other => !cutPairs.has(pairKey(host.name, other)),
      findOwner: group => groups.get(group)?.owner ?? null,
    });
  };

  const setOwner = (group: string, to: string): void => {
    const before = getHost(groups.get(group)!.owner);
    groups.set(group, {...groups.get(group)!, owner: to, leaseUntil: Infinity});
    run(before, before.starts, () => before.allowances.noteLost(group));
    const next = getHost(to);
    next.allowances.noteGained(group);
  };

  const findOther = (name: string): WorldHost | undefined =>
    [...hosts.values()].find(
      other => other.name !== name && other.isUp && other.frozenAt === null,
    );

  /** Ends the leases of a host that is gone, and finds other owners later. */
  const replaceOwner = (name: string, leaseMs: number): void => {
    const now = runtime.now();
    for (const [group, known] of groups) {
      if (known.owner !== name || known.leaseUntil !== Infinity) {
        continue;
      }
      known.leaseUntil = now + leaseMs;
      const takeOver = (): void => {
        const other = findOther(name);
        if (groups.get(group)!.owner !== name) {
          return;
        }
        if (other === undefined) {
          runtime.at(runtime.now() + TAKEOVER_MS, takeOver);
          return;
        }
        setOwner(group, other.name);
      };
      runtime.at(now + TAKEOVER_MS, takeOver);
    }
  };

  const reach = (operation: WorldOperation): boolean => {
    const {host, group, request, workspace} = operation;
    const now = runtime.now();
    if (host.starts !== operation.starts || !host.isUp) {
      return true;
    }
    if (host.frozenAt !== null) {
      return false;
    }
    if (now >= operation.deadline || groups.get(group)!.owner !== host.name) {
      tally(workspace).expired++;
      host.allowances.gate.end(request);
      return true;
    }
    const isReady =
      now >= operation.readyAt &&
      now >= groups.get(group)!.stalledUntil &&
      isActiveOwner(host, group);
    if (!isReady || !host.allowances.gate.mayStart(request)) {
      return false;
    }
    host.allowances.gate.start(request);
    tally(workspace).startedAt.push(now);
    host.allowances.gate.end(request);
    return true;
  };

  const drain = (): void => {
    for (const operation of queue) {
      if (reach(operation)) {
        queue.delete(operation);
      }
    }
  };
  const tick = (): void => {
    drain();
    runtime.at(runtime.now() + POOL_TICK_MS, tick);
  };

  const refuse = (workspace: string, since: number, retryMs: number): void => {
    const known = tally(workspace);
    known.refusedAt.push(runtime.now());
    known.heldMs.push(runtime.now() - since);
    known.retryAfterMs.push(retryMs);
  };

  const offer = (workspace: string, group: string, rank = 1): void => {
    const known = groups.get(group)!;
    const host = getHost(known.owner);
    const isServed = host.isUp && host.frozenAt === null;
    if (!isServed || !isActiveOwner(host, group)) {
      return;
    }
    tally(workspace).offered++;
    const now = runtime.now();
    const clock = now - host.pausedMs;
    const operation: WorldOperation = {
      request: `r${nextRequest++}`,
      workspace,
      group,
      host,
      starts: host.starts,
      readyAt: now,
      deadline: now + DEADLINE_MS,
    };
    const answer = host.allowances.gate.admit({
      request: operation.request,
      workspace,
      rank,
      targetAt: clock + TARGET_MS,
      isOwnerActive: true,
      onGranted: drain,
      onRefused: retryMs => {
        queue.delete(operation);
        refuse(workspace, now, retryMs);
      },
    });
    if (answer.type === 'refused') {
      refuse(workspace, now, answer.retryAfterMs);
      return;
    }
    queue.add(operation);
    if (reach(operation)) {
      queue.delete(operation);
    }
  };

  const createTable = (): RouteTable => ({
    version: version++,
    routes: new Map(),
    groups: new Map(
      [...groups.keys()].map(group => [
        group,
        {maxConnections: 60, syncReplicas: 1},
      ]),
    ),
    txIdleMs: 3_000,
    workspaces: {limits: new Map(limits), owners: new Map()},
  });

  for (let number = 1; number <= count; number++) {
    groups.set(`g${number}`, {
      owner: `h${number}`,
      leaseUntil: Infinity,
      stalledUntil: 0,
    });
  }
  let table = createTable();
  for (let number = 1; number <= count; number++) {
    const host: WorldHost = {
      name: `h${number}`,
      allowances: null as unknown as Allowances,
      isUp: true,
      frozenAt: null,
      pausedMs: 0,
      starts: 0,
      table,
      held: [],
    };
    hosts.set(host.name, host);
    start(host);
    host.allowances.noteGained(`g${number}`);
  }
  tick();

  const offerSteadily: AllowanceWorld['offerSteadily'] = (
    workspace,
    among,
    perSecond,
    until,
  ) => {
    const next = (): void => {
      const gapMs = (-Math.log(1 - runtime.random()) * 1_000) / perSecond;
      const at = runtime.now() + gapMs;
      if (at < until) {
        runtime.at(at, () => {
          offer(workspace, among[Math.floor(runtime.random() * among.length)]!);
          next();
        });
      }
    };
    next();
  };

  return {
    runtime,
    groups,
    links,
    cutPairs,
    messages,
    logs,
    getHost,
    tally,
    offer,
    offerSteadily,
    deliver,
    setLimit: (workspace, limit, delayMs) => {
      const {workspaces} = table;
      table = {
        ...createTable(),
        workspaces: {
          owners: new Map(),
          limits: new Map(workspaces!.limits).set(workspace, limit),
        },
      };
      const current = table;
      for (const host of hosts.values()) {
        runtime.at(runtime.now() + delayMs(host.name), () => {
          host.table = current;
        });
      }
    },
    kill: name => {
      const host = getHost(name);
      host.isUp = false;
      host.allowances.close();
      replaceOwner(name, 0);
      runtime.at(runtime.now() + TAKEOVER_MS + 500, () => start(host));
    },
    freeze: (name, ms) => {
      const host = getHost(name);
      if (!host.isUp || host.frozenAt !== null) {
        return;
      }
      const {starts} = host;
      host.frozenAt = runtime.now();
      if (ms >= LEASE_MS) {
        replaceOwner(name, LEASE_MS);
      }
      runtime.at(runtime.now() + ms, () => {
        if (host.starts === starts && host.isUp) {
          host.pausedMs += runtime.now() - host.frozenAt!;
          host.frozenAt = null;
          host.held.splice(0).forEach(fn => fn());
        }
      });
    },
    cut: (name, ms) => {
      const others = [...hosts.keys()].filter(other => other !== name);
      const keys = others.map(other => pairKey(name, other));
      keys.forEach(key => cutPairs.add(key));
      runtime.at(runtime.now() + ms, () =>
        keys.forEach(key => cutPairs.delete(key)),
      );
    },
    move: (group, to) => {
      const known = groups.get(group)!;
      const target = getHost(to);
      const isPossible =
        known.leaseUntil === Infinity &&
        target.isUp &&
        target.frozenAt === null &&
        getHost(known.owner).frozenAt === null;
      if (isPossible && known.owner !== to) {
        setOwner(group, to);
      }
    },
    stall: (group, ms) => {
      const known = groups.get(group)!;
      known.stalledUntil = Math.max(known.stalledUntil, runtime.now() + ms);
    },
  };
}

/**
 * Returns by how many operations the fullest span exceeds the bound, among the
 * spans that begin in the given time; negative if none does. Counts each span
 * by itself, without the arithmetic of buckets.
 */
export function findExcess(
  startedAt: readonly number[],
  limit: RateLimit,
  from = -Infinity,
  to = Infinity,
): number {
  const {windowMs, overShare, slack} = TOLERANCE;
  const allowed =
    ((limit.perSecond * windowMs) / 1_000 + limit.burst) * (1 + overShare) +
    slack;
  const sorted = [...startedAt].sort((a, b) => a - b);
  let most = 0;
  let end = 0;
  for (const [index, begin] of sorted.entries()) {
    while (end < sorted.length && sorted[end]! < begin + windowMs) {
      end++;
    }
    if (begin >= from && begin <= to) {
      most = Math.max(most, end - index);
    }
  }
  return most - allowed;
}
