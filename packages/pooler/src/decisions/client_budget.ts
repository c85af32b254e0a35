/**
 * Decides which clients of a host are read, paused, refused and closed. The
 * load is that of misbehaving clients: large or unfinished messages on many
 * sessions, answers that are not read, and more connections than descriptors.
 */

import type {Instant} from '@lacewingroad/runtime';

const MIB = 1_048_576;
/** Memory of a host at rest, in MiB; 90 to 100 were measured. */
const REST_MEMORY_MB = 110;
/**
 * Resident bytes for each byte that a client makes a host hold: a message
 * exists as received bytes, as text, encoded for the owner, and as garbage.
 */
const COST_FACTOR = 8;
/** Least and greatest byte budget, in bytes. */
const MIN_BYTES = 4 * MIB;
/** With more, the messages of one turn could exceed a frame between hosts. */
const MAX_BYTES = 24 * MIB;
/** Share of the descriptors that sessions may use. */
const SESSION_FD_SHARE = 0.6;
/** Share that connections of other hosts may use before they say hello. */
const PEER_FD_SHARE = 0.125;
/** Least number of these: hosts of a fleet connect at the same time. */
const MIN_NEW_PEER_CONNECTIONS = 64;
/** Share of the budget above which the largest consumer is closed at once. */
const HARD_LIMIT_FACTOR = 1.25;
/** Sessions that hold less than this are read even beyond the budget. */
const SMALL_SESSION_BYTES = 32 * 1_024;
/** Most that one read adds to a session, in bytes. */
const READ_BYTES = 65_536;
/** Bytes that a waiting statement costs beside its text. */
const STATEMENT_COST_BYTES = 256;
/**
 * Time without a statement after which a session may make room for another, in
 * ms. A well-behaved client may be between two operations for less.
 */
const IDLE_MS = 1_000;
/** The same for a session in a transaction: idle ones are ended by then, ms. */
const IDLE_TX_MS = 10_000;

/** Defaults of the limits that do not follow from the size of a host. */
const DEFAULTS = {
  // A session may keep 1.2 MB while a line of 1 MiB arrives.
  sessionBytes: 3 * MIB,
  connectMs: 10_000,
  partialLineMs: 30_000,
  pressureMs: 1_000,
  statementsAhead: 200,
};
const DEFAULT_MEMORY_MB = 256;
const DEFAULT_MAX_FDS = 4_096;

/** Limits of the clients of one host. */
export interface ClientLimits {
  /** Bytes that all sessions may make this host hold. */
  readonly bytes: number;
  /** Bytes of a session from which it is not read. */
  readonly sessionBytes: number;
  /** Connections of clients. */
  readonly sessions: number;
  /** Connections of other hosts that have not said hello. */
  readonly newPeerConnections: number;
  /** Time from a connection to its complete CONNECT, in ms. */
  readonly connectMs: number;
  /** Time from the first byte of a line to its end, in ms. */
  readonly partialLineMs: number;
  /** Time above the byte budget until the largest consumer is closed, in ms. */
  readonly pressureMs: number;
  /** Statements that a session may have unanswered. */
  readonly statementsAhead: number;
  /** Bytes of the large statements that an owner takes from other hosts. */
  readonly forwardedBytes: number;
}

/** Returns the limits for a host's memory and descriptors. */
export function deriveClientLimits(
  memoryMb: number = DEFAULT_MEMORY_MB,
  maxFds: number = DEFAULT_MAX_FDS,
  own: Partial<ClientLimits> = {},
): ClientLimits {
  const share = ((memoryMb - REST_MEMORY_MB) * MIB) / COST_FACTOR;
  const bytes = Math.round(Math.min(MAX_BYTES, Math.max(MIN_BYTES, share)));
  const set = Object.entries(own).filter(([, value]) => value !== undefined);
  return {
    ...DEFAULTS,
    bytes,
    forwardedBytes: bytes,
    sessions: Math.max(1, Math.floor(maxFds * SESSION_FD_SHARE)),
    newPeerConnections: Math.max(
      MIN_NEW_PEER_CONNECTIONS,
      Math.floor(maxFds * PEER_FD_SHARE),
    ),
    ...Object.fromEntries(set),
  };
}

/** What one session uses. Only the budget changes it. */
export interface ClientUse {
  readonly id: number;
  readonly acceptedAt: Instant;
  /** Whether its CONNECT was accepted. */
  isOpen: boolean;
  isInTx: boolean;
  /** Whether the budget stopped reading it. */
  isPaused: boolean;
  /** Bytes of its parts: an unfinished line, answers that it has not read. */
  partialBytes: number;
  unsentBytes: number;
  /** Bytes of its values and prepared statements. */
  keptBytes: number;
  /** Costs of its unanswered statements, in order, and their sum. */
  readonly statements: number[];
  statementBytes: number;
  /** When its unfinished line began; null without one. */
  partialSince: Instant | null;
  /** When its last statement arrived or was answered. */
  usedAt: Instant;
}

