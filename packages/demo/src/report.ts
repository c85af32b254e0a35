/** The demo's report, in plain words. */

import {formatEventLine} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';
import type {ReadsByRole} from './hosts.js';
import type {DemoKind, Tally} from './tally.js';

/** Events of the time line that tell the story of the change of primary. */
const STORY_EVENTS: ReadonlySet<string> = new Set([
  'write_owner',
  'writes_stopped',
  'promotion_started',
  'group_update_sent',
  'group_update_ended',
  'endpoint_command_sent',
  'endpoint_command_ended',
]);

/** Lines of the time line that are shown. */
const MAX_STORY_LINES = 24;

const MEDIAN = 50;
const TAIL = 99;

/** What a run of the demo showed. */
export interface DemoResult {
  readonly tally: Tally;
  readonly reads: ReadsByRole;
  readonly gapMs: number;
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
  const {outcomes, latencyMs} = tally.readKind(kind);
  const median = latencyMs.getValueAtPercentile(MEDIAN);
  const tail = latencyMs.getValueAtPercentile(TAIL);
  return (
    `  ${label.padEnd(24)} done ${outcomes.done}, not run ${outcomes.not_run}, ` +
    `unknown ${outcomes.unknown}, other ${outcomes.other}; ` +
    `median ${median} ms, 99th percentile ${tail} ms`
  );
}

function selectStory({timeline, killedAtStamp}: DemoResult): readonly string[] {
  return timeline
    .filter(event => event.stamp >= killedAtStamp)
    .filter(event => STORY_EVENTS.has(event.event))
    .slice(0, MAX_STORY_LINES)
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
    `  Reads that missed the caller's own payment: ${tally.readMissing()}.`,
    `  Longest time without an acknowledged payment after the kill: ${Math.round(gapMs)} ms.`,
    '',
    'Service by rank, over the whole run',
    ...RANK_LINES.map(({kind, label}) => formatRank(tally, kind, label)),
    '',
    'Time line of the change of primary, over all entry hosts',
    ...selectStory(result).map(line => `  ${line}`),
    '',
  ];
}
