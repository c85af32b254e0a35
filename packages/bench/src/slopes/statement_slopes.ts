/** Measures the cost of callers, statements and sessions to a host. */

import type {RunMessage} from '@lacewingroad/core';
import {readHeapKb} from './cpu_time.js';
import type {HostHarness} from './host_harness.js';
import {printFit, printLine, printTallies} from './report.js';
import {measureSpan, resetMeters, startHost} from './scenarios.js';
import {createFleet} from './fleet_objects.js';
import type {Fleet, FleetSize} from './fleet_objects.js';

const MS_PER_SECOND = 1_000;
/** Statements of one measurement, and their arrival rate. */
const STATEMENTS = 3_060;
const STATEMENTS_PER_SECOND = 306;
const BYTES_PER_KB = 1_024;
const MAX_TALLIES = 8;
const READ_SQL = "SELECT id, state FROM orders WHERE id = 17 /*kind='kind-1'*/";
const WRITE_SQL =
  "UPDATE orders SET state = 'paid' WHERE id = 17 /*kind='kind-1'*/";

/** Statements and sessions of the callers. */
interface Workload {
  readonly name: string;
  readonly sql: string;
  readonly isNamedSession: boolean;
}

const WORKLOADS: readonly Workload[] = [
  {name: 'read', sql: READ_SQL, isNamedSession: false},
  {name: 'write', sql: WRITE_SQL, isNamedSession: false},
  {name: 'named read', sql: READ_SQL, isNamedSession: true},
  {name: 'named write', sql: WRITE_SQL, isNamedSession: true},
];

/** Opens callers of local groups; their numbers begin at `first`. */
function openCallers(
  harness: HostHarness,
  fleet: Fleet,
  first: number,
  count: number,
  isNamedSession: boolean,
): void {
  const localGroups = fleet.groups
    .map((group, index) => ({group, index}))
    .filter(({group}) =>
      group.endpoints.some(
        ({dataCentre}) =>
          dataCentre === harness.engine.getBoard().self.dataCentre,
      ),
    );
  for (let caller = first; caller < first + count; caller++) {
    const {index} = localGroups[caller % localGroups.length]!;
    harness.push({
      type: 'caller_opened',
      caller,
      user: 'app',
      service: fleet.tables[index]!.service,
      allowedServices: ['*'],
      attributes: isNamedSession
        ? {lacewingroad_session: `session-${caller}`}
        : {},
    });
  }
}

/** Schedules statements at a steady rate; returns the time they span. */
function sendStatements(
  harness: HostHarness,
  callers: number,
  sql: string,
  firstSeq: number,
): number {
  const interval = MS_PER_SECOND / STATEMENTS_PER_SECOND;
  for (let index = 0; index < STATEMENTS; index++) {
    const caller = index % callers;
    const seq = firstSeq + Math.floor(index / callers);
    harness.runtime.at(harness.runtime.now() + index * interval, () =>
      harness.push({
        type: 'caller_statement',
        caller,
        seq,
        statement: {sql, params: null},
      }),
    );
  }
  return STATEMENTS * interval;
}

/** Returns the processor time in microseconds of one statement. */
function measureWorkload(
  size: FleetSize,
  workload: Workload,
  callers: number,
): number {
  const fleet = createFleet(size);
  const harness = startHost(fleet, 'follower');
  openCallers(harness, fleet, 0, callers, workload.isNamedSession);
  const spanMs = sendStatements(harness, callers, workload.sql, 1);
  harness.run(spanMs);
  const idle = measureSpan(harness, spanMs);
  sendStatements(harness, callers, workload.sql, 1_000_000);
  resetMeters(harness);
  harness.run(spanMs);
  const busyMicros = harness.cpu.total() - (idle.cpuPerSecond * spanMs) / 1_000;
  const seconds = spanMs / MS_PER_SECOND;
  const replies = harness.replies
    .entries()
    .map(([type, {count}]) => [type, count]);
  printLine(
    `${workload.name} hosts ${size.hosts} callers ${callers}: replies ${JSON.stringify(replies)}`,
  );
  printTallies('cpu us', harness.cpu.entries(), seconds, MAX_TALLIES);
  printTallies('sent B', harness.sent.entries(), seconds, MAX_TALLIES);
  printTallies('received B', harness.received.entries(), seconds, MAX_TALLIES);
  return busyMicros / STATEMENTS;
}