/** Why a session is closed. */
export type CloseReason =
  | 'connect_not_complete'
  | 'line_not_complete'
  | 'too_many_bytes'
  | 'too_many_statements'
  | 'too_many_sessions';

/** What the socket code has to do. */
export type ClientOrder =
  | {readonly type: 'pause' | 'resume'; readonly id: number}
  | {
      readonly type: 'close';
      readonly id: number;
      readonly reason: CloseReason;
      /** Bytes that the session made this host hold. */
      readonly bytes: number;
    };

/** Decision on a new connection. */
export interface ClientAdmission {
  /** The session's use, or null if the connection is refused. */
  readonly use: ClientUse | null;
  readonly orders: readonly ClientOrder[];
}

/** The budget that all sessions of a host share. */
export interface ClientBudget {
  /** Admits a connection, closes another for it, or refuses it. */
  readonly connect: (id: number, now: Instant) => ClientAdmission;
  readonly disconnect: (use: ClientUse, now: Instant) => readonly ClientOrder[];
  readonly markOpen: (use: ClientUse, now: Instant) => void;
  /** Counts a received statement. */
  readonly addStatement: (
    use: ClientUse,
    bytes: number,
    now: Instant,
  ) => readonly ClientOrder[];
  /** Counts the answer to a session's oldest statement. */
  readonly endStatement: (
    use: ClientUse,
    isInTx: boolean,
    now: Instant,
  ) => readonly ClientOrder[];
  /** Sets the bytes of an unfinished line, of unread answers or of values. */
  readonly setBytes: (
    use: ClientUse,
    part: 'partialBytes' | 'unsentBytes' | 'keptBytes',
    bytes: number,
    now: Instant,
  ) => readonly ClientOrder[];
  /** Closes what is overdue; to be called while `needsSweep`. */
  readonly sweep: (now: Instant) => readonly ClientOrder[];
  readonly needsSweep: () => boolean;
  /** Moves all deadlines after this process was suspended for a time. */
  readonly extendDeadlines: (ms: number) => void;
  readonly readBytes: () => number;
  readonly countSessions: () => number;
}

const NO_ORDERS: readonly ClientOrder[] = [];

function sumBytes(use: ClientUse): number {
  return (
    use.partialBytes + use.unsentBytes + use.keptBytes + use.statementBytes
  );
}

/** Returns the element with the greatest score, or null if there is none. */
function findGreatest<T>(
  items: Iterable<T>,
  score: (item: T) => number,
): T | null {
  let greatest: T | null = null;
  let highest = -Infinity;
  for (const item of items) {
    const value = score(item);
    if (value > highest) {
      greatest = item;
      highest = value;
    }
  }
  return greatest;
}

