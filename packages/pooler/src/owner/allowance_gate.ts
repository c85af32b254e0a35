/**
 * Limits the operations of each workspace at the owner of a group. An operation
 * needs a token to be admitted to the queue and one to reach an endpoint.
 */

import type {Instant, Unregister} from '@lacewingroad/runtime';
import {addDemand, readDemand} from '../decisions/allowance_lending.js';
import {
  computeGiveUpAt,
  expectTokensMs,
  spreadReturn,
} from '../decisions/allowance_wait.js';
import {
  addTokens,
  countTokens,
  hasToken,
  takeTokens,
} from '../decisions/token_bucket.js';
import type {WorkspaceId} from '../model/directory.js';
import type {HostPorts} from '../ports.js';
import type {Allowance, AllowanceBook} from './allowance_book.js';
import type {AllowanceExchange} from './allowance_exchange.js';

/** An operation that asks to be admitted. */
export interface GatedOperation {
  /** The request of its first statement. */
  readonly request: string;
  readonly workspace: WorkspaceId;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targetAt: Instant;
  /**
   * Whether this host may act as the owner. Without a valid lease it has no
   * tokens, and the operation waits as it would without a limit.
   */
  readonly isOwnerActive: boolean;
  /** Called when an operation that waits gets its token. */
  readonly onGranted: () => void;
  /** Called when an operation that waits is refused. */
  readonly onRefused: (retryAfterMs: number) => void;
}

/** The answer to an operation. */
export type GateAnswer =
  | {readonly type: 'granted'}
  /** A token is expected early enough; a callback follows. */
  | {readonly type: 'wait'}
  /** Quota is available again after this time. */
  | {readonly type: 'refused'; readonly retryAfterMs: number};

/** Admits the operations of workspaces with a limit. */
export interface AllowanceGate {
  readonly admit: (operation: GatedOperation) => GateAnswer;
  /** Returns whether an admitted operation may be sent to an endpoint now. */
  readonly mayStart: (request: string) => boolean;
  /** Records that an operation is sent to an endpoint, also once more. */
  readonly start: (request: string) => void;
  /** Forgets an operation; one that was never sent returns its token. */
  readonly end: (request: string) => void;
  /** Grants tokens that have arrived to waiting operations. */
  readonly grantWaiting: () => void;
  readonly close: () => void;
}

/** Dependencies of the gate. */
export interface AllowanceGateConfig {
  readonly ports: Pick<HostPorts, 'runtime' | 'record'>;
  readonly book: AllowanceBook;
  readonly exchange: Pick<
    AllowanceExchange,
    'request' | 'expectTokens' | 'readInflow'
  >;
}

/** An operation that the gate knows. */
interface Tracked {
  readonly operation: GatedOperation;
  readonly giveUpAt: Instant;
  phase: 'waiting' | 'admitted' | 'started';
}

/** A workspace that is refused operations. */
interface Limited {
  readonly since: Instant;
  readonly lastRefusedAt: Instant;
  readonly refused: number;
}

/** Interval at which waiting operations are reviewed, in ms. */
const GRANT_INTERVAL_MS = 10;
/** Time without a refusal after which a workspace is no longer limited, ms. */
const LIMIT_END_MS = 2_000;
/** Interval at which the end of a limitation is looked for, in ms. */
const LIMIT_CHECK_MS = 1_000;
/** Part of an operation's target time for which it may wait to start. */
const MAX_BACKLOG_SHARE = 0.5;
/** Part of the next second's use that must be at hand, or others are asked. */
const RESERVE_MS = 400;

