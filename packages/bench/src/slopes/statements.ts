/** What callers, their statements and their sessions cost a host. */

import type {RunMessage} from '@lacewingroad/core';
import {readHeapKb} from './cpu_time.js';
import type {LoneHost} from './lone_host.js';
import {printFit, printLine, printTallies} from './report.js';
import {measureSpan, resetMeters, startHost} from './scenarios.js';
import {createFleet} from './site_objects.js';
import type {Fleet, FleetSize} from './site_objects.js';

const MS_PER_SECOND = 1_000;
/** Statements of one measurement, and how many arrive a second. */
const STATEMENTS = 3_060;
const STATEMENTS_PER_SECOND = 306;
const BYTES_PER_KB = 1_024;
const TALLIES = 8;
const READ_SQL = "SELECT id, state FROM orders WHERE id = 17 /*kind='kind-1'*/";
const WRITE_SQL =
  "UPDATE orders SET state = 'paid' WHERE id = 17 /*kind='kind-1'*/";

/** How callers work. */
interface Work {
  readonly name: string;
  readonly sql: string;
  readonly isNamedSession: boolean;
}

const WORKS: readonly Work[] = [
  {name: 'read', sql: READ_SQL, isNamedSession: false},
  {name: 'write', sql: WRITE_SQL, isNamedSession: false},
  {name: 'named read', sql: READ_SQL, isNamedSession: true},
  {name: 'named write', sql: WRITE_SQL, isNamedSession: true},
];

/** Opens callers; their numbers begin at `first`. */
function openCallers(
  lone: LoneHost,
  fleet: Fleet,
  first: number,
  count: number,
  isNamedSession: boolean,
): void {
  const near = fleet.groups
    .map((group, at) => ({group, at}))
    .filter(({group}) =>
      group.endpoints.some(
        ({dataCentre}) => dataCentre === lone.engine.getBoard().self.dataCentre,
      ),
    );
  for (let caller = first; caller < first + count; caller++) {
    const {at} = near[caller % near.length]!;
    lone.push({
      type: 'caller_opened',
      caller,
      user: 'app',
      service: fleet.tables[at]!.service,
      allowedServices: ['*'],
      attributes: isNamedSession
        ? {lacewingroad_session: `session-${caller}`}
        : {},
    });
  }
}

/** Lets callers send statements at a steady rate; returns the time needed. */
function sendStatements(
  lone: LoneHost,
  callers: number,
  sql: string,
  firstSeq: number,
): number {
  const interval = MS_PER_SECOND / STATEMENTS_PER_SECOND;
  for (let at = 0; at < STATEMENTS; at++) {
    const caller = at % callers;
    const seq = firstSeq + Math.floor(at / callers);
    lone.runtime.at(lone.runtime.now() + at * interval, () =>
      lone.push({
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
function measureWork(size: FleetSize, work: Work, callers: number): number {
  const fleet = createFleet(size);
  const lone = startHost(fleet, 'follower');
  openCallers(lone, fleet, 0, callers, work.isNamedSession);
  const spanMs = sendStatements(lone, callers, work.sql, 1);
  lone.run(spanMs);
  const idle = measureSpan(lone, spanMs);
  sendStatements(lone, callers, work.sql, 1_000_000);
  resetMeters(lone);
  lone.run(spanMs);
  const busyMicros = lone.cpu.total() - (idle.cpuPerSecond * spanMs) / 1_000;
  const seconds = spanMs / MS_PER_SECOND;
  const replies = lone.replies
    .entries()
    .map(([type, {count}]) => [type, count]);
  printLine(
    `${work.name} hosts ${size.hosts} callers ${callers}: replies ${JSON.stringify(replies)}`,
  );
  printTallies('cpu us', lone.cpu.entries(), seconds, TALLIES);
  printTallies('sent B', lone.sent.entries(), seconds, TALLIES);
  printTallies('received B', lone.received.entries(), seconds, TALLIES);
  return busyMicros / STATEMENTS;
}

/** Prints the cost of a statement against the hosts. */
export function printStatementSlopes(
  sizes: readonly FleetSize[],
  callers: number,
): void {
  for (const work of WORKS) {
    const points = sizes.map(size => ({
      size: size.hosts,
      cost: measureWork(size, work, callers),
    }));
    printFit(`${work.name} at the entry`, 'us', points);
  }
}

/** Returns a statement for an endpoint that a host owns, or null. */
function createRun(lone: LoneHost, at: number): RunMessage | null {
  const owned = [...lone.engine.getBoard().endpoints.owned.entries()];
  const [endpoint, group] = owned[at % owned.length] ?? [null, null];
  if (endpoint === null || group === null) {
    return null;
  }
  return {
    type: 'run',
    request: `entry.1.${at}`,
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
    callerKey: `session-${at % 1_000}`,
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
    const lone = startHost(fleet, 'follower');
    const spanMs = (STATEMENTS * MS_PER_SECOND) / STATEMENTS_PER_SECOND;
    const idle = measureSpan(lone, spanMs);
    const sendAll = (from: number): void => {
      for (let at = 0; at < STATEMENTS; at++) {
        const offset = (at * MS_PER_SECOND) / STATEMENTS_PER_SECOND;
        const msg = createRun(lone, from + at);
        if (msg !== null) {
          lone.runtime.at(lone.runtime.now() + offset, () =>
            lone.receive(fleet.hosts[0]!.id, msg),
          );
        }
      }
    };
    sendAll(0);
    lone.run(spanMs);
    sendAll(STATEMENTS);
    resetMeters(lone);
    lone.run(spanMs);
    const seconds = spanMs / MS_PER_SECOND;
    printLine(`owner at ${size.hosts} hosts`);
    printTallies('cpu us', lone.cpu.entries(), seconds, TALLIES);
    printTallies('sent B', lone.sent.entries(), seconds, 2);
    const busy = lone.cpu.total() - idle.cpuPerSecond * seconds;
    return {size: size.hosts, cost: busy / STATEMENTS};
  });
  printFit('statement at the owner', 'us', points);
}

/** Prints the heap that callers hold and that held sessions hold. */
export function printHeapSlopes(size: FleetSize): void {
  const fleet = createFleet(size);
  const lone = startHost(fleet, 'follower');
  const counts = [0, 2_500, 5_000, 10_000];
  let opened = 0;
  const callers = counts.map(count => {
    openCallers(lone, fleet, opened, count - opened, true);
    opened = count;
    return {size: count, cost: readHeapKb()};
  });
  printFit('heap of callers in the engine', 'KiB', callers);
  let held = 0;
  const positions = {'ledger-1': {term: 1, index: 7}};
  const sessions = counts.map(count => {
    for (; held < count; held++) {
      const session = `session-${held}`;
      lone.receive(fleet.hosts[1]!.id, {
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