/** Creates the budget of a host without sessions. */
export function createClientBudget(limits: ClientLimits): ClientBudget {
  const uses = new Map<number, ClientUse>();
  /** Sessions without a complete CONNECT, in the order of their connections. */
  const unopened = new Set<ClientUse>();
  /** Sessions with an unfinished line. */
  const unfinished = new Set<ClientUse>();
  const paused = new Set<ClientUse>();
  let total = 0;
  /** Since when the total has been above the budget; null while it is not. */
  let aboveSince: Instant | null = null;
  /** Time that is added to each deadline, and counts for later ones only. */
  let suspendedMs = 0;

  const toBudgetTime = (now: Instant): Instant => now - suspendedMs;

  const remove = (use: ClientUse): void => {
    if (!uses.delete(use.id)) {
      return;
    }
    unopened.delete(use);
    unfinished.delete(use);
    paused.delete(use);
    total -= sumBytes(use);
  };

  const close = (use: ClientUse, reason: CloseReason): ClientOrder => {
    const bytes = sumBytes(use);
    remove(use);
    return {type: 'close', id: use.id, reason, bytes};
  };

  const closeLargest = (): readonly ClientOrder[] => {
    const largest = findGreatest(uses.values(), sumBytes);
    return largest === null ? [] : [close(largest, 'too_many_bytes')];
  };

  const isOverShare = (use: ClientUse): boolean =>
    sumBytes(use) >= limits.sessionBytes;

  /**
   * Reads paused sessions again, those with the most bytes first: they are the
   * nearest to the end of their line. Only as many as fit in the budget.
   */
  const resumePaused = (): readonly ClientOrder[] => {
    if (paused.size === 0 || total > limits.bytes) {
      return NO_ORDERS;
    }
    const count = Math.max(1, Math.floor((limits.bytes - total) / READ_BYTES));
    const next = [...paused]
      .filter(use => !isOverShare(use))
      .sort((a, b) => b.partialBytes - a.partialBytes)
      .slice(0, count);
    return next.map(use => {
      paused.delete(use);
      use.isPaused = false;
      return {type: 'resume', id: use.id} as const;
    });
  };

  /** Decides after the bytes of a session have changed. */
  const review = (use: ClientUse, now: Instant): readonly ClientOrder[] => {
    const isAbove = total > limits.bytes;
    aboveSince = isAbove ? (aboveSince ?? now) : null;
    if (!isAbove && paused.size === 0 && !isOverShare(use)) {
      return NO_ORDERS;
    }
    const orders: ClientOrder[] = [];
    while (total > limits.bytes * HARD_LIMIT_FACTOR && uses.size > 0) {
      orders.push(...closeLargest());
    }
    const mayRead =
      !isOverShare(use) && (!isAbove || sumBytes(use) < SMALL_SESSION_BYTES);
    if (!mayRead && !use.isPaused && uses.has(use.id)) {
      use.isPaused = true;
      paused.add(use);
      orders.push({type: 'pause', id: use.id});
    }
    return [...orders, ...resumePaused()];
  };

  /**
   * Returns the session that makes room for another one: one that does not
   * complete its CONNECT, one that does not complete a line, the session that
   * has been idle longest, the oldest without a CONNECT, or null if all are in
   * use.
   */
  const findReplaceable = (now: Instant): ClientUse | null => {
    const oldest: ClientUse | null = [...unopened][0] ?? null;
    // The CONNECT of a connection that has just been accepted is on its way.
    if (oldest !== null && now - oldest.acceptedAt >= IDLE_MS) {
      return oldest;
    }
    const stuck = findGreatest(unfinished, use => now - use.partialSince!);
    if (stuck !== null && now - stuck.partialSince! >= IDLE_MS) {
      return stuck;
    }
    const idle = findGreatest(
      [...uses.values()].filter(
        use =>
          use.isOpen &&
          use.statements.length === 0 &&
          use.unsentBytes === 0 &&
          now - use.usedAt >= (use.isInTx ? IDLE_TX_MS : IDLE_MS),
      ),
      use => now - use.usedAt,
    );
    return idle ?? oldest;
  };

  return {
    connect: (id, clock) => {
      const now = toBudgetTime(clock);
      const orders: ClientOrder[] = [];
      if (uses.size >= limits.sessions) {
        const replaceable = findReplaceable(now);
        if (replaceable === null) {
          return {use: null, orders};
        }
        orders.push(close(replaceable, 'too_many_sessions'));
      }
      const use: ClientUse = {
        id,
        acceptedAt: now,
        isOpen: false,
        isInTx: false,
        isPaused: false,
        partialBytes: 0,
        unsentBytes: 0,
        keptBytes: 0,
        statements: [],
        statementBytes: 0,
        partialSince: null,
        usedAt: now,
      };
      uses.set(id, use);
      unopened.add(use);
      return {use, orders};
    },
    disconnect: (use, clock) => {
      const isKnown = uses.has(use.id);
      remove(use);
      return isKnown ? review(use, toBudgetTime(clock)) : NO_ORDERS;
    },
    markOpen: (use, clock) => {
      use.isOpen = true;
      use.usedAt = toBudgetTime(clock);
      unopened.delete(use);
    },
    addStatement: (use, bytes, clock) => {
      const cost = bytes + STATEMENT_COST_BYTES;
      if (!uses.has(use.id)) {
        return NO_ORDERS;
      }
      use.statements.push(cost);
      use.statementBytes += cost;
      total += cost;
      use.usedAt = toBudgetTime(clock);
      return use.statements.length > limits.statementsAhead
        ? [close(use, 'too_many_statements')]
        : review(use, use.usedAt);
    },
    endStatement: (use, isInTx, clock) => {
      const cost = use.statements.shift() ?? 0;
      use.statementBytes -= cost;
      use.isInTx = isInTx;
      use.usedAt = toBudgetTime(clock);
      if (!uses.has(use.id)) {
        return NO_ORDERS;
      }
      total -= cost;
      return review(use, use.usedAt);
    },
    setBytes: (use, part, bytes, clock) => {
      if (!uses.has(use.id)) {
        return NO_ORDERS;
      }
      const now = toBudgetTime(clock);
      total += bytes - use[part];
      use[part] = bytes;
      if (part === 'partialBytes') {
        if (bytes === 0) {
          use.partialSince = null;
          unfinished.delete(use);
        } else {
          use.partialSince ??= now;
          unfinished.add(use);
        }
      }
      return review(use, now);
    },
    sweep: clock => {
      const now = toBudgetTime(clock);
      const orders: ClientOrder[] = [];
      for (const use of unopened) {
        if (now - use.acceptedAt < limits.connectMs) {
          break;
        }
        orders.push(close(use, 'connect_not_complete'));
      }
      for (const use of unfinished) {
        if (now - use.partialSince! >= limits.partialLineMs) {
          orders.push(close(use, 'line_not_complete'));
        }
      }
      const isAbove = total > limits.bytes;
      aboveSince = isAbove ? (aboveSince ?? now) : null;
      if (aboveSince !== null && now - aboveSince >= limits.pressureMs) {
        orders.push(...closeLargest());
      }
      return [...orders, ...resumePaused()];
    },
    needsSweep: () =>
      unopened.size > 0 || unfinished.size > 0 || paused.size > 0,
    extendDeadlines: ms => {
      suspendedMs += ms;
    },
    readBytes: () => total,
    countSessions: () => uses.size,
  };
}
