/** A fake endpoint: roles, terms, replication, status and commands. */

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

/** What an endpoint costs; may be changed at any time. */
export interface EndpointLoad {
  /** Statements that run at once. */
  slots: number;
  maxConnections: number;
  /** Time to accept a connection, in milliseconds. */
  connectMs: number;
  /** Time that a statement takes once it has a slot, in milliseconds. */
  serviceMs: (sql: string) => number;
  /** Lag of replication besides the network's delay, in milliseconds. */
  lagMs: number;
  /** Time after which a wait for a lock ends with 1205, in milliseconds. */
  lockWaitMs: number;
}

/** What an endpoint is created with. */
export interface FakeEndpointConfig {
  readonly network: FakeNetwork;
  readonly node: NetNode;
  readonly load: EndpointLoad;
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly follows: EndpointId | null;
  readonly findEndpoint: (id: EndpointId) => FakeEndpoint | null;
}

/** A fake endpoint. */
export interface FakeEndpoint {
  readonly node: NetNode;
  readonly load: EndpointLoad;
  readonly ledger: Ledger;
  readonly sessions: Sessions;
  /** The current process; replaced by `restart`. */
  readonly process: () => FakeProcess;
  readonly isPrimary: () => boolean;
  readonly term: () => number;
  /** Brings a replica up to what it has by now. */
  readonly advance: () => void;
  readonly readStatus: () => EndpointStatus;
  /** Returns null on success, else why it was refused. */
  readonly command: (command: EndpointCommand) => string | null;
  /** Appends at a primary; null where it is read-only. */
  readonly commit: (ops: readonly LedgerOp[]) => LogPosition | null;
  readonly setLag: (ms: number) => void;
  readonly freeze: () => void;
  readonly unfreeze: () => void;
  /** Ends the process; the ledger stays. */
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
  /** The primary's data up to this instant are here. */
  let asOf = runtime.now();

  const index = (): number => ledger.entries.length;

  /** Returns the followed primary where it can be read from, or null. */
  const findSource = (): FakeEndpoint | null => {
    const source = follows === null ? null : cfg.findEndpoint(follows);
    if (source === null || !isRunning(source.process())) {
      return null;
    }
    const isReadable =
      source.isPrimary() &&
      source.term() === term &&
      network.pathState(source.node, node) === 'up' &&
      network.pathState(node, source.node) === 'up';
    return isReadable ? source : null;
  };

  /** Drops what the primary does not have. */
  const meet = (source: FakeEndpoint): void => {
    const theirs = source.ledger.entries;
    let common = Math.min(index(), theirs.length);
    while (
      common > 0 &&
      theirs[common - 1]!.term !== ledger.entries[common - 1]!.term
    ) {
      common--;
    }
    ledger.truncate(common);
    confirmedTerm = term;
  };

  const advance = (): void => {
    const source = isPrimary || !isRunning(process) ? null : findSource();
    if (source === null) {
      return;
    }
    if (confirmedTerm !== term) {
      meet(source);
    }
    const reached =
      runtime.now() - load.lagMs - network.delayOf(source.node, node);
    asOf = Math.max(asOf, reached);
    const theirs = source.ledger.entries;
    for (let at = index(); at < theirs.length; at++) {
      if (theirs[at]!.committedAt > asOf) {
        return;
      }
      ledger.append(theirs[at]!);
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
      return `1644 (45000) the log ends at ${index()}, not at ${startIndex}`;
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
      return `1644 (45000) term ${term} does not follow in term ${nextTerm}`;
    }
    if (isPrimary) {
      sessions.endAll();
      asOf = runtime.now();
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
    advance,
    readStatus: () => {
      advance();
      return {
        role: isPrimary ? 'primary' : 'replica',
        position: {term: confirmedTerm, index: index()},
        dataAgeMs: isPrimary ? 0 : runtime.now() - asOf,
        follows,
      };
    },
    command: command => {
      advance();
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
      advance();
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

/** Tells whether a process answers. */
function isRunning(process: FakeProcess): boolean {
  return !process.isDead() && !process.isPaused();
}
