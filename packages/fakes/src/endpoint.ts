/** A simulated endpoint: roles, terms, replication, status and commands. */

import type {
  EndpointCommand,
  EndpointId,
  EndpointStatus,
  LogPosition,
} from '@lacewingroad/core';
import type {FakeNetwork, NetNode} from './network.js';
import {createFakeProcess} from './process.js';
import type {FakeProcess} from './process.js';
import {createLedger} from './ledger.js';
import type {Ledger, LedgerOp} from './ledger.js';
import {createSessions} from './sessions.js';
import type {Sessions} from './sessions.js';

/** Capacity and timing of an endpoint; may be changed at any time. */
export interface EndpointLoad {
  /** Number of statements that can run concurrently. */
  slots: number;
  maxConnections: number;
  /** Time to accept a connection, in milliseconds. */
  connectMs: number;
  /** Time that a statement takes once it has a slot, in milliseconds. */
  serviceMs: (sql: string) => number;
  /** Replication lag in addition to the network's delay, in milliseconds. */
  lagMs: number;
  /** Time after which a lock wait fails with error 1205, in milliseconds. */
  lockWaitMs: number;
}

/** Configuration and initial state of an endpoint. */
export interface FakeEndpointConfig {
  readonly network: FakeNetwork;
  readonly node: NetNode;
  readonly load: EndpointLoad;
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly follows: EndpointId | null;
  readonly findEndpoint: (id: EndpointId) => FakeEndpoint | null;
}

/** A simulated endpoint. */
export interface FakeEndpoint {
  readonly node: NetNode;
  readonly load: EndpointLoad;
  readonly ledger: Ledger;
  readonly sessions: Sessions;
  /** The current process; replaced by `restart`. */
  readonly process: () => FakeProcess;
  readonly isPrimary: () => boolean;
  readonly term: () => number;
  /** At a replica, applies the entries replicated by now. */
  readonly catchUp: () => void;
  readonly readStatus: () => EndpointStatus;
  /** Runs a command; returns null, or the reason if it is refused. */
  readonly command: (command: EndpointCommand) => string | null;
  /** Commits a transaction; returns null if the endpoint is a replica. */
  readonly commit: (ops: readonly LedgerOp[]) => LogPosition | null;
  readonly setLag: (ms: number) => void;
  readonly freeze: () => void;
  readonly unfreeze: () => void;
  /** Ends the process; the ledger is kept. */
  readonly kill: () => void;
  readonly restart: () => void;
}

/** Creates a running endpoint. */
export function createFakeEndpoint(cfg: FakeEndpointConfig): FakeEndpoint {
  const {network, node, load} = cfg;
  const {runtime} = network;
  const ledger = createLedger();
  let process = createFakeProcess(runtime);
  let isPrimary = cfg.role === 'primary';
  let term = cfg.term;
  let confirmedTerm = cfg.term;
  let follows = cfg.follows;
  /** The primary's commits up to this time are applied here. */
  let dataUpTo = runtime.now();

  const index = (): number => ledger.entries.length;

  /** Returns the followed primary, or null if replication is interrupted. */
  const findSource = (): FakeEndpoint | null => {
    const source = follows === null ? null : cfg.findEndpoint(follows);
    if (source === null || !isResponsive(source.process())) {
      return null;
    }
    const isReadable =
      source.isPrimary() &&
      source.term() === term &&
      network.pathState(source.node, node) === 'up' &&
      network.pathState(node, source.node) === 'up';
    return isReadable ? source : null;
  };

  /** Truncates the log to its longest common prefix with the primary's. */
  const dropDivergedEntries = (source: FakeEndpoint): void => {
    const sourceEntries = source.ledger.entries;
    let commonLength = Math.min(index(), sourceEntries.length);
    while (
      commonLength > 0 &&
      sourceEntries[commonLength - 1]!.term !==
        ledger.entries[commonLength - 1]!.term
    ) {
      commonLength--;
    }
    ledger.truncate(commonLength);
    confirmedTerm = term;
  };

  const catchUp = (): void => {
    const source = isPrimary || !isResponsive(process) ? null : findSource();
    if (source === null) {
      return;
    }
    if (confirmedTerm !== term) {
      dropDivergedEntries(source);
    }
    const visibleUntil =
      runtime.now() - load.lagMs - network.delayOf(source.node, node);
    dataUpTo = Math.max(dataUpTo, visibleUntil);
    const sourceEntries = source.ledger.entries;
    for (let next = index(); next < sourceEntries.length; next++) {
      if (sourceEntries[next]!.committedAt > dataUpTo) {
        return;
      }
      ledger.append(sourceEntries[next]!);
    }
  };

  const promote = (nextTerm: number, startIndex: number): string | null => {
    if (isPrimary && term === nextTerm) {
      return null;
    }
    if (term >= nextTerm) {
      return `1644 (45000) term ${term} is not below ${nextTerm}`;
    }
    if (index() < startIndex) {
      return `1644 (45000) the log ends at index ${index()}, before the start index ${startIndex}`;
    }
    ledger.truncate(startIndex);
    isPrimary = true;
    term = nextTerm;
    confirmedTerm = term;
    follows = null;
    return null;
  };

  const follow = (
    primary: EndpointId,
    nextTerm: number,
    startIndex: number,
  ): string | null => {
    if (term > nextTerm || (isPrimary && term === nextTerm)) {
      return `1644 (45000) in term ${term}, this endpoint cannot follow in term ${nextTerm}`;
    }
    if (isPrimary) {
      sessions.rollBackAll();
      dataUpTo = runtime.now();
    }
    if (term < nextTerm) {
      ledger.truncate(Math.min(index(), startIndex));
    }
    isPrimary = false;
    term = nextTerm;
    follows = primary;
    return null;
  };

  const endpoint: Omit<FakeEndpoint, 'sessions'> = {
    node,
    load,
    ledger,
    process: () => process,
    isPrimary: () => isPrimary,
    term: () => term,
    catchUp,
    readStatus: () => {
      catchUp();
      return {
        role: isPrimary ? 'primary' : 'replica',
        position: {term: confirmedTerm, index: index()},
        dataAgeMs: isPrimary ? 0 : runtime.now() - dataUpTo,
        follows,
      };
    },
    command: command => {
      catchUp();
      return command.type === 'promote'
        ? promote(command.term, command.startIndex)
        : follow(command.primary, command.term, command.startIndex);
    },
    commit: ops => {
      if (!isPrimary) {
        return null;
      }
      const position = {term, index: index() + 1};
      ledger.append({...position, committedAt: runtime.now(), ops});
      return position;
    },
    setLag: ms => {
      catchUp();
      load.lagMs = ms;
    },
    freeze: () => process.pause(),
    unfreeze: () => process.resume(),
    kill: () => {
      process.kill();
      sessions.closeAll();
    },
    restart: () => {
      process = createFakeProcess(runtime);
    },
  };
  const sessions = createSessions({network, endpoint});
  return {...endpoint, sessions};
}

/** Returns whether a process is neither dead nor paused. */
function isResponsive(process: FakeProcess): boolean {
  return !process.isDead() && !process.isPaused();
}
