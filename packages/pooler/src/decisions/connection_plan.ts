/**
 * Decides which connections to open at the endpoints of a group, and which idle
 * ones are closed for them. The load it answers: 75 workspaces, a few of them
 * large, share the 60 connections that an endpoint accepts. A connection serves
 * one workspace, and opening one takes 12 ms and occupies a slot meanwhile.
 */

import type {EndpointId} from '@lacewingroad/core';
import type {Instant} from '@lacewingroad/runtime';
import type {WorkspaceId} from '../model/directory.js';

/** A connection that a pool holds. */
export interface PlannedConn {
  readonly id: number;
  readonly workspace: WorkspaceId | null;
  readonly use: 'opening' | 'free' | 'running' | 'pinned';
  readonly idleSince: Instant;
}

/** An endpoint with the connections to it. */
export interface PlannedEndpoint {
  readonly id: EndpointId;
  readonly isPrimary: boolean;
  /** Connections that the pool may hold to it. */
  readonly limit: number;
  /** Connections that may be opened concurrently; 0 during a pause. */
  readonly maxOpening: number;
  /** Statements that may run concurrently. */
  readonly slots: number;
  readonly running: number;
  /** Expected duration of a statement, in ms. */
  readonly serviceMs: number;
  readonly conns: readonly PlannedConn[];
  /** Returns how many statements of a workspace it runs per second. */
  readonly readRate: (workspace: WorkspaceId | null) => number;
}

/** A waiting statement and the endpoints that could run it now. */
export interface ConnDemand {
  readonly workspace: WorkspaceId | null;
  readonly endpoints: readonly EndpointId[];
}

/** A connection to open. */
export interface PlannedOpening {
  readonly endpoint: EndpointId;
  readonly workspace: WorkspaceId | null;
  /** The idle connection that is closed for it, or null. */
  readonly evicted: number | null;
}

/** Time that a new connection costs: 12 ms, and a slot for as long, in ms. */
const OPEN_COST_MS = 24;
/** Expected time until a connection that is being opened is ready, in ms. */
const OPENING_LEFT_MS = 6;
/** Weight of load among endpoints with the same expected wait, in ms. */
const LOAD_WEIGHT_MS = 2;
/** Load added to the primary, as a share of its slots: keeps room for writes. */
const PRIMARY_EXTRA_LOAD = 0.34;

/** Connections of a workspace at an endpoint, by use. */
interface Tally {
  free: number;
  opening: number;
  running: number;
  /** Waiting statements that are expected to run here. */
  assigned: number;
}

/** An endpoint while a plan is made. */
interface Site {
  readonly endpoint: PlannedEndpoint;
  readonly tallies: Map<WorkspaceId | null, Tally>;
  readonly evicted: Set<number>;
  total: number;
  opening: number;
  assigned: number;
  /** The needs that were computed, by workspace; dropped when one changes. */
  readonly needs: Map<WorkspaceId | null, number>;
}

/**
 * Returns how many statements per second would find no connection without the
 * `count`-th connection of a workspace: those that arrive while all others are
 * in use. The number in use is taken as Poisson distributed.
 */
export function computeNeed(
  rate: number,
  serviceMs: number,
  count: number,
): number {
  const load = (rate * serviceMs) / 1_000;
  let term = Math.exp(-load);
  let below = 0;
  for (let used = 0; used < count - 1; used++) {
    below += term;
    term *= load / (used + 1);
  }
  return rate * Math.max(0, 1 - below);
}

function readTally(site: Site, workspace: WorkspaceId | null): Tally {
  const known = site.tallies.get(workspace);
  if (known !== undefined) {
    return known;
  }
  const created = {free: 0, opening: 0, running: 0, assigned: 0};
  site.tallies.set(workspace, created);
  return created;
}

function createSite(endpoint: PlannedEndpoint): Site {
  const site: Site = {
    endpoint,
    tallies: new Map(),
    evicted: new Set(),
    needs: new Map(),
    total: endpoint.conns.length,
    opening: 0,
    assigned: 0,
  };
  for (const {workspace, use} of endpoint.conns) {
    if (use !== 'pinned') {
      readTally(site, workspace)[use]++;
    }
    site.opening += use === 'opening' ? 1 : 0;
  }
  return site;
}

/** Counts the connections of a workspace that no transaction holds. */
function countUnpinned({free, opening, running}: Tally): number {
  return free + opening + running;
}

function computeConnNeed(
  {endpoint}: Site,
  workspace: WorkspaceId | null,
  count: number,
): number {
  const rate = endpoint.readRate(workspace);
  return computeNeed(rate, endpoint.serviceMs, count);
}

/**
 * Returns the idle connection that is least likely to be needed, or null if
 * each is needed by a waiting statement or as much as `needed`.
 */
