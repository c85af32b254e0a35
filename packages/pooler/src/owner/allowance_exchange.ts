/**
 * Lends tokens between the owners of workspaces' home groups. An ask or a grant
 * that is lost, late or duplicated creates no tokens: the lender deducts them
 * before it answers, and the borrower accepts one answer to each ask, for as
 * long as the tokens are valid from when it asked.
 */

import type {GroupId, HostId} from '@lacewingroad/core';
import type {Instant, Unregister} from '@lacewingroad/runtime';
import {
  addDemand,
  ASK_INTERVAL_MS,
  computeLoanMs,
  computeNeed,
  computeSpare,
  expectLoanMs,
  expectSpare,
  NO_DEMAND,
  readDemand,
  splitNeed,
} from '../decisions/allowance_lending.js';
import type {
  Demand,
  Lender,
  LenderHint,
  TokenSupply,
} from '../decisions/allowance_lending.js';
import type {AllowanceTolerance} from '../decisions/allowance_homes.js';
import {addLoan, countTokens} from '../decisions/token_bucket.js';
import type {WorkspaceId} from '../model/directory.js';
import type {
  AllowanceAskMessage,
  AllowanceGrantMessage,
  AllowanceLoan,
  AllowanceNeed,
} from '../model/message.js';
import type {HostPorts} from '../ports.js';
import type {Allowance, AllowanceBook, Stage} from './allowance_book.js';

/** Lends and borrows tokens at one host. */
export interface AllowanceExchange {
  /** Notes that a workspace is short of tokens; others are asked soon. */
  readonly request: (workspace: WorkspaceId) => void;
  /** Returns the time until borrowed tokens are expected, in ms. */
  readonly expectTokens: (workspace: WorkspaceId, missing: number) => number;
  /** Returns the rate at which tokens are borrowed, per ms. */
  readonly readInflow: (workspace: WorkspaceId) => number;
  readonly handleAsk: (host: HostId, msg: AllowanceAskMessage) => void;
  readonly handleGrant: (host: HostId, msg: AllowanceGrantMessage) => void;
  readonly close: () => void;
}

/** Dependencies of the exchange. */
export interface AllowanceExchangeConfig {
  readonly self: HostId;
  readonly ports: Pick<HostPorts, 'runtime' | 'record' | 'send'>;
  readonly tolerance: AllowanceTolerance;
  readonly book: AllowanceBook;
  readonly isLinked: (host: HostId) => boolean;
  readonly findOwner: (group: GroupId) => HostId | null;
  /** Called after borrowed tokens have arrived. */
  readonly onBorrowed: () => void;
}

/** An ask without an answer. */
interface PendingAsk {
  readonly host: HostId;
  readonly needs: ReadonlyMap<WorkspaceId, AllowanceNeed>;
  /** When the lent tokens become invalid, by the clock of loans. */
  readonly expiresAt: Instant;
}

/** Interval of rounds in which owners are asked that may be asked, in ms. */
const ROUND_INTERVAL_MS = 25;
/** A loan below this counts as nothing, in tokens. */
const MIN_LOAN = 0.05;
/** Interval of the log line on lending, in ms. */
const REPORT_INTERVAL_MS = 10_000;
/** Range of the random number of the first ask of a run. */
const FIRST_ASK_RANGE = 2 ** 40;

