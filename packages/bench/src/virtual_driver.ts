/**
 * Runs an experiment on the decision library under virtual time: open-loop
 * callers against entry hosts with fake endpoints and a fake platform.
 */

import {findRow, latestPosition} from '@lacewingroad/core';
import type {
  EndpointId,
  LogPosition,
  Reply,
  TableRow,
} from '@lacewingroad/core';
import {formatInsert, formatSelect, readErrno} from '@lacewingroad/fakes';
import type {
  CallerAnswer,
  FakeCaller,
  FakeEndpoint,
  FakeSite,
} from '@lacewingroad/fakes';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import {drawArrivals} from './arrivals.js';
import type {Arrival} from './arrivals.js';
import type {Baseline, Experiment} from './experiment.js';
import type {SampleOutcome, Sample} from './samples.js';
import {createCallers} from './virtual_callers.js';
import type {SessionState} from './virtual_callers.js';
import {createEqualShares} from './equal_shares.js';
import {queryOracle} from './virtual_oracle.js';
import type {OracleResult} from './virtual_oracle.js';
import {buildSite, scheduleFaults} from './virtual_site.js';

/** Results of one run of one baseline. */
export interface VirtualRun {
  readonly samples: readonly Sample[];
  /** Start times of the statements that each endpoint ran. */
  readonly runs: ReadonlyMap<EndpointId, readonly number[]>;
  /** Reads on a replica that lacked the session's last write. */
  readonly staleReads: number;
  /** Calls that the platform received. */
  readonly platformCalls: {readonly reads: number; readonly updates: number};
  /** Length of the run without the window for late answers. */
  readonly endMs: number;
}

/** Time after the end of the load in which answers still count. */
const LATE_ANSWER_WINDOW_MS = 6_000;
const STATEMENT_ID = /'(?:w\.)?(\d+)'/;
const NOT_RUN_ERRNO = 9101;
const UNKNOWN_ERRNO = 9102;
/** Error that reports a write of the session lost by a change of primary. */
const LOST_WRITE_ERRNO = 9103;
const CALLER_SEED_STEP = 104_729;
const MS_PER_SECOND = 1_000;
/** No row has this prefix, so that the cost of reads stays constant. */
const UNMATCHED_PREFIX = 'none';

/** A request without an answer yet. */
interface PendingRequest {
  readonly arrival: Arrival;
  readonly row: TableRow;
  readonly oracleResult: OracleResult;
  readonly requiredIndex: number;
  runs: number;
  isServedByReplica: boolean;
}

/** Derives the outcome of a request from its answer. */
function classifyAnswer(answer: CallerAnswer): SampleOutcome {
  if (answer.reply?.type === 'result') {
    return 'done';
  }
  const errno = readErrno(answer);
  if (errno === NOT_RUN_ERRNO) {
    return 'not_run';
  }
  const isUnknown = errno === null || errno === UNKNOWN_ERRNO;
  return isUnknown ? 'unknown' : 'failed';
}

function formatSql(arrival: Arrival): string {
  const hints = `/*kind='${arrival.kind}'*/`;
  return arrival.isWrite
    ? formatInsert(`w.${arrival.id}`, hints)
    : formatSelect(String(arrival.id), UNMATCHED_PREFIX, hints);
}

/** Finds the position of an arrival's write; searches the newest first. */
function findWritePosition(
  endpoint: FakeEndpoint,
  id: number,
): LogPosition | null {
  const entry = endpoint.ledger.entries.findLast(({ops}) =>
    ops.some(op => op.type === 'row' && op.id === `w.${id}`),
  );
  return entry === undefined ? null : {term: entry.term, index: entry.index};
}

interface RunState {
  readonly exp: Experiment;
  readonly site: FakeSite;
  readonly pending: Map<number, PendingRequest>;
  readonly samples: Sample[];
  readonly runs: Map<EndpointId, number[]>;
  staleReads: number;
}

/** Records each statement of an arrival that an endpoint starts to run. */
function recordExecutions(state: RunState, endpoint: FakeEndpoint): void {
  const {runtime} = state.site;
  const {serviceMs} = state.exp.site;
  const starts: number[] = [];
  state.runs.set(endpoint.node.id, starts);
  endpoint.load.serviceMs = sql => {
    const id = Number(STATEMENT_ID.exec(sql)?.[1] ?? 0);
    const request = state.pending.get(id);
    if (request === undefined) {
      return serviceMs;
    }
    starts.push(runtime.now());
    request.runs += 1;
    request.isServedByReplica = !endpoint.isPrimary();
    if (request.isServedByReplica && !request.arrival.isWrite) {
      runtime.at(runtime.now() + serviceMs, () => {
        endpoint.catchUp();
        const index = endpoint.ledger.entries.length;
        state.staleReads += index < request.requiredIndex ? 1 : 0;
      });
    }
    return serviceMs;
  };
}

