/** `groups`: the database groups, their primaries and endpoints. */

import {EXIT_NOT_AS_WISHED, EXIT_OK, EXIT_UNREACHABLE} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {OPERATOR_ARGS} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import {alignColumns, formatSpan} from '../format_text.js';
import {askAllHosts} from '../host_list.js';
import type {HostAnswer} from '../host_list.js';
import {groupsAnswerSchema} from '../operator_answers.js';
import type {GroupsAnswer} from '../operator_answers.js';
import type {Report} from '../report.js';
import {Ok} from '../result.js';
import type {Result} from '../result.js';

type Group = GroupsAnswer['groups'][number];
type Endpoint = Group['endpoints'][number];

const HEADINGS = [
  'ENDPOINT',
  'DATA CENTRE',
  'ROLE',
  'TERM',
  'INDEX',
  'DATA AGE',
  'SEEN',
  'POOL OWNER',
] as const;
const NOTHING = '-';

/** `groups`. */
export const GROUPS_SPEC: CommandSpec<typeof OPERATOR_ARGS> = {
  name: 'groups',
  description: 'show the database groups, their primaries and endpoints',
  args: OPERATOR_ARGS,
  handler: showGroups,
};

async function showGroups(
  input: CommandInput<typeof OPERATOR_ARGS>,
): Promise<Result<Report, CliError>> {
  const asked = await askAllHosts(input.sources, '/groups', groupsAnswerSchema);
  if (asked.err) {
    return asked;
  }
  const answers = asked.val;
  const groups = mergeGroups(answers);
  const silent = answers.filter(({answer}) => answer.err);
  const faults = silent.map(
    ({host, answer}) =>
      `No answer from ${host.id}: ${(answer.val as CliError).message}`,
  );
  const lines = [...groups.flatMap(formatGroup), ...faults];
  const exitCode = getGroupsExit(groups, silent.length === answers.length);
  return Ok({exitCode, lines, data: groups});
}

function getGroupsExit(groups: readonly Group[], isAllSilent: boolean): number {
  if (isAllSilent) {
    return EXIT_UNREACHABLE;
  }
  const isFine = groups.every(group => group.fence === null);
  return isFine ? EXIT_OK : EXIT_NOT_AS_WISHED;
}

/**
 * Takes each group from the host with the highest version of it, and each
 * endpoint from its pool owner, else from the host that saw it last.
 */
function mergeGroups(
  answers: readonly HostAnswer<GroupsAnswer>[],
): readonly Group[] {
  const all = answers.flatMap(({answer}) =>
    answer.ok ? answer.val.groups : [],
  );
  const ids = [...new Set(all.map(group => group.id))].sort();
  return ids.flatMap(id => {
    const seen = all.filter(group => group.id === id);
    const latest = seen.reduce((a, b) => (b.version > a.version ? b : a));
    const endpoints = latest.endpoints.map(endpoint =>
      pickEndpoint(endpoint, seen),
    );
    return [{...latest, endpoints}];
  });
}

function pickEndpoint(endpoint: Endpoint, seen: readonly Group[]): Endpoint {
  const views = seen
    .flatMap(group => group.endpoints)
    .filter(view => view.id === endpoint.id);
  const owned = views.filter(view => view.owned && view.statusAgeMs !== null);
  const usable = owned.length > 0 ? owned : views;
  return usable.reduce((a, b) =>
    (b.statusAgeMs ?? Infinity) < (a.statusAgeMs ?? Infinity) ? b : a,
  );
}

function formatGroup(group: Group): readonly string[] {
  const fence =
    group.fence === null
      ? ''
      : `; change of primary under way in term ${group.fence.term}, by ${group.fence.by}`;
  const rows = group.endpoints.map(endpoint => [
    endpoint.id,
    endpoint.dataCentre,
    endpoint.role ?? NOTHING,
    String(endpoint.term ?? NOTHING),
    String(endpoint.index ?? NOTHING),
    formatAge(endpoint.dataAgeMs),
    formatAge(endpoint.statusAgeMs, ' ago'),
    group.owners[endpoint.id] ?? NOTHING,
  ]);
  return [
    `Group ${group.id}: primary ${group.primary}, term ${group.term}${fence}`,
    ...alignColumns(HEADINGS, rows),
    '',
  ];
}

function formatAge(ms: number | null, suffix = ''): string {
  return ms === null ? NOTHING : `${formatSpan(ms)}${suffix}`;
}
