/** Runs the demo: a load, a kill of the primary, a report. */

import {
  CALLER_ACCOUNT,
  LINKS,
  launchSite,
  openMysql,
} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {waitUntil} from '@lacewingroad/runtime';
import type {Runtime} from '@lacewingroad/runtime';
import {runFamily} from './family.js';
import {readReadsByRole, readTimeline} from './hosts.js';
import {formatReport} from './report.js';
import {DEMO_GROUP, DEMO_SERVICE, DEMO_SITE} from './site.js';
import {createTally} from './tally.js';

/** Callers of the demo. */
const FAMILIES = 10;

/** Time for owners to register before the load begins. */
const SETTLE_MS = 5_000;

/** Load before and after the kill of the primary. */
const BEFORE_KILL_MS = 6_000;
const AFTER_KILL_MS = 9_000;

/** Writes one line for whoever watches. */
export type Say = (line: string) => void;

async function createLedger(site: Site): Promise<void> {
  const connection = await openMysql({
    to: site.proxied(LINKS.caller(site.plan.entries[0]!.id)),
    ...CALLER_ACCOUNT,
    database: DEMO_SERVICE,
  });
  await connection.query(
    'CREATE TABLE payments (id VARCHAR(64) PRIMARY KEY, family INT)',
  );
  connection.destroy();
}

async function runLoad(site: Site, runtime: Runtime, say: Say): Promise<void> {
  const tally = createTally();
  const until = runtime.now() + BEFORE_KILL_MS + AFTER_KILL_MS;
  const families = Array.from({length: FAMILIES}, (_, index) =>
    runFamily({site, runtime, tally, id: index + 1, until}),
  );
  await waitUntil(runtime, runtime.now() + BEFORE_KILL_MS);
  const primary = site.plan.endpoints.find(endpoint => endpoint.isPrimary)!.id;
  say(`Killing the primary ${primary} (kill -9).`);
  const killedAt = runtime.now();
  const killedAtStamp = String(Math.floor(runtime.wallNow()));
  site.processes.signal(primary, 'SIGKILL');
  await Promise.all(families);
  const reads = await readReadsByRole(site);
  const timeline = await readTimeline(site);
  const gapMs = tally.readGapMs(killedAt);
  formatReport({tally, reads, gapMs, killedAtStamp, timeline}).forEach(say);
}

/** Starts the site, runs the load, and leaves no process behind. */
export async function runDemo(runtime: Runtime, say: Say): Promise<void> {
  say(
    'Starting a platform, a fault proxy, three endpoints of one ledger and six entry hosts in three data centres.',
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
    await createLedger(site);
    say(
      `${FAMILIES} callers pay, roam to another host, read their payment back and look at the gallery (group ${DEMO_GROUP}).`,
    );
    await runLoad(site, runtime, say);
  } finally {
    await site.close();
  }
}
