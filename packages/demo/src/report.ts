/** Formats the demo's report. */

import {formatEventLine} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';
import type {ReadsByRole} from './hosts.js';
import type {DemoKind, Tally} from './tally.js';

/** Timeline events that describe the failover to a new primary. */
const FAILOVER_EVENTS: ReadonlySet<string> = new Set([
  'write_owner',
  'writes_stopped',
  'promotion_started',
  'group_update_sent',
  'group_update_ended',
  'endpoint_command_sent',
  'endpoint_command_ended',
]);

/** Maximum number of timeline lines in the report. */
const MAX_FAILOVER_LINES = 24;

const MEDIAN_PERCENTILE = 50;
const TAIL_PERCENTILE = 99;

/** Results of a run of the demo. */
export interface DemoResult {
  readonly tally: Tally;
  readonly reads: ReadsByRole;
  /** Longest time without an acknowledged payment after the kill. */
  readonly gapMs: number;
  /**
   * Wall clock time of the kill in milliseconds, for comparison with event
   * stamps.
   */
  readonly killedAtStamp: string;
  readonly timeline: readonly TimelineEvent[];
}

const RANK_LINES: readonly {
  readonly kind: DemoKind;
  readonly label: string;
}[] = [
  {kind: 'payment', label: 'urgent     (payments)'},
  {kind: 'status', label: 'standard   (own orders)'},
  {kind: 'gallery', label: 'background (gallery)'},
];

function formatRank(tally: Tally, kind: DemoKind, label: string): string {
  const {outcomes, latencyMs} = tally.getKindTally(kind);
  const median = latencyMs.getValueAtPercentile(MEDIAN_PERCENTILE);
  const tail = latencyMs.getValueAtPercentile(TAIL_PERCENTILE);
  return (
    `  ${label.padEnd(24)} done ${outcomes.done}, not run ${outcomes.not_run}, ` +
    `unknown ${outcomes.unknown}, other ${outcomes.other}; ` +
    `median ${median} ms, 99th percentile ${tail} ms`
  );
}

function formatFailoverEvents({
  timeline,
  killedAtStamp,
}: DemoResult): readonly string[] {
  return timeline
    .filter(event => event.stamp >= killedAtStamp)
    .filter(event => FAILOVER_EVENTS.has(event.event))
    .slice(0, MAX_FAILOVER_LINES)
    .map(formatEventLine);
}

/** Returns the report's lines. */
export function formatReport(result: DemoResult): readonly string[] {
  const {tally, reads, gapMs} = result;
  const total = reads.replica + reads.primary;
  const share = total === 0 ? 0 : (100 * reads.replica) / total;
  return [
    '',
    'What the callers saw',
    `  Reads served by replicas: ${reads.replica} of ${total} (${share.toFixed(1)} %).`,
    `  Reads that missed the caller's own payment: ${tally.countMissingReads()}.`,
    `  Longest time without an acknowledged payment after the kill: ${Math.round(gapMs)} ms.`,
    '',
    'Service by rank, over the whole run',
    ...RANK_LINES.map(({kind, label}) => formatRank(tally, kind, label)),
    '',
    'Timeline of the change of primary, over all entry hosts',
    ...formatFailoverEvents(result).map(line => `  ${line}`),
    '',
  ];
}
