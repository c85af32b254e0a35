/**
 * Runs an experiment on the decision library under virtual time: open-loop
 * callers against entry hosts, endpoints and platform of fakes.
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
import type {Ending, Sample} from './recorder.js';
import {createCallers} from './virtual_callers.js';
import type {SessionState} from './virtual_callers.js';
import {createSharedConns} from './shared_conns.js';
import {askOracle} from './virtual_oracle.js';
import type {OracleAnswer} from './virtual_oracle.js';
import {buildSite, scheduleFaults} from './virtual_site.js';

/** What one run of one baseline gave. */
export interface VirtualRun {
  readonly samples: readonly Sample[];
  /** Statements that endpoints ran, by endpoint and instant of their start. */
  readonly runs: ReadonlyMap<EndpointId, readonly number[]>;
  /** Reads whose replica did not have the session's last write. */
  readonly staleReads: number;
  /** Calls that the platform counted. */
  readonly platformCalls: {readonly reads: number; readonly updates: number};
  /** Length of the run without the time for late answers. */
  readonly endMs: number;
}

/** Time after the last arrival in which answers still count. */
const LATE_ANSWERS_MS = 6_000;
const STATEMENT_ID = /'(?:w\.)?(\d+)'/;
const NOT_RUN_ERRNO = 9101;
const UNKNOWN_ERRNO = 9102;
/** Tells a session that a write of it was lost in a change of primary. */
const WRITE_LOST_ERRNO = 9103;
const CALLER_SEED_STEP = 104_729;
const MS_PER_SECOND = 1_000;
/** Prefix of no row, so that reads cost the same throughout. */
const NO_ROWS = 'none';

/** An arrival on its way. */
interface Progress {
  readonly arrival: Arrival;
  readonly row: TableRow;
  readonly possible: OracleAnswer;
  readonly wantedIndex: number;
  runs: number;
  isByReplica: boolean;
}

/** Tells how a request ended. */
function readEnding(answer: CallerAnswer): Ending {
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
    : formatSelect(String(arrival.id), NO_ROWS, hints);
}

/** Finds the position of an arrival's row, which is among the last ones. */
function findWritten(endpoint: FakeEndpoint, id: number): LogPosition | null {
  const entry = endpoint.ledger.entries.findLast(({ops}) =>
    ops.some(op => op.type === 'row' && op.id === `w.${id}`),
  );
  return entry === undefined ? null : {term: entry.term, index: entry.index};
}

interface RunState {
  readonly exp: Experiment;
  readonly site: FakeSite;
  readonly progress: Map<number, Progress>;
  readonly samples: Sample[];
  readonly runs: Map<EndpointId, number[]>;
  staleReads: number;
}

/** Notes each statement of an arrival that an endpoint begins to run. */
function watchEndpoint(state: RunState, endpoint: FakeEndpoint): void {
  const {runtime} = state.site;
  const {serviceMs} = state.exp.site;
  const starts: number[] = [];
  state.runs.set(endpoint.node.id, starts);
  endpoint.load.serviceMs = sql => {
    const id = Number(STATEMENT_ID.exec(sql)?.[1] ?? 0);
    const progress = state.progress.get(id);
    if (progress === undefined) {
      return serviceMs;
    }
    starts.push(runtime.now());
    progress.runs += 1;
    progress.isByReplica = !endpoint.isPrimary();
    if (progress.isByReplica && !progress.arrival.isWrite) {
      runtime.at(runtime.now() + serviceMs, () => {
        endpoint.catchUp();
        const index = endpoint.ledger.entries.length;
        state.staleReads += index < progress.wantedIndex ? 1 : 0;
      });
    }
    return serviceMs;
  };
}

/** Notes the position of an acknowledged write for its session. */
function noteWrite(
  state: RunState,
  group: string,
  id: number,
  session: SessionState,
): void {
  const {primary} = state.site.readGroup(group);
  const written = findWritten(state.site.endpoints.get(primary)!, id);
  if (written !== null) {
    session.written = latestPosition(session.written ?? written, written);
  }
}

