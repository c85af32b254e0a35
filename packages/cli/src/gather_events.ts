/** Gathers events for the commands that tell what happened. */

import {parseEventLine} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';
import type {CliError} from './cli_error.js';
import {askAllHosts} from './host_list.js';
import type {HostSources} from './host_list.js';
import {eventsAnswerSchema} from './operator_answers.js';
import type {CliContext} from './ports.js';
import {Ok} from './result.js';
import type {Result} from './result.js';

/** Events of all hosts, and what is missing. */
export interface GatheredEvents {
  readonly events: readonly TimelineEvent[];
  /** Hosts that are missing, in words. */
  readonly gaps: readonly string[];
}

/** Reads log files, `-` for the standard input, or asks all hosts for theirs. */
export function gatherEvents(
  cli: CliContext,
  sources: HostSources,
  paths: readonly string[],
): Promise<Result<GatheredEvents, CliError>> {
  return paths.length > 0 ? readLogs(cli, paths) : askEvents(sources);
}

/** Lines of other programs, and lines cut short, are passed over. */
async function readLogs(
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

async function askEvents(
  sources: HostSources,
): Promise<Result<GatheredEvents, CliError>> {
  const asked = await askAllHosts(
    sources,
    '/events?after=0',
    eventsAnswerSchema,
  );
  return asked.map(answers => ({
    events: answers.flatMap(({answer}) => (answer.ok ? answer.val.events : [])),
    gaps: answers.flatMap(({host, answer}) =>
      answer.err ? [`Missing ${host.id}: ${answer.val.message}`] : [],
    ),
  }));
}
