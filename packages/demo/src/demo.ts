/** Runs the demo: applies load, kills the primary and prints a report. */

import {
  CALLER_ACCOUNT,
  LINKS,
  launchSite,
  openMysql,
} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {runCaller} from './caller.js';
import {fetchReadsByRole, fetchTimeline} from './hosts.js';
import {formatReport} from './report.js';
import {DEMO_GROUP, DEMO_SERVICE, DEMO_SITE} from './site.js';
import {createTally} from './tally.js';

/** Number of concurrent callers. */
const CALLER_COUNT = 10;

/** Time that the pool owners get to register before the load starts. */
const SETTLE_MS = 5_000;

/** Duration of the load before and after the primary is killed. */
const LOAD_BEFORE_KILL_MS = 6_000;
const LOAD_AFTER_KILL_MS = 9_000;

/** Writes one line of output. */
export type PrintLine = (line: string) => void;

async function createPaymentsTable(site: Site): Promise<void> {
  const connection = await openMysql({
    to: site.proxyAddress(LINKS.caller(site.plan.entries[0]!.id)),
    ...CALLER_ACCOUNT,
    database: DEMO_SERVICE,
  });
  await connection.query(
    'CREATE TABLE payments (id VARCHAR(64) PRIMARY KEY, family INT)',
  );
  connection.destroy();
}

async function runLoad(
  site: Site,
  runtime: Runtime,
  printLine: PrintLine,
): Promise<void> {
  const tally = createTally();
  const until = runtime.now() + LOAD_BEFORE_KILL_MS + LOAD_AFTER_KILL_MS;
  const callers = Array.from({length: CALLER_COUNT}, (_, index) =>
    runCaller({site, runtime, tally, id: index + 1, until}),
  );
  await waitUntil(runtime, runtime.now() + LOAD_BEFORE_KILL_MS);
  const primary = site.plan.endpoints.find(endpoint => endpoint.isPrimary)!.id;
  printLine(`Killing the primary ${primary} (kill -9).`);
  const killedAt = runtime.now();
  const killedAtStamp = String(Math.floor(runtime.wallNow()));
  site.processes.signal(primary, 'SIGKILL');
  await Promise.all(callers);
  const reads = await fetchReadsByRole(site);
  const timeline = await fetchTimeline(site);
  const gapMs = tally.longestGapMs(killedAt);
  formatReport({tally, reads, gapMs, killedAtStamp, timeline}).forEach(
    printLine,
  );
}

/**
 * Starts the site, runs the load and stops all processes, also on SIGINT and
 * SIGTERM.
 */
export async function runDemo(
  runtime: Runtime,
  printLine: PrintLine,
): Promise<void> {
  printLine(
    'Starting a platform, a fault proxy, three endpoints of one ledger database and six entry hosts in three data centres.',
  );
  const site = await launchSite(DEMO_SITE);
  const stop = (): void => {
    void site.close().finally(() => process.exit(130));
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
  try {
    await Promise.all(site.plan.entries.map(({id}) => site.waitUntilReady(id)));
    await waitUntil(runtime, runtime.now() + SETTLE_MS);
    await createPaymentsTable(site);
    printLine(
      `${CALLER_COUNT} callers pay, switch to another host, read their payment back and query the gallery (group ${DEMO_GROUP}).`,
    );
    await runLoad(site, runtime, printLine);
  } finally {
    await site.close();
  }
}
