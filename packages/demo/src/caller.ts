/**
 * One caller of the demo: makes a payment, reads it back and queries the
 * gallery.
 */

import {CALLER_ACCOUNT, LINKS, openMysql} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import {DEMO_SERVICE} from './site.js';
import {classifyOutcome} from './tally.js';
import type {DemoKind, Tally} from './tally.js';

/** Pause between two rounds of a caller. */
const ROUND_INTERVAL_MS = 60;

/** Gallery reads in each round. */
const GALLERY_READS_PER_ROUND = 2;

/** Dependencies and parameters of a caller. */
export interface CallerConfig {
  readonly site: Site;
  readonly runtime: Runtime;
  readonly tally: Tally;
  /** Number of the caller, starting at 1. */
  readonly id: number;
  /** Instant at which the caller stops. */
  readonly until: number;
}

interface DemoStatement<T> {
  readonly kind: DemoKind;
  readonly run: (connection: Connection) => Promise<T>;
}

/** Chooses an entry host at random, as the platform's load balancer does. */
function chooseHost({site, runtime}: CallerConfig): string {
  const hosts = site.plan.entries;
  return hosts[Math.floor(runtime.random() * hosts.length)]!.id;
}

/** Connects to a random entry host and resumes the session there. */
async function connect(
  cfg: CallerConfig,
  token: string | null,
): Promise<Connection> {
  const connection = await openMysql({
    to: cfg.site.proxyAddress(LINKS.caller(chooseHost(cfg))),
    ...CALLER_ACCOUNT,
    database: DEMO_SERVICE,
  });
  if (token !== null) {
    await connection.query('SET lacewingroad_session = ?', [token]);
  }
  return connection;
}

/** Runs one statement and counts its outcome. Returns null if it failed. */
async function runAndCount<T>(
  cfg: CallerConfig,
  connection: Connection,
  {kind, run}: DemoStatement<T>,
): Promise<T | null> {
  const startedAt = cfg.runtime.now();
  try {
    const result = await run(connection);
    cfg.tally.count(kind, 'done', cfg.runtime.now() - startedAt);
    return result;
  } catch (err) {
    cfg.tally.count(kind, classifyOutcome(err), cfg.runtime.now() - startedAt);
    return null;
  }
}

async function readSessionToken(connection: Connection): Promise<string> {
  const [rows] = await connection.query<RowDataPacket[]>(
    'SELECT @@lacewingroad_session AS token',
  );
  return String(rows[0]!['token']);
}

/**
 * Makes one payment. Returns the session token if it was acknowledged, else
 * null.
 */
async function pay(
  cfg: CallerConfig,
  connection: Connection,
  orderId: string,
): Promise<string | null> {
  const sql = `/*kind='payment',key='${orderId}'*/ INSERT INTO payments (id, family) VALUES (?, ?)`;
  const result = await runAndCount(cfg, connection, {
    kind: 'payment',
    run: async current => {
      await current.query(sql, [orderId, cfg.id]);
      return true;
    },
  });
  if (result === null) {
    return null;
  }
  cfg.tally.recordPayment(cfg.runtime.now());
  return readSessionToken(connection);
}

/** Reads a payment back, on a connection to another host. */
async function checkPayment(
  cfg: CallerConfig,
  connection: Connection,
  orderId: string,
): Promise<void> {
  const rows = await runAndCount(cfg, connection, {
    kind: 'status',
    run: async current => {
      const [found] = await current.query<RowDataPacket[]>(
        "/*kind='status'*/ SELECT id FROM payments WHERE id = ?",
        [orderId],
      );
      return found;
    },
  });
  if (rows !== null && rows.length !== 1) {
    cfg.tally.recordMissingRead();
  }
}

async function readGallery(
  cfg: CallerConfig,
  connection: Connection,
): Promise<void> {
  for (let read = 0; read < GALLERY_READS_PER_ROUND; read++) {
    await runAndCount(cfg, connection, {
      kind: 'gallery',
      run: current =>
        current.query("/*kind='gallery'*/ SELECT COUNT(*) FROM payments"),
    });
  }
}

/** One round: pays at one host, reconnects to another and reads there. */
async function runRound(
  cfg: CallerConfig,
  orderId: string,
  token: string | null,
): Promise<string | null> {
  const first = await connect(cfg, token);
  let nextToken: string | null;
  try {
    nextToken = await pay(cfg, first, orderId);
  } finally {
    first.destroy();
  }
  const second = await connect(cfg, nextToken ?? token);
  try {
    if (nextToken !== null) {
      await checkPayment(cfg, second, orderId);
    }
    await readGallery(cfg, second);
  } finally {
    second.destroy();
  }
  return nextToken ?? token;
}

/** Runs a caller until `cfg.until`. */
export async function runCaller(cfg: CallerConfig): Promise<void> {
  let token: string | null = null;
  for (let round = 1; cfg.runtime.now() < cfg.until; round++) {
    try {
      token = await runRound(cfg, `family-${cfg.id}-${round}`, token);
    } catch (err) {
      cfg.tally.count('status', classifyOutcome(err), 0);
    }
    await waitUntil(cfg.runtime, cfg.runtime.now() + ROUND_INTERVAL_MS);
  }
}
