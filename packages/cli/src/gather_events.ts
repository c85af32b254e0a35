/** Collects logged events from log files or from the entry hosts. */

import {parseEventLine} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';
import type {CliError} from './cli_error.js';
import {queryAllHosts} from './host_list.js';
import type {HostSources} from './host_list.js';
import {eventsAnswerSchema} from './operator_answers.js';
import type {CliContext} from './ports.js';
import {Ok} from './result.js';
import type {Result} from './result.js';

/** The events of all hosts, and the hosts whose events are missing. */
export interface GatheredEvents {
  readonly events: readonly TimelineEvent[];
  /** A message per host whose events are missing. */
  readonly gaps: readonly string[];
}

/**
 * Reads the events of the log files in `paths`, `-` for standard input, or
 * requests them from all hosts when `paths` is empty.
 */
export function gatherEvents(
  cli: CliContext,
  sources: HostSources,
  paths: readonly string[],
): Promise<Result<GatheredEvents, CliError>> {
  return paths.length > 0 ? readLogFiles(cli, paths) : queryEvents(sources);
}

/** Reads log files; skips truncated lines and lines of other programs. */
async function readLogFiles(
  cli: CliContext,
  paths: readonly string[],
): Promise<Result<GatheredEvents, CliError>> {
  const events: TimelineEvent[] = [];
  for (const path of paths) {
    const text = await cli.files.read(path);
    if (text.err) {
      return text;
    }
    const read = text.val.split('\n').map(parseEventLine);
    events.push(...read.filter(event => event !== null));
  }
  return Ok({events, gaps: []});
}

async function queryEvents(
  sources: HostSources,
): Promise<Result<GatheredEvents, CliError>> {
  const result = await queryAllHosts(
    sources,
    '/events?after=0',
    eventsAnswerSchema,
  );
  return result.map(answers => ({
    events: answers.flatMap(({answer}) => (answer.ok ? answer.val.events : [])),
    gaps: answers.flatMap(({host, answer}) =>
      answer.err ? [`Missing ${host.id}: ${answer.val.message}`] : [],
    ),
  }));
}
