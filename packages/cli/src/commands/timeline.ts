/** `timeline`: shows the events of all hosts in one order. */

import {formatEventLine, mergeTimeline} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';
import type {ArgsDef} from 'citty';
import {EXIT_FAILURE, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {OPERATOR_ARGS, usageError} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import {formatWallTime} from '../format_text.js';
import {gatherEvents} from '../gather_events.js';
import type {Report} from '../report.js';
import {Err, Ok} from '../result.js';
import type {Result} from '../result.js';

const TIMELINE_ARGS = {
  ...OPERATOR_ARGS,
  request: {
    type: 'string',
    description: 'only events of this request',
    valueHint: 'R',
  },
  group: {
    type: 'string',
    description: 'only events of this group',
    valueHint: 'G',
  },
  host: {
    type: 'string',
    description:
      'H: only events of this host; IP:PORT: operator address of an entry host, to use when the platform is unavailable',
    valueHint: 'H|IP:PORT',
  },
} as const satisfies ArgsDef;

/** `timeline [files...]`. */
export const TIMELINE_SPEC: CommandSpec<typeof TIMELINE_ARGS> = {
  name: 'timeline',
  description:
    'merge the events of all hosts or of log files (- for standard input) into one order',
  args: TIMELINE_ARGS,
  allowsExtraPositionals: true,
  allowsHostIds: true,
  handler: showTimeline,
};

async function showTimeline(
  input: CommandInput<typeof TIMELINE_ARGS>,
): Promise<Result<Report, CliError>> {
  if (input.hostIds.length > 1) {
    return Err(usageError('Give at most one host to filter by.'));
  }
  const {cli, sources, positionals} = input;
  const gathered = await gatherEvents(cli, sources, positionals);
  if (gathered.err) {
    return gathered;
  }
  const {events, gaps} = gathered.val;
  const merged = mergeTimeline(events, {
    request: input.args.request ?? null,
    group: input.args.group ?? null,
    host: input.hostIds[0] ?? null,
  });
  const isFine = gaps.length === 0 && merged.length > 0;
  const none = merged.length === 0 ? ['No event matches.'] : [];
  return Ok({
    exitCode: isFine ? EXIT_OK : EXIT_FAILURE,
    lines: [...merged.map(formatEvent), ...none, ...gaps],
    data: {events: merged, gaps},
  });
}

function formatEvent(event: TimelineEvent): string {
  const wallMs = Number(event.stamp.split('.')[0]);
  const time = Number.isFinite(wallMs) ? formatWallTime(wallMs) : event.stamp;
  return `${time}  ${formatEventLine(event)}`;
}
