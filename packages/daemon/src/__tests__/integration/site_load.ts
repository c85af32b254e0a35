/** Load generators of the failure tests, and checks against the ledgers. */

import {expect, vi} from 'vitest';
import type {Connection, ResultSetHeader, RowDataPacket} from 'mysql2/promise';
import type {EndpointState, Site} from '@lacewingroad/standins';
import {
  CHANGE_BOUND_MS,
  connect,
  pause,
  readGroup,
  readLastPromotionTime,
} from './failure_site.js';

export const NOT_RUN = 9101;
/** Time between two writes at one host, in milliseconds. */
const WRITE_INTERVAL_MS = 50;
/** Callers per host in a flood; every other one reads. */
const FLOOD_CALLERS = 30;
/** Time between the answer to a caller of a flood and its next request. */
const FLOOD_PAUSE_MS = 50;
/** Time to wait for the last answers when a load stops. */
const LAST_ANSWERS_TIMEOUT_MS = 20_000;
/** Time that an answer may be in transit after it was sent. */
const ANSWER_TRANSIT_MS = 300;

/** One write and its answer. */
export interface Write {
  readonly id: number;
  readonly key: string;
  readonly host: string;
  /** Wall clock, in milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 if acknowledged, -1 if the connection is lost, else the error number. */
  readonly errno: number;
  readonly message: string;
}

/** Callers that write at a constant rate until stopped. */
export interface Load {
  readonly writes: readonly Write[];
  readonly stop: () => Promise<void>;
}

let nextId = 1;

async function writeOnce(
  connection: Connection,
  host: string,
  kind: string,
  isKeyed = true,
): Promise<Write> {
  const id = nextId;
  nextId += 1;
  const key = `order-${id}`;
  const sentAt = Date.now();
  const hint = isKeyed ? `kind='${kind}',key='${key}'` : `kind='${kind}'`;
  const sql = `/*${hint}*/ INSERT INTO orders VALUES (${id})`;
  const {errno, message} = await connection.query<ResultSetHeader>(sql).then(
    () => ({errno: 0, message: ''}),
    (err: {readonly errno?: number; readonly message: string}) => ({
      errno: (err.errno ?? 0) > 0 ? err.errno! : -1,
      message: err.message,
    }),
  );
  return {id, key, host, sentAt, endedAt: Date.now(), errno, message};
}

/**
 * Sends writes to each host at a constant rate, regardless of how long earlier
 * ones take.
 */
export function startLoad(
  site: Site,
  hosts: readonly string[],
  kind = 'payment',
  isKeyed = true,
): Load {
  const writes: Write[] = [];
  const open = new Set<Connection>();
  const idle = new Map<string, Connection[]>(hosts.map(host => [host, []]));
  const running = new Set<Promise<void>>();
  const send = async (host: string): Promise<void> => {
    const reused = idle.get(host)!.pop();
    const connection = reused ?? (await connect(site, host).catch(() => null));
    if (connection === null) {
      return;
    }
    open.add(connection);
    const write = await writeOnce(connection, host, kind, isKeyed);
    writes.push(write);
    if (write.errno === -1) {
      connection.destroy();
      open.delete(connection);
      return;
    }
    idle.get(host)!.push(connection);
  };
  const tick = (): void => {
    for (const host of hosts) {
      const sending: Promise<void> = send(host).finally(() =>
        running.delete(sending),
      );
      running.add(sending);
    }
  };
  const timer = setInterval(tick, WRITE_INTERVAL_MS);
  return {
    writes,
    stop: async () => {
      clearInterval(timer);
      await Promise.race([
        Promise.all(running),
        pause(LAST_ANSWERS_TIMEOUT_MS),
      ]);
      open.forEach(connection => connection.destroy());
    },
  };
}

/** Many more callers than slots; half of them read. */
export interface Flood extends Load {
  /** Returns the number of requests without an answer yet. */
  readonly countOpen: () => number;
}

/** Floods hosts with reads and writes of a kind. */
export function startFlood(
  site: Site,
  hosts: readonly string[],
  kind: string,
): Flood {
  const writes: Write[] = [];
  const open = new Set<Connection>();
  let running = 0;
  let isOver = false;
  /** Sends one request and returns whether the connection is still usable. */
  const sendRequest = async (
    connection: Connection,
    host: string,
    isReader: boolean,
  ): Promise<boolean> => {
    if (isReader) {
      const read = `/*kind='${kind}'*/ SELECT COUNT(*) AS n FROM orders`;
      return connection.query(read).then(
        () => true,
        (err: {readonly fatal?: boolean}) => err.fatal !== true,
      );
    }
    const write = await writeOnce(connection, host, kind);
    writes.push(write);
    return write.errno !== -1;
  };
  const runCaller = async (host: string, isReader: boolean): Promise<void> => {
    let connection: Connection | null = null;
    while (!isOver) {
      connection ??= await connect(site, host).catch(() => null);
      if (connection !== null) {
        open.add(connection);
        running += 1;
        const isUsable = await sendRequest(connection, host, isReader);
        running -= 1;
        connection = isUsable ? connection : null;
      }
      await pause(FLOOD_PAUSE_MS);
    }
  };
  const callers = hosts.flatMap(host =>
    Array.from({length: FLOOD_CALLERS}, (_, index) =>
      runCaller(host, index % 2 === 0),
    ),
  );
  return {
    writes,
    countOpen: () => running,
    stop: async () => {
      isOver = true;
      await Promise.race([
        Promise.all(callers),
        pause(LAST_ANSWERS_TIMEOUT_MS),
      ]);
      open.forEach(connection => connection.destroy());
    },
  };
}