function toSample(progress: Progress, ending: Ending, endedAt: number): Sample {
  const {arrival, row, possible, isByReplica, runs} = progress;
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
    ending,
    isByReplica,
    couldReplica: possible.byReplica,
    couldServe: possible.atAll,
    runs,
  };
}

/** Runs one baseline once. Equal seeds give equal arrivals and runs. */
export function runVirtual(
  exp: Experiment,
  baseline: Baseline,
  seed: number,
  onProgress: (second: number) => void,
): VirtualRun {
  const site = buildSite(exp, baseline, seed);
  const {runtime} = site;
  const draws = createVirtualRuntime(seed + CALLER_SEED_STEP);
  const callers = createCallers(site, draws.random);
  const callersMs = exp.site.delayMs.callers;
  const startMs = exp.warmUpS * MS_PER_SECOND;
  const endMs = startMs + exp.durationS * MS_PER_SECOND;
  const shared = baseline === 'equal_shares' ? createSharedConns(site) : null;
  const state: RunState = {
    exp,
    site,
    progress: new Map(),
    samples: [],
    runs: new Map(),
    staleReads: 0,
  };
  site.endpoints.forEach(endpoint => watchEndpoint(state, endpoint));
  scheduleFaults(site, exp.faults, startMs);

  const finish = (progress: Progress, ending: Ending, at: number): void => {
    state.samples.push(toSample(progress, ending, at));
  };

  const begin = (arrival: Arrival): void => {
    const table = site.readTable(arrival.service);
    const row = findRow(table, arrival.kind);
    const {caller, session, release} = callers.take(arrival);
    const possible = askOracle(site, {
      host: caller.host.node,
      group: table.group,
      isWrite: arrival.isWrite,
      wanted: session.written,
      maxStalenessMs: row.maxStalenessMs,
    });
    const progress: Progress = {
      arrival,
      row,
      possible,
      wantedIndex: session.written?.index ?? 0,
      runs: 0,
      isByReplica: false,
    };
    state.progress.set(arrival.id, progress);
    const send: FakeCaller['send'] =
      shared === null
        ? caller.send
        : (sql, onAnswer) => {
            const {endpoints} = possible;
            const sentAt = runtime.now();
            const onEnd = (reply: Reply | null): void =>
              onAnswer({seq: 0, sql, sentAt, answeredAt: runtime.now(), reply});
            shared.send({
              host: caller.host.node.id,
              endpoints,
              row,
              sql,
              onEnd,
            });
          };
    send(formatSql(arrival), answer => {
      const ending = readEnding(answer);
      if (ending === 'done' && arrival.isWrite) {
        noteWrite(state, table.group, arrival.id, session);
      }
      if (readErrno(answer) === WRITE_LOST_ERRNO) {
        session.written = null;
      }
      finish(progress, ending, runtime.now() + callersMs);
      state.progress.delete(arrival.id);
      release();
    });
  };

  const arrivals = drawArrivals(exp, seed);
  const schedule = (at: number): void => {
    const arrival = arrivals[at];
    if (arrival !== undefined) {
      runtime.at(arrival.at + callersMs, () => {
        schedule(at + 1);
        begin(arrival);
      });
    }
  };
  schedule(0);
  const lastMs = endMs + LATE_ANSWERS_MS;
  for (let at = MS_PER_SECOND; at <= lastMs; at += MS_PER_SECOND) {
    runtime.runUntil(at);
    onProgress(at / MS_PER_SECOND);
  }
  state.progress.forEach(progress => finish(progress, 'unanswered', lastMs));
  return {
    samples: state.samples,
    runs: state.runs,
    staleReads: state.staleReads,
    platformCalls: {...site.platform.calls},
    endMs,
  };
}
