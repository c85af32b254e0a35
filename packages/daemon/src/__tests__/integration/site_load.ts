/** Loads of the failure tests, and what the ledgers say of their answers. */

import {expect, vi} from 'vitest';
import type {Connection, ResultSetHeader, RowDataPacket} from 'mysql2/promise';
import type {EndpointState, Site} from '@lacewingroad/standins';
import {
  CHANGE_BOUND_MS,
  connect,
  pause,
  readGroup,
  readPromotedAt,
} from './site_story.js';

export const NOT_RUN = 9101;
/** Time between two writes at one host. */
const PACE_MS = 50;
/** Callers of a flood at one host; every other one reads. */
const FLOOD_CALLERS = 30;
/** Time between the answer to a caller of a flood and its next request. */
const FLOOD_PAUSE_MS = 50;
/** Time given to the last answers when a load ends. */
const LAST_ANSWER_MS = 20_000;
/** Time that an answer may be on its way after it was decided. */
const ANSWER_TRANSIT_MS = 300;

/** One write and its answer. */
export interface Write {
  readonly id: number;
  readonly key: string;
  readonly host: string;
  /** Wall clock, in milliseconds. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 for an acknowledgement, else the error number, -1 for a lost link. */
  readonly errno: number;
  readonly message: string;
}

/** Callers that write at a steady pace until they are stopped. */
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
 * Sends a write at each of the hosts at a steady pace, however long the ones
 * before it take.
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
    const spare = idle.get(host)!.pop();
    const connection = spare ?? (await connect(site, host).catch(() => null));
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
  const timer = setInterval(tick, PACE_MS);
  return {
    writes,
    stop: async () => {
      clearInterval(timer);
      await Promise.race([Promise.all(running), pause(LAST_ANSWER_MS)]);
      open.forEach(connection => connection.destroy());
    },
  };
}

/** Callers without pause, half of them reading, far more than slots. */
export interface Flood extends Load {
  /** Returns how many requests wait for their answer. */
  readonly countOpen: () => number;
}

/** Floods hosts with work of a kind. */
export function startFlood(
  site: Site,
  hosts: readonly string[],
  kind: string,
): Flood {
  const writes: Write[] = [];
  const open = new Set<Connection>();
  let running = 0;
  let isOver = false;
  /** Sends one request and tells whether the connection still stands. */
  const ask = async (
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
  const call = async (host: string, isReader: boolean): Promise<void> => {
    let connection: Connection | null = null;
    while (!isOver) {
      connection ??= await connect(site, host).catch(() => null);
      if (connection !== null) {
        open.add(connection);
        running += 1;
        const isStanding = await ask(connection, host, isReader);
        running -= 1;
        connection = isStanding ? connection : null;
      }
      await pause(FLOOD_PAUSE_MS);
    }
  };
  const calls = hosts.flatMap(host =>
    Array.from({length: FLOOD_CALLERS}, (_, at) => call(host, at % 2 === 0)),
  );
  return {
    writes,
    countOpen: () => running,
    stop: async () => {
      isOver = true;
      await Promise.race([Promise.all(calls), pause(LAST_ANSWER_MS)]);
      open.forEach(connection => connection.destroy());
    },
  };
}

/** Prints a measured span, so that the run shows it. */
export function report(name: string, ms: number): void {
  process.stdout.write(`measured: ${name}: ${Math.round(ms)} ms\n`);
}

/** Ends a load and checks what no fault may break. */
export async function endLoad(site: Site, load: Load): Promise<Verdict> {
  await load.stop();
  const verdict = await judge(site, load);
  expect(verdict.doubled).toEqual([]);
  expect(verdict.falseNotRun).toEqual([]);
  expect(lostAfter(verdict, readPromotedAt(site))).toEqual([]);
  return verdict;
}

/** Returns the acknowledgement that was given first after an instant. */
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

/** Tells whether a write was sent after an instant and acknowledged. */
export function ackedSince(
  instant: number,
  hosts?: readonly string[],
): (write: Write) => boolean {
  return write =>
    write.errno === 0 &&
    write.sentAt >= instant &&
    (hosts === undefined || hosts.includes(write.host));
}

/** Longest span without an acknowledgement that reaches past an instant. */
export function readGap(load: Load, since: number): number {
  const acks = load.writes
    .filter(({errno}) => errno === 0)
    .map(({endedAt}) => endedAt)
    .sort((a, b) => a - b);
  let longest = 0;
  acks.forEach((endedAt, at) => {
    const before = acks[at - 1];
    if (before !== undefined && endedAt >= since) {
      longest = Math.max(longest, endedAt - before);
    }
  });
  return longest;
}

/** What the endpoints' ledgers say of the answers that callers got. */
interface Verdict {
  /** Acknowledged, but gone. */
  readonly lost: readonly Write[];
  /** Ran more than once in the surviving history. */
  readonly doubled: readonly Write[];
  /** Called not run, but in some endpoint's history. */
  readonly falseNotRun: readonly Write[];
}

interface OrderRow extends RowDataPacket {
  readonly id: number;
}

/** Returns the state of an endpoint, or null when its process is gone. */
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

/** Compares the answers of a load with the ledgers that are left. */
export async function judge(site: Site, load: Load): Promise<Verdict> {
  const {primary} = await readGroup(site);
  const states = await Promise.all(
    site.plan.endpoints.map(async ({id}) => ({
      id,
      keys: (await readState(site, id))?.requestKeys ?? {},
    })),
  );
  const orders = await countOrders(site);
  const standing = states.find(({id}) => id === primary)!.keys;
  const countRuns = ({id, key}: Write): number =>
    Math.max(orders.get(id) ?? 0, standing[key]?.surviving ?? 0);
  const ranAnywhere = (write: Write): boolean =>
    countRuns(write) > 0 ||
    states.some(({keys}) => (keys[write.key]?.total ?? 0) > 0);
  const {writes} = load;
  return {
    lost: writes.filter(
      write => write.errno === 0 && (orders.get(write.id) ?? 0) === 0,
    ),
    doubled: writes.filter(write => countRuns(write) > 1),
    falseNotRun: writes.filter(
      write => write.errno === NOT_RUN && ranAnywhere(write),
    ),
  };
}

/** Lost writes that a replaced primary acknowledged after its replacement. */
export function lostAfter(
  verdict: Verdict,
  termStartedAt: number,
): readonly Write[] {
  return verdict.lost.filter(
    ({sentAt, endedAt}) =>
      sentAt >= termStartedAt || endedAt >= termStartedAt + ANSWER_TRANSIT_MS,
  );
}