function findVictim(
  site: Site,
  isSpared: (workspace: WorkspaceId | null) => boolean,
  needed: number,
): PlannedConn | null {
  let best: PlannedConn | null = null;
  let bestNeed = needed;
  const {needs} = site;
  for (const conn of site.endpoint.conns) {
    const {workspace} = conn;
    if (conn.use !== 'free' || site.evicted.has(conn.id)) {
      continue;
    }
    const tally = readTally(site, workspace);
    if (isSpared(workspace) || tally.free <= tally.assigned) {
      continue;
    }
    const need =
      needs.get(workspace) ??
      computeConnNeed(site, workspace, countUnpinned(tally));
    needs.set(workspace, need);
    const isLess =
      need < bestNeed ||
      (best !== null && need === bestNeed && conn.idleSince < best.idleSince);
    if (isLess) {
      best = conn;
      bestNeed = need;
    }
  }
  return best;
}

function evict(site: Site, conn: PlannedConn): void {
  site.evicted.add(conn.id);
  site.total--;
  site.needs.delete(conn.workspace);
  readTally(site, conn.workspace).free--;
}

/** A connection that can be opened. */
interface Opening {
  /** The idle connection that is closed for it, or null. */
  readonly victim: PlannedConn | null;
}

/** Where a statement is expected to run, and how long it waits for that. */
interface Choice {
  readonly site: Site;
  readonly waitMs: number;
  readonly opening: Opening | null;
}

/** Returns whether another connection may be opened at an endpoint now. */
function mayOpen({endpoint, opening}: Site): boolean {
  return opening < endpoint.maxOpening;
}

/** Returns how a connection can be opened for a workspace, or null. */
function findOpening(
  site: Site,
  workspace: WorkspaceId | null,
): Opening | null {
  const {endpoint, total} = site;
  const held = countUnpinned(readTally(site, workspace));
  if (!mayOpen(site) || held >= endpoint.slots) {
    return null;
  }
  if (total < endpoint.limit) {
    return {victim: null};
  }
  // A workspace without any connection can be served in no other way.
  const needed =
    held === 0 ? Infinity : computeConnNeed(site, workspace, held + 1);
  const victim = findVictim(site, other => other === workspace, needed);
  return victim === null ? null : {victim};
}

/** Returns how long a statement waits for a slot, in ms. */
function estimateSlotWait({endpoint, opening, assigned}: Site): number {
  const {running, slots, serviceMs, isPrimary} = endpoint;
  const used = running + opening + assigned;
  const load = used / slots + (isPrimary ? PRIMARY_EXTRA_LOAD : 0);
  const ahead = Math.max(0, used + 1 - slots);
  return (ahead * serviceMs) / slots + load * LOAD_WEIGHT_MS;
}

/** Returns how long a statement waits for a connection that exists, in ms. */
function estimateConnWait(site: Site, workspace: WorkspaceId | null): number {
  const {free, opening, running, assigned} = readTally(site, workspace);
  if (free > assigned) {
    return 0;
  }
  if (free + opening > assigned) {
    return OPENING_LEFT_MS;
  }
  const ahead = assigned - free - opening + 1;
  return running === 0 ? Infinity : (ahead * site.endpoint.serviceMs) / running;
}

/**
 * Plans the connections to open for the waiting statements, in the order in
 * which these are expected to run. Each is assigned to the endpoint where it
 * is expected to start first; one is opened there only if that is sooner than
 * waiting for a connection that the workspace has.
 */
export function planOpenings(
  endpoints: readonly PlannedEndpoint[],
  demands: readonly ConnDemand[],
): readonly PlannedOpening[] {
  const sites = new Map(
    endpoints.map(endpoint => [endpoint.id, createSite(endpoint)]),
  );
  const planned: PlannedOpening[] = [];
  for (const {workspace, endpoints: ids} of demands) {
    let best: Choice | null = null;
    for (const id of ids) {
      const site = sites.get(id);
      if (site === undefined) {
        continue;
      }
      const slotMs = estimateSlotWait(site);
      const connMs = estimateConnWait(site, workspace);
      const opening =
        connMs > OPEN_COST_MS ? findOpening(site, workspace) : null;
      const waitMs = slotMs + (opening === null ? connMs : OPEN_COST_MS);
      if (waitMs < (best?.waitMs ?? Infinity)) {
        best = {site, waitMs, opening};
      }
    }
    if (best === null) {
      continue;
    }
    const {site, opening} = best;
    if (opening !== null) {
      const {victim} = opening;
      if (victim !== null) {
        evict(site, victim);
      }
      const endpoint = site.endpoint.id;
      planned.push({endpoint, workspace, evicted: victim?.id ?? null});
      site.total++;
      site.opening++;
      site.needs.delete(workspace);
      readTally(site, workspace).opening++;
      if (![...sites.values()].some(mayOpen)) {
        break;
      }
    }
    readTally(site, workspace).assigned++;
    site.assigned += opening === null ? 1 : 0;
  }
  return planned;
}

/** Returns the idle connections to close where a pool holds too many. */
export function planClosings(endpoint: PlannedEndpoint): readonly number[] {
  const site = createSite(endpoint);
  const closed: number[] = [];
  while (site.total > endpoint.limit) {
    const victim = findVictim(site, () => false, Infinity);
    if (victim === null) {
      break;
    }
    evict(site, victim);
    closed.push(victim.id);
  }
  return closed;
}