/** Records the position of an acknowledged write in its session. */
function recordWrite(
  state: RunState,
  group: string,
  id: number,
  session: SessionState,
): void {
  const {primary} = state.site.readGroup(group);
  const written = findWritePosition(state.site.endpoints.get(primary)!, id);
  if (written !== null) {
    session.written = latestPosition(session.written ?? written, written);
  }
}

function toSample(
  request: PendingRequest,
  outcome: SampleOutcome,
  endedAt: number,
): Sample {
  const {arrival, row, oracleResult, isServedByReplica, runs} = request;
  const {service, kind, isWrite, isNamedSession, at} = arrival;
  return {
    rank: row.rank,
    service,
    kind,
    isWrite,
    isNamedSession,
    worth: row.worth,
    targetMs: row.targetMs,
    at,
    endedAt,
    outcome,
    isServedByReplica,
    couldReplicaServe: oracleResult.couldReplicaServe,
    couldServe: oracleResult.couldServe,
    runs,
  };
}

/** Runs one baseline once. Equal seeds give equal runs. */
export function runVirtual(
  exp: Experiment,
  baseline: Baseline,
  seed: number,
  onProgress: (second: number) => void,
): VirtualRun {
  const site = buildSite(exp, baseline, seed);
  const {runtime} = site;
  const callerRuntime = createVirtualRuntime(seed + CALLER_SEED_STEP);
  const callers = createCallers(site, callerRuntime.random);
  const callersMs = exp.site.delayMs.callers;
  const startMs = exp.warmUpS * MS_PER_SECOND;
  const endMs = startMs + exp.durationS * MS_PER_SECOND;
  const equalShares =
    baseline === 'equal_shares' ? createEqualShares(site) : null;
  const state: RunState = {
    exp,
    site,
    pending: new Map(),
    samples: [],
    runs: new Map(),
    staleReads: 0,
  };
  site.endpoints.forEach(endpoint => recordExecutions(state, endpoint));
  scheduleFaults(site, exp.faults, startMs);

  const finish = (
    request: PendingRequest,
    outcome: SampleOutcome,
    at: number,
  ): void => {
    state.samples.push(toSample(request, outcome, at));
  };

  const sendArrival = (arrival: Arrival): void => {
    const table = site.readTable(arrival.service);
    const row = findRow(table, arrival.kind);
    const {caller, session, release} = callers.acquire(arrival);
    const oracleResult = queryOracle(site, {
      host: caller.host.node,
      group: table.group,
      isWrite: arrival.isWrite,
      wanted: session.written,
      maxStalenessMs: row.maxStalenessMs,
    });
    const request: PendingRequest = {
      arrival,
      row,
      oracleResult,
      requiredIndex: session.written?.index ?? 0,
      runs: 0,
      isServedByReplica: false,
    };
    state.pending.set(arrival.id, request);
    const send: FakeCaller['send'] =
      equalShares === null
        ? caller.send
        : (sql, onAnswer) => {
            const {endpoints} = oracleResult;
            const sentAt = runtime.now();
            const onEnd = (reply: Reply | null): void =>
              onAnswer({seq: 0, sql, sentAt, answeredAt: runtime.now(), reply});
            equalShares.send({
              host: caller.host.node.id,
              endpoints,
              row,
              sql,
              onEnd,
            });
          };
    send(formatSql(arrival), answer => {
      const outcome = classifyAnswer(answer);
      if (outcome === 'done' && arrival.isWrite) {
        recordWrite(state, table.group, arrival.id, session);
      }
      if (readErrno(answer) === LOST_WRITE_ERRNO) {
        session.written = null;
      }
      finish(request, outcome, runtime.now() + callersMs);
      state.pending.delete(arrival.id);
      release();
    });
  };

  const arrivals = drawArrivals(exp, seed);
  const scheduleArrival = (index: number): void => {
    const arrival = arrivals[index];
    if (arrival !== undefined) {
      runtime.at(arrival.at + callersMs, () => {
        scheduleArrival(index + 1);
        sendArrival(arrival);
      });
    }
  };
  scheduleArrival(0);
  const lastMs = endMs + LATE_ANSWER_WINDOW_MS;
  for (let at = MS_PER_SECOND; at <= lastMs; at += MS_PER_SECOND) {
    runtime.runUntil(at);
    onProgress(at / MS_PER_SECOND);
  }
  state.pending.forEach(request => finish(request, 'unanswered', lastMs));
  return {
    samples: state.samples,
    runs: state.runs,
    staleReads: state.staleReads,
    platformCalls: {...site.platform.calls},
    endMs,
  };
}
