/** Measures the traffic of simulated fleets under virtual time. */

import {FALLBACK_ROW} from '@lacewingroad/core';
import type {Action, HostId} from '@lacewingroad/core';
import {createFakeSite} from '@lacewingroad/fakes';
import type {FakeSite} from '@lacewingroad/fakes';
import {countWireBytes} from './message_bytes.js';
import {createMeter} from './meter.js';
import {printColumns, printLine} from './report.js';
import type {Column} from './report.js';

const SEED = 11;
const MS_PER_SECOND = 1_000;
const SETTLE_MS = 20_000;
const SPAN_MS = 10_000;
const STEP_MS = 250;
const DATA_CENTRES = 7;
/** Databases for each 16 hosts, as at the target size. */
const GROUPS_PER_UNIT = 21;
const HOSTS_PER_UNIT = 16;

/** Traffic of a fleet in one phase. */
interface Traffic {
  readonly phase: string;
  readonly seconds: number;
  /** Bytes sent to other hosts, by host. */
  readonly meanBytes: number;
  readonly mostBytes: number;
  readonly readsPerSecond: number;
  readonly updates: number;
  /** Greatest number of updates within STEP_MS. */
  readonly mostUpdates: number;
}

/** Runs a phase and measures its traffic. */
type RunPhase = (phase: string, spanMs: number) => Traffic;

function createSimulatedFleet(hosts: number): {
  readonly site: FakeSite;
  readonly runPhase: RunPhase;
} {
  const sent = createMeter();
  const dataCentres = Array.from(
    {length: DATA_CENTRES},
    (_, index) => `dc${index}`,
  );
  const count = Math.round((hosts * GROUPS_PER_UNIT) / HOSTS_PER_UNIT);
  const groups = Array.from({length: count}, (_, index) => ({
    id: `g${index}`,
    endpoints: [0, 1, 2].map(nth => dataCentres[(index + nth) % DATA_CENTRES]!),
  }));
  const onAction = (host: HostId, action: Action): void => {
    if (action.type === 'send') {
      sent.add(host, countWireBytes(action.msg));
    }
  };
  const site = createFakeSite({
    seed: SEED,
    dataCentres,
    entriesPerDataCentre: hosts / DATA_CENTRES,
    groups,
    tables: groups.map(({id}) => ({
      service: `s-${id}`,
      group: id,
      rows: [FALLBACK_ROW],
    })),
    observer: {onAction},
  });
  const {calls} = site.platform;
  const runPhase: RunPhase = (phase, spanMs) => {
    sent.reset();
    const reads = calls.reads;
    const updates = calls.updates;
    let mostUpdates = 0;
    for (let elapsedMs = 0; elapsedMs < spanMs; elapsedMs += STEP_MS) {
      const before = calls.updates;
      site.runFor(STEP_MS);
      mostUpdates = Math.max(mostUpdates, calls.updates - before);
    }
    const seconds = spanMs / MS_PER_SECOND;
    const most = sent.entries()[0]?.[1].sum ?? 0;
    return {
      phase,
      seconds,
      meanBytes: sent.total() / seconds / hosts,
      mostBytes: most / seconds,
      readsPerSecond: (calls.reads - reads) / seconds,
      updates: calls.updates - updates,
      mostUpdates,
    };
  };
  return {site, runPhase};
}

/** Measures the start, idle time, an outage and the loss of a data centre. */
function measurePhases(hosts: number): readonly Traffic[] {
  const {site, runPhase} = createSimulatedFleet(hosts);
  const phases = [runPhase('start', SETTLE_MS), runPhase('idle', SPAN_MS)];
  site.platform.faults.mode = 'down';
  phases.push(runPhase('platform out', SPAN_MS));
  site.platform.faults.mode = 'up';
  phases.push(runPhase('platform back', SPAN_MS));
  site.hostIds
    .filter(id => id.startsWith('dc0-'))
    .forEach(id => site.killHost(id));
  phases.push(runPhase('data centre lost', SPAN_MS));
  return phases;
}

const COLUMNS: readonly Column<Traffic>[] = [
  {name: 'sent by a host, mean', unit: 'B/s', read: cost => cost.meanBytes},
  {name: 'sent by a host, most', unit: 'B/s', read: cost => cost.mostBytes},
  {name: 'platform reads', unit: '1/s', read: cost => cost.readsPerSecond},
  {name: 'platform updates', unit: 'all', read: cost => cost.updates},
];

/** Prints traffic by phase against the number of hosts. */
export function printSiteSlopes(sizes: readonly number[]): void {
  const all = sizes.map(hosts => ({hosts, phases: measurePhases(hosts)}));
  for (const {hosts, phases} of all) {
    phases.forEach(phase => printLine(`${hosts} ${JSON.stringify(phase)}`));
  }
  all[0]!.phases.forEach(({phase}, index) => {
    const columns = COLUMNS.map(column => ({
      ...column,
      name: `${phase}: ${column.name}`,
    }));
    const costs = all.map(({hosts, phases}) => ({hosts, ...phases[index]!}));
    printColumns(costs, ({hosts}) => hosts, columns);
  });
}