/** Prints the cost of a statement against the number of hosts. */
export function printStatementSlopes(
  sizes: readonly FleetSize[],
  callers: number,
): void {
  for (const workload of WORKLOADS) {
    const points = sizes.map(size => ({
      size: size.hosts,
      cost: measureWorkload(size, workload, callers),
    }));
    printFit(`${workload.name} at the entry`, 'us', points);
  }
}

/** Creates a statement for an owned endpoint; null if the host owns none. */
function createRunMessage(
  harness: HostHarness,
  index: number,
): RunMessage | null {
  const owned = [...harness.engine.getBoard().endpoints.owned.entries()];
  const [endpoint, group] = owned[index % owned.length] ?? [null, null];
  if (endpoint === null || group === null) {
    return null;
  }
  return {
    type: 'run',
    request: `entry.1.${index}`,
    attempt: 1,
    group,
    endpoint,
    term: null,
    mode: 'autocommit',
    tx: null,
    statement: {sql: READ_SQL, params: null},
    isWrite: false,
    service: 'service-1',
    kind: 'kind-1',
    rank: 'standard',
    worth: 1,
    connectionLimit: 4,
    floorPercent: 0,
    callerKey: `session-${index % 1_000}`,
    targetLeftMs: 1_000,
    timeoutLeftMs: 15_000,
    minPosition: null,
    maxStalenessMs: null,
    ack: 'primary',
    key: null,
  };
}

/** Prints the cost of a statement at the owner of the endpoint. */
export function printOwnerSlopes(sizes: readonly FleetSize[]): void {
  const points = sizes.map(size => {
    const fleet = createFleet(size);
    const harness = startHost(fleet, 'follower');
    const spanMs = (STATEMENTS * MS_PER_SECOND) / STATEMENTS_PER_SECOND;
    const idle = measureSpan(harness, spanMs);
    const sendAll = (from: number): void => {
      for (let index = 0; index < STATEMENTS; index++) {
        const offset = (index * MS_PER_SECOND) / STATEMENTS_PER_SECOND;
        const msg = createRunMessage(harness, from + index);
        if (msg !== null) {
          harness.runtime.at(harness.runtime.now() + offset, () =>
            harness.receive(fleet.hosts[0]!.id, msg),
          );
        }
      }
    };
    sendAll(0);
    harness.run(spanMs);
    sendAll(STATEMENTS);
    resetMeters(harness);
    harness.run(spanMs);
    const seconds = spanMs / MS_PER_SECOND;
    printLine(`owner at ${size.hosts} hosts`);
    printTallies('cpu us', harness.cpu.entries(), seconds, MAX_TALLIES);
    printTallies('sent B', harness.sent.entries(), seconds, 2);
    const busy = harness.cpu.total() - idle.cpuPerSecond * seconds;
    return {size: size.hosts, cost: busy / STATEMENTS};
  });
  printFit('statement at the owner', 'us', points);
}

/** Prints the heap that callers and stored sessions use. */
export function printHeapSlopes(size: FleetSize): void {
  const fleet = createFleet(size);
  const harness = startHost(fleet, 'follower');
  const counts = [0, 2_500, 5_000, 10_000];
  let opened = 0;
  const callers = counts.map(count => {
    openCallers(harness, fleet, opened, count - opened, true);
    opened = count;
    return {size: count, cost: readHeapKb()};
  });
  printFit('heap of callers in the engine', 'KiB', callers);
  let held = 0;
  const positions = {'ledger-1': {term: 1, index: 7}};
  const sessions = counts.map(count => {
    for (; held < count; held++) {
      const session = `session-${held}`;
      harness.receive(fleet.hosts[1]!.id, {
        type: 'put_session',
        ask: held,
        session,
        positions,
      });
    }
    return {size: count, cost: readHeapKb()};
  });
  printFit('heap of held sessions', 'KiB', sessions);
  printLine(`(${BYTES_PER_KB} bytes to the KiB)`);
}
