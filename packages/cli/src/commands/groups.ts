/** `groups`: shows the database groups, their primaries and endpoints. */

import {EXIT_FAILURE, EXIT_OK, EXIT_UNREACHABLE} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {OPERATOR_ARGS} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import {alignColumns, formatSpan} from '../format_text.js';
import {queryAllHosts} from '../host_list.js';
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
const EMPTY_CELL = '-';

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
  const result = await queryAllHosts(
    input.sources,
    '/groups',
    groupsAnswerSchema,
  );
  if (result.err) {
    return result;
  }
  const answers = result.val;
  const groups = mergeGroups(answers);
  const failed = answers.filter(({answer}) => answer.err);
  const faults = failed.map(
    ({host, answer}) =>
      `No answer from ${host.id}: ${(answer.val as CliError).message}`,
  );
  const lines = [...groups.flatMap(formatGroup), ...faults];
  const exitCode = getGroupsExitCode(groups, failed.length === answers.length);
  return Ok({exitCode, lines, data: groups});
}

function getGroupsExitCode(
  groups: readonly Group[],
  hasNoAnswer: boolean,
): number {
  if (hasNoAnswer) {
    return EXIT_UNREACHABLE;
  }
  const isFine = groups.every(group => group.fence === null);
  return isFine ? EXIT_OK : EXIT_FAILURE;
}

/**
 * Merges the hosts' answers. Each group comes from the host with its highest
 * version. Each endpoint's status comes from its pool owner or, if that has
 * none, from the host with the most recent one.
 */
function mergeGroups(
  answers: readonly HostAnswer<GroupsAnswer>[],
): readonly Group[] {
  const all = answers.flatMap(({answer}) =>
    answer.ok ? answer.val.groups : [],
  );
  const ids = [...new Set(all.map(group => group.id))].sort();
  return ids.flatMap(id => {
    const copies = all.filter(group => group.id === id);
    const latest = copies.reduce((a, b) => (b.version > a.version ? b : a));
    const endpoints = latest.endpoints.map(endpoint =>
      pickEndpoint(endpoint, copies),
    );
    return [{...latest, endpoints}];
  });
}

function pickEndpoint(endpoint: Endpoint, groups: readonly Group[]): Endpoint {
  const copies = groups
    .flatMap(group => group.endpoints)
    .filter(view => view.id === endpoint.id);
  const owned = copies.filter(view => view.owned && view.statusAgeMs !== null);
  const usable = owned.length > 0 ? owned : copies;
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
    endpoint.role ?? EMPTY_CELL,
    String(endpoint.term ?? EMPTY_CELL),
    String(endpoint.index ?? EMPTY_CELL),
    formatAge(endpoint.dataAgeMs),
    formatAge(endpoint.statusAgeMs, ' ago'),
    group.owners[endpoint.id] ?? EMPTY_CELL,
  ]);
  return [
    `Group ${group.id}: primary ${group.primary}, term ${group.term}${fence}`,
    ...alignColumns(HEADINGS, rows),
    '',
  ];
}

function formatAge(ms: number | null, suffix = ''): string {
  return ms === null ? EMPTY_CELL : `${formatSpan(ms)}${suffix}`;
}