/** Creates the gate of a host. */
export function createAllowanceGate(cfg: AllowanceGateConfig): AllowanceGate {
  const {book, exchange} = cfg;
  const {runtime, record} = cfg.ports;
  const tracked = new Map<string, Tracked>();
  /** Waiting operations of each workspace, most urgent first. */
  const queues = new Map<WorkspaceId, Tracked[]>();
  const limited = new Map<WorkspaceId, Limited>();
  /** When the last refused caller of each workspace was told to return. */
  const returns = new Map<WorkspaceId, Instant>();
  let cancelGrants: Unregister | null = null;
  let cancelCheck: Unregister | null = null;

  /** Logs the end of limitations; the log has two lines for each. */
  const checkLimited = (): void => {
    cancelCheck = null;
    const now = runtime.now();
    for (const [workspace, {since, lastRefusedAt, refused}] of limited) {
      if (now - lastRefusedAt >= LIMIT_END_MS) {
        limited.delete(workspace);
        returns.delete(workspace);
        record('info', 'allowance_limit_ended', {
          workspace,
          refused,
          limited_ms: Math.round(lastRefusedAt - since),
        });
      }
    }
    scheduleCheck();
  };

  const scheduleCheck = (): void => {
    if (cancelCheck === null && limited.size > 0) {
      cancelCheck = runtime.at(runtime.now() + LIMIT_CHECK_MS, checkLimited);
    }
  };

  const noteRefused = (workspace: WorkspaceId): void => {
    const now = runtime.now();
    const known = limited.get(workspace);
    limited.set(workspace, {
      since: known?.since ?? now,
      lastRefusedAt: now,
      refused: (known?.refused ?? 0) + 1,
    });
    if (known === undefined) {
      const allowance = book.read(workspace);
      record('warn', 'allowance_limited', {
        workspace,
        per_second: allowance?.limit.perSecond ?? null,
        burst: allowance?.limit.burst ?? null,
        homes_owned: allowance?.active.size ?? null,
      });
      scheduleCheck();
    }
  };

  /** Returns the rate at which tokens arrive here, per ms. */
  const readTokenRate = (allowance: Allowance): number =>
    allowance.mintPerMs + exchange.readInflow(allowance.workspace);

  /** Refuses an operation; returns the time until its caller may return. */
  const refuse = (workspace: WorkspaceId): number => {
    noteRefused(workspace);
    const now = runtime.now();
    const allowance = book.read(workspace);
    const rate = allowance === null ? 0 : readTokenRate(allowance);
    const at = spreadReturn(
      returns.get(workspace) ?? now,
      rate,
      now,
      runtime.random(),
    );
    returns.set(workspace, at);
    return Math.ceil(at - now);
  };

  const setQueue = (workspace: WorkspaceId, queue: Tracked[]): void => {
    if (queue.length === 0) {
      queues.delete(workspace);
    } else {
      queues.set(workspace, queue);
    }
    const allowance = book.read(workspace);
    if (allowance !== null) {
      allowance.waiting = queue.length;
    }
  };

  const takeForAdmission = (allowance: Allowance): void => {
    const ledger = allowance.ledgers.admission;
    ledger.bucket = takeTokens(ledger.bucket, 1);
    allowance.admitted++;
  };

  /** Asks other owners if what is at hand may not last. */
  const requestIfShort = (allowance: Allowance): void => {
    const now = runtime.now();
    const {bucket, demand} = allowance.ledgers.admission;
    const netPerMs = readDemand(demand, now) - allowance.mintPerMs;
    if (countTokens(bucket) - allowance.waiting < netPerMs * RESERVE_MS + 1) {
      exchange.request(allowance.workspace);
    }
  };

  /** Grants tokens of a workspace in order; refuses what has waited too long. */
  const reviewQueue = (workspace: WorkspaceId): void => {
    const now = runtime.now();
    const left: Tracked[] = [];
    const granted: Tracked[] = [];
    const refused: Tracked[] = [];
    const allowance = book.read(workspace);
    for (const entry of queues.get(workspace) ?? []) {
      if (allowance === null || hasToken(allowance.ledgers.admission.bucket)) {
        if (allowance !== null) {
          takeForAdmission(allowance);
        }
        entry.phase = 'admitted';
        granted.push(entry);
      } else if (now >= entry.giveUpAt) {
        tracked.delete(entry.operation.request);
        refused.push(entry);
      } else {
        left.push(entry);
      }
    }
    setQueue(workspace, left);
    granted.forEach(({operation}) => operation.onGranted());
    refused.forEach(({operation}) => operation.onRefused(refuse(workspace)));
  };

  const grantWaiting = (): void => {
    [...queues.keys()].forEach(reviewQueue);
    scheduleGrants();
  };

  const scheduleGrants = (): void => {
    if (cancelGrants === null && queues.size > 0) {
      cancelGrants = runtime.at(runtime.now() + GRANT_INTERVAL_MS, () => {
        cancelGrants = null;
        grantWaiting();
      });
    }
  };

  /** Returns the time until an operation is expected to get a token, in ms. */
  const expectWaitMs = (allowance: Allowance, ahead: number): number => {
    const tokens = countTokens(allowance.ledgers.admission.bucket);
    const missing = ahead + 1 - tokens;
    return Math.min(
      expectTokensMs(missing, readTokenRate(allowance)),
      exchange.expectTokens(allowance.workspace, missing),
    );
  };

  const enqueue = (operation: GatedOperation, giveUpAt: Instant): void => {
    const queue = queues.get(operation.workspace) ?? [];
    const entry: Tracked = {operation, giveUpAt, phase: 'waiting'};
    const found = queue.findIndex(
      other => other.operation.rank > operation.rank,
    );
    queue.splice(found === -1 ? queue.length : found, 0, entry);
    tracked.set(operation.request, entry);
    setQueue(operation.workspace, queue);
    scheduleGrants();
  };

  /**
   * Returns whether the operations that were admitted and have not started, as
   * after a change of primary, use up the tokens to start for too long.
   */
  const isBacklogTooLong = (
    allowance: Allowance,
    {targetAt}: GatedOperation,
  ): boolean => {
    const tokens = countTokens(allowance.ledgers.start.bucket);
    const missing = allowance.admitted - tokens;
    const waitMs = expectTokensMs(missing, readTokenRate(allowance));
    return waitMs > (targetAt - runtime.now()) * MAX_BACKLOG_SHARE;
  };

  const countAhead = ({workspace, rank}: GatedOperation): number =>
    (queues.get(workspace) ?? []).filter(
      ({operation}) => operation.rank <= rank,
    ).length;

  return {
    admit: operation => {
      const {workspace, request} = operation;
      const allowance = book.read(workspace);
      if (allowance === null) {
        return {type: 'granted'};
      }
      const now = runtime.now();
      const ledger = allowance.ledgers.admission;
      ledger.demand = addDemand(ledger.demand, now);
      const ahead = countAhead(operation);
      if (operation.isOwnerActive && isBacklogTooLong(allowance, operation)) {
        return {type: 'refused', retryAfterMs: refuse(workspace)};
      }
      if (ahead === 0 && hasToken(ledger.bucket)) {
        takeForAdmission(allowance);
        const giveUpAt = Infinity;
        tracked.set(request, {operation, giveUpAt, phase: 'admitted'});
        requestIfShort(allowance);
        return {type: 'granted'};
      }
      const giveUpAt = computeGiveUpAt(operation.targetAt, now);
      requestIfShort(allowance);
      const isHopeless = now + expectWaitMs(allowance, ahead) > giveUpAt;
      if (isHopeless && operation.isOwnerActive) {
        return {type: 'refused', retryAfterMs: refuse(workspace)};
      }
      enqueue(operation, giveUpAt);
      return {type: 'wait'};
    },
    mayStart: request => {
      const entry = tracked.get(request);
      if (entry === undefined || entry.phase === 'started') {
        return true;
      }
      if (entry.phase === 'waiting') {
        return false;
      }
      const allowance = book.read(entry.operation.workspace);
      if (allowance === null || hasToken(allowance.ledgers.start.bucket)) {
        return true;
      }
      allowance.isStartShort = true;
      exchange.request(allowance.workspace);
      return false;
    },
    start: request => {
      const entry = tracked.get(request);
      if (entry === undefined) {
        return;
      }
      const allowance = book.read(entry.operation.workspace);
      if (allowance !== null) {
        // One that is sent again was counted, and may leave a debt: it must not
        // wait in the middle of its attempts.
        const ledger = allowance.ledgers.start;
        ledger.bucket = takeTokens(ledger.bucket, 1);
        ledger.demand = addDemand(ledger.demand, runtime.now());
        if (entry.phase !== 'started') {
          allowance.admitted = Math.max(0, allowance.admitted - 1);
        }
        allowance.isStartShort = false;
      }
      entry.phase = 'started';
    },
    end: request => {
      const entry = tracked.get(request);
      if (entry === undefined) {
        return;
      }
      tracked.delete(request);
      const {workspace} = entry.operation;
      const allowance = book.read(workspace);
      if (entry.phase === 'waiting') {
        const queue = queues.get(workspace) ?? [];
        setQueue(
          workspace,
          queue.filter(other => other !== entry),
        );
      } else if (entry.phase === 'admitted' && allowance !== null) {
        const ledger = allowance.ledgers.admission;
        ledger.bucket = addTokens(ledger.bucket, 1, allowance.capacity);
        allowance.admitted = Math.max(0, allowance.admitted - 1);
      }
    },
    grantWaiting,
    close: () => {
      cancelGrants?.();
      cancelCheck?.();
    },
  };
}