/** Creates the exchange of a host. */
export function createAllowanceExchange(
  cfg: AllowanceExchangeConfig,
): AllowanceExchange {
  const {self, book, tolerance} = cfg;
  const {runtime, record, send} = cfg.ports;
  const loanMs = computeLoanMs(tolerance);
  const short = new Set<WorkspaceId>();
  const asks = new Map<number, PendingAsk>();
  const hints = new Map<WorkspaceId, Map<HostId, LenderHint>>();
  const askedAt = new Map<HostId, Instant>();
  const inflows = new Map<WorkspaceId, Demand>();
  // An answer to an earlier run of this process must match no ask.
  let nextAsk = Math.floor(runtime.random() * FIRST_ASK_RANGE);
  let lastRoundAt: Instant = -Infinity;
  let cancelRound: Unregister | null = null;
  let cancelReport: Unregister | null = null;
  let asked = 0;
  let borrowed = 0;
  let lent = 0;

  /** Logs how much was lent, at most once in an interval. */
  const scheduleReport = (): void => {
    cancelReport ??= runtime.at(runtime.now() + REPORT_INTERVAL_MS, () => {
      cancelReport = null;
      record('info', 'allowance_lending', {
        asks: asked,
        borrowed: Math.round(borrowed),
        lent: Math.round(lent),
      });
      asked = borrowed = lent = 0;
    });
  };

  /** Lists the other owners of a workspace's home groups that are linked. */
  const listLenders = (allowance: Allowance): readonly Lender[] => {
    const {workspace, homes, share} = allowance;
    const now = runtime.now();
    const owners = new Set(homes.map(cfg.findOwner));
    const known = hints.get(workspace);
    return [...owners]
      .filter(host => host !== null && host !== self && cfg.isLinked(host))
      .map(host => ({
        host: host!,
        spare: expectSpare(known?.get(host!) ?? null, share, now),
        askableAt: (askedAt.get(host!) ?? -Infinity) + ASK_INTERVAL_MS,
      }));
  };

  const readSupply = (allowance: Allowance, stage: Stage): TokenSupply => {
    const {bucket, demand} = allowance.ledgers[stage];
    const blocked = allowance.isStartShort ? allowance.admitted : 0;
    return {
      tokens: countTokens(bucket),
      mintPerMs: allowance.mintPerMs,
      demandPerMs: readDemand(demand, runtime.now()),
      waiting:
        stage === 'admission' ? allowance.waiting : allowance.waiting + blocked,
    };
  };

  const needOf = (allowance: Allowance, stage: Stage): number =>
    computeNeed(readSupply(allowance, stage), allowance.limit, loanMs);

  /** Adds the parts of a workspace's needs to what each lender is asked. */
  const addNeeds = (
    allowance: Allowance,
    needsByHost: Map<HostId, AllowanceNeed[]>,
  ): boolean => {
    const {workspace} = allowance;
    const lenders = listLenders(allowance);
    const now = runtime.now();
    const needs = {
      admission: needOf(allowance, 'admission'),
      start: needOf(allowance, 'start'),
    };
    const admission = splitNeed(needs.admission, lenders, now);
    const start = splitNeed(needs.start, lenders, now);
    for (const host of new Set([...admission.keys(), ...start.keys()])) {
      const known = needsByHost.get(host) ?? [];
      known.push({
        workspace,
        admission: admission.get(host) ?? 0,
        start: start.get(host) ?? 0,
      });
      needsByHost.set(host, known);
    }
    return lenders.length > 0 && needs.admission + needs.start > 0;
  };

  /** Removes asks whose answers would come too late. */
  const forgetOldAsks = (): void => {
    const now = book.readLoanClock();
    for (const [ask, {expiresAt}] of asks) {
      if (expiresAt <= now) {
        asks.delete(ask);
      }
    }
  };

  const askOwners = (): void => {
    cancelRound = null;
    lastRoundAt = runtime.now();
    forgetOldAsks();
    const needsByHost = new Map<HostId, AllowanceNeed[]>();
    for (const workspace of short) {
      const allowance = book.read(workspace);
      if (allowance === null || !addNeeds(allowance, needsByHost)) {
        short.delete(workspace);
      }
    }
    const expiresAt = book.readLoanClock() + loanMs;
    for (const [host, needs] of needsByHost) {
      const ask = nextAsk++;
      asked++;
      askedAt.set(host, lastRoundAt);
      asks.set(ask, {
        host,
        needs: new Map(needs.map(need => [need.workspace, need])),
        expiresAt,
      });
      send(host, {type: 'allowance_ask', ask, needs});
    }
    if (needsByHost.size > 0) {
      scheduleReport();
    }
    if (short.size > 0) {
      scheduleRound();
    }
  };

  const scheduleRound = (): void => {
    const at = Math.max(runtime.now(), lastRoundAt + ROUND_INTERVAL_MS);
    cancelRound ??= runtime.at(at, askOwners);
  };

  const noteHint = (host: HostId, loan: AllowanceLoan): void => {
    const {workspace, left} = loan;
    const known = hints.get(workspace) ?? new Map<HostId, LenderHint>();
    const hadNothing = loan.admission + loan.start + left < MIN_LOAN;
    known.set(host, {left, hadNothing, at: runtime.now()});
    hints.set(workspace, known);
  };

  /** Returns what can be lent of a bucket, without what was borrowed. */
  const computeOwnSpare = (allowance: Allowance, stage: Stage): number => {
    const {level} = allowance.ledgers[stage].bucket;
    const supply = {...readSupply(allowance, stage), tokens: level};
    return computeSpare(supply, allowance.capacity);
  };

  /** Deducts what can be lent of one bucket, and returns it. */
  const lend = (allowance: Allowance, stage: Stage, need: number): number => {
    const ledger = allowance.ledgers[stage];
    const spare = computeOwnSpare(allowance, stage);
    const amount = Math.min(Math.max(0, need), spare);
    ledger.bucket = {...ledger.bucket, level: ledger.bucket.level - amount};
    return amount;
  };

  const lendTo = ({
    workspace,
    admission,
    start,
  }: AllowanceNeed): AllowanceLoan => {
    const allowance = book.read(workspace);
    if (allowance === null) {
      return {workspace, admission: 0, start: 0, left: 0};
    }
    return {
      workspace,
      admission: lend(allowance, 'admission', admission),
      start: lend(allowance, 'start', start),
      left: computeOwnSpare(allowance, 'admission'),
    };
  };

  /** Adds a loan to the buckets, at most what was asked for. */
  const borrow = (
    need: AllowanceNeed,
    loan: AllowanceLoan,
    expiresAt: Instant,
  ): void => {
    const allowance = book.read(need.workspace);
    if (allowance === null) {
      return;
    }
    for (const stage of ['admission', 'start'] as const) {
      const amount = Math.min(loan[stage], need[stage]);
      if (amount > 0) {
        const ledger = allowance.ledgers[stage];
        ledger.bucket = addLoan(ledger.bucket, {amount, expiresAt});
      }
    }
    const amount = Math.max(0, Math.min(loan.admission, need.admission));
    borrowed += amount;
    const inflow = inflows.get(need.workspace) ?? NO_DEMAND;
    inflows.set(need.workspace, addDemand(inflow, runtime.now(), amount));
  };

  return {
    request: workspace => {
      short.add(workspace);
      scheduleRound();
    },
    expectTokens: (workspace, missing) => {
      const allowance = book.read(workspace);
      if (allowance === null) {
        return 0;
      }
      const now = runtime.now();
      const untilRoundMs = Math.max(0, lastRoundAt + ROUND_INTERVAL_MS - now);
      return untilRoundMs + expectLoanMs(missing, listLenders(allowance), now);
    },
    readInflow: workspace => {
      const inflow = inflows.get(workspace);
      return inflow === undefined ? 0 : readDemand(inflow, runtime.now());
    },
    handleAsk: (host, {ask, needs}) => {
      const loans = needs.map(lendTo);
      lent += loans.reduce((sum, {admission}) => sum + admission, 0);
      scheduleReport();
      send(host, {type: 'allowance_grant', ask, loans});
    },
    handleGrant: (host, {ask, loans}) => {
      const pending = asks.get(ask);
      if (pending?.host !== host) {
        return;
      }
      asks.delete(ask);
      if (book.readLoanClock() >= pending.expiresAt) {
        return;
      }
      for (const loan of loans) {
        const need = pending.needs.get(loan.workspace);
        if (need !== undefined) {
          noteHint(host, loan);
          borrow(need, loan, pending.expiresAt);
        }
      }
      cfg.onBorrowed();
    },
    close: () => {
      cancelRound?.();
      cancelReport?.();
    },
  };
}