/** Prints a measured duration to the output of the run. */
export function reportDuration(name: string, ms: number): void {
  process.stdout.write(`measured: ${name}: ${Math.round(ms)} ms\n`);
}

/** Stops a load and checks the guarantees that hold under any fault. */
export async function endLoad(
  site: Site,
  load: Load,
): Promise<LedgerComparison> {
  await load.stop();
  const comparison = await compareWithLedgers(site, load);
  expect(comparison.duplicated).toEqual([]);
  expect(comparison.falseNotRun).toEqual([]);
  expect(lostAfter(comparison, readLastPromotionTime(site))).toEqual([]);
  return comparison;
}

/** Waits for the first write that matches and returns it. */
export async function waitForWrite(
  load: Load,
  matches: (write: Write) => boolean,
  timeout = CHANGE_BOUND_MS,
): Promise<Write> {
  return vi.waitFor(
    () => {
      const found = load.writes.find(matches);
      if (found === undefined) {
        const last = load.writes.slice(-3).map(w => `${w.errno} ${w.message}`);
        throw new Error(`no such write; the last: ${last.join('; ')}`);
      }
      return found;
    },
    {timeout, interval: 20},
  );
}

/** Returns a predicate for writes sent since an instant and acknowledged. */
export function ackedSince(
  instant: number,
  hosts?: readonly string[],
): (write: Write) => boolean {
  return write =>
    write.errno === 0 &&
    write.sentAt >= instant &&
    (hosts === undefined || hosts.includes(write.host));
}

/** Returns the longest gap between acknowledgements that ends after `since`. */
export function findLongestAckGap(load: Load, since: number): number {
  const acks = load.writes
    .filter(({errno}) => errno === 0)
    .map(({endedAt}) => endedAt)
    .sort((a, b) => a - b);
  let longest = 0;
  acks.forEach((endedAt, index) => {
    const before = acks[index - 1];
    if (before !== undefined && endedAt >= since) {
      longest = Math.max(longest, endedAt - before);
    }
  });
  return longest;
}

/** Answers to callers that contradict the endpoints' ledgers. */
interface LedgerComparison {
  /** Acknowledged, but missing in the surviving history. */
  readonly lost: readonly Write[];
  /** Ran more than once in the surviving history. */
  readonly duplicated: readonly Write[];
  /** Reported as not run, but in the history of an endpoint. */
  readonly falseNotRun: readonly Write[];
}

interface OrderRow extends RowDataPacket {
  readonly id: number;
}

/** Returns the state of an endpoint, or null if its process is not running. */
function readState(site: Site, id: string): Promise<EndpointState | null> {
  return site.processes.isRunning(id)
    ? site.endpoint(id).state()
    : Promise.resolve(null);
}

/** Counts the rows of each order in the surviving history. */
async function countOrders(site: Site): Promise<ReadonlyMap<number, number>> {
  const caller = await connect(site, 'b-1');
  const [rows] = await caller.query<OrderRow[]>('SELECT id FROM orders');
  caller.destroy();
  const counts = new Map<number, number>();
  rows.forEach(({id}) => counts.set(id, (counts.get(id) ?? 0) + 1));
  return counts;
}

/** Compares the answers of a load with the ledgers of the running endpoints. */
export async function compareWithLedgers(
  site: Site,
  load: Load,
): Promise<LedgerComparison> {
  const {primary} = await readGroup(site);
  const states = await Promise.all(
    site.plan.endpoints.map(async ({id}) => ({
      id,
      keys: (await readState(site, id))?.requestKeys ?? {},
    })),
  );
  const orders = await countOrders(site);
  const primaryKeys = states.find(({id}) => id === primary)!.keys;
  const countRuns = ({id, key}: Write): number =>
    Math.max(orders.get(id) ?? 0, primaryKeys[key]?.surviving ?? 0);
  const ranAnywhere = (write: Write): boolean =>
    countRuns(write) > 0 ||
    states.some(({keys}) => (keys[write.key]?.total ?? 0) > 0);
  const {writes} = load;
  return {
    lost: writes.filter(
      write => write.errno === 0 && (orders.get(write.id) ?? 0) === 0,
    ),
    duplicated: writes.filter(write => countRuns(write) > 1),
    falseNotRun: writes.filter(
      write => write.errno === NOT_RUN && ranAnywhere(write),
    ),
  };
}

/** Returns lost writes that a primary acknowledged after its replacement. */
export function lostAfter(
  comparison: LedgerComparison,
  termStartedAt: number,
): readonly Write[] {
  return comparison.lost.filter(
    ({sentAt, endedAt}) =>
      sentAt >= termStartedAt || endedAt >= termStartedAt + ANSWER_TRANSIT_MS,
  );
}
