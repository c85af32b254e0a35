/** One caller of the demo: pays, reads its own payment, looks at the gallery. */

import {CALLER_ACCOUNT, LINKS, openMysql} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import type {Connection, RowDataPacket} from 'mysql2/promise';
import {DEMO_SERVICE} from './site.js';
import {readOutcome} from './tally.js';
import type {DemoKind, Tally} from './tally.js';

/** Time between two rounds of one caller. */
const ROUND_MS = 60;

/** Gallery reads in each round. */
const GALLERY_READS = 2;

/** What a caller needs. */
export interface FamilyConfig {
  readonly site: Site;
  readonly runtime: Runtime;
  readonly tally: Tally;
  /** Number of the caller, from 1. */
  readonly id: number;
  /** Instant at which it stops. */
  readonly until: number;
}

interface Attempt<T> {
  readonly kind: DemoKind;
  readonly run: (connection: Connection) => Promise<T>;
}

/** Chooses an entry host at random, as the platform's balancer does. */
function chooseHost({site, runtime}: FamilyConfig): string {
  const hosts = site.plan.entries;
  return hosts[Math.floor(runtime.random() * hosts.length)]!.id;
}

/** Opens a connection to some entry host and resumes the session there. */
async function connect(
  cfg: FamilyConfig,
  token: string | null,
): Promise<Connection> {
  const connection = await openMysql({
    to: cfg.site.proxied(LINKS.caller(chooseHost(cfg))),
    ...CALLER_ACCOUNT,
    database: DEMO_SERVICE,
  });
  if (token !== null) {
    await connection.query('SET lacewingroad_session = ?', [token]);
  }
  return connection;
}

/** Runs one statement and counts what became of it; null when it failed. */
async function attempt<T>(
  cfg: FamilyConfig,
  connection: Connection,
  {kind, run}: Attempt<T>,
): Promise<T | null> {
  const startedAt = cfg.runtime.now();
  try {
    const result = await run(connection);
    cfg.tally.count(kind, 'done', cfg.runtime.now() - startedAt);
    return result;
  } catch (err) {
    cfg.tally.count(kind, readOutcome(err), cfg.runtime.now() - startedAt);
    return null;
  }
}

async function readToken(connection: Connection): Promise<string> {
  const [rows] = await connection.query<RowDataPacket[]>(
    'SELECT @@lacewingroad_session AS token',
  );
  return String(rows[0]!['token']);
}

/** Pays once; returns the session's token when it was acknowledged. */
async function pay(
  cfg: FamilyConfig,
  connection: Connection,
  order: string,
): Promise<string | null> {
  const sql = `/*kind='payment',key='${order}'*/ INSERT INTO payments (id, family) VALUES (?, ?)`;
  const done = await attempt(cfg, connection, {
    kind: 'payment',
    run: async current => {
      await current.query(sql, [order, cfg.id]);
      return true;
    },
  });
  if (done === null) {
    return null;
  }
  cfg.tally.notePayment(cfg.runtime.now());
  return readToken(connection);
}

/** Reads a payment back through another host. */
async function checkPayment(
  cfg: FamilyConfig,
  connection: Connection,
  order: string,
): Promise<void> {
  const rows = await attempt(cfg, connection, {
    kind: 'status',
    run: async current => {
      const [found] = await current.query<RowDataPacket[]>(
        "/*kind='status'*/ SELECT id FROM payments WHERE id = ?",
        [order],
      );
      return found;
    },
  });
  if (rows !== null && rows.length !== 1) {
    cfg.tally.noteMissing();
  }
}

async function browse(
  cfg: FamilyConfig,
  connection: Connection,
): Promise<void> {
  for (let read = 0; read < GALLERY_READS; read++) {
    await attempt(cfg, connection, {
      kind: 'gallery',
      run: current =>
        current.query("/*kind='gallery'*/ SELECT COUNT(*) FROM payments"),
    });
  }
}

/** One round: pay at one host, roam, read at another. */
async function runRound(
  cfg: FamilyConfig,
  order: string,
  token: string | null,
): Promise<string | null> {
  const first = await connect(cfg, token);
  let next: string | null;
  try {
    next = await pay(cfg, first, order);
  } finally {
    first.destroy();
  }
  const second = await connect(cfg, next ?? token);
  try {
    if (next !== null) {
      await checkPayment(cfg, second, order);
    }
    await browse(cfg, second);
  } finally {
    second.destroy();
  }
  return next ?? token;
}

/** Runs a caller until its end. */
export async function runFamily(cfg: FamilyConfig): Promise<void> {
  let token: string | null = null;
  for (let round = 1; cfg.runtime.now() < cfg.until; round++) {
    try {
      token = await runRound(cfg, `family-${cfg.id}-${round}`, token);
    } catch (err) {
      cfg.tally.count('status', readOutcome(err), 0);
    }
    await waitUntil(cfg.runtime, cfg.runtime.now() + ROUND_MS);
  }
}
