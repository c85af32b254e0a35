/** `table get`, `table status` and `table log`: read tables. */

import type {ServiceId, StoredTable} from '@lacewingroad/core';
import type {ArgsDef} from 'citty';
import {EXIT_FAILURE, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {requirePlatform, OPERATOR_ARGS, reportOk} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import type {HostSources} from '../host_list.js';
import {listServices, queryTables, summarizeService} from '../in_force.js';
import type {Report} from '../report.js';
import {Err, Ok} from '../result.js';
import type {Result} from '../result.js';
import {formatTableFile} from '../table_file.js';
import {describeEdit, readStoredTable} from '../write_edit.js';
import {getInForceExitCode} from './edit_table.js';
import {formatServiceLines} from './format_in_force.js';

const SERVICE_ARG = {
  type: 'positional',
  description: 'the service',
  required: true,
} as const;

const GET_ARGS = {
  service: SERVICE_ARG,
  out: {
    type: 'string',
    description: 'file to write (default: print it)',
    valueHint: 'FILE',
  },
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `table get SERVICE`. */
export const GET_SPEC: CommandSpec<typeof GET_ARGS> = {
  name: 'get',
  description: 'write the table as a file that a spreadsheet can edit',
  args: GET_ARGS,
  handler: getTable,
};

async function getTable(
  input: CommandInput<typeof GET_ARGS>,
): Promise<Result<Report, CliError>> {
  const {service, out} = input.args;
  const read = await readExistingTable(input.sources, service);
  if (read.err) {
    return read;
  }
  const {version, table} = read.val;
  const base = {service, group: table.group, version};
  const text = formatTableFile(base, table.rows);
  if (out === undefined) {
    return Ok(reportOk([text], {...base, rows: table.rows}));
  }
  const written = await input.cli.files.create(out, text);
  return written.map(() =>
    reportOk([`Wrote version ${version} of ${service} to ${out}.`], {
      ...base,
      rows: table.rows,
      file: out,
    }),
  );
}

interface ExistingTable {
  readonly version: number;
  readonly table: NonNullable<StoredTable['table']>;
}

async function readExistingTable(
  sources: HostSources,
  service: ServiceId,
): Promise<Result<ExistingTable, CliError>> {
  const platform = requirePlatform(sources);
  if (platform.err) {
    return platform;
  }
  const stored = await readStoredTable(platform.val, service);
  if (stored.err) {
    return stored;
  }
  const {version, table} = stored.val;
  if (table !== null) {
    return Ok({version, table});
  }
  return Err({
    kind: 'refused',
    message: `The platform has no table of service ${service}. \`table status\` lists the services; \`table create\` creates a table.`,
  });
}

const LOG_ARGS = {
  service: SERVICE_ARG,
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `table log SERVICE`. */
export const LOG_SPEC: CommandSpec<typeof LOG_ARGS> = {
  name: 'log',
  description: 'show who changed the table, when and why, newest first',
  args: LOG_ARGS,
  handler: async input => {
    const read = await readExistingTable(input.sources, input.args.service);
    return read.map(({table}) =>
      reportOk(table.history.map(describeEdit), table.history),
    );
  },
};

const STATUS_ARGS = {
  service: {...SERVICE_ARG, required: false},
  ...OPERATOR_ARGS,
} as const satisfies ArgsDef;

/** `table status [SERVICE]`. */
export const STATUS_SPEC: CommandSpec<typeof STATUS_ARGS> = {
  name: 'status',
  description: 'show, per host, the version in force and since when',
  args: STATUS_ARGS,
  handler: showStatus,
};

async function showStatus(
  input: CommandInput<typeof STATUS_ARGS>,
): Promise<Result<Report, CliError>> {
  const tableAnswers = await queryTables(input.sources);
  if (tableAnswers.err) {
    return tableAnswers;
  }
  const wanted = await readWantedVersions(input.sources);
  const services =
    input.args.service === undefined
      ? [
          ...new Set([...listServices(tableAnswers.val), ...wanted.keys()]),
        ].sort()
      : [input.args.service];
  const summaries = services.map(service =>
    summarizeService(tableAnswers.val, service, wanted.get(service) ?? null),
  );
  if (summaries.length === 0) {
    const line =
      'No host has a table, and the platform has none or could not be read.';
    return Ok({exitCode: EXIT_FAILURE, lines: [line], data: []});
  }
  const lines = summaries.flatMap(summary => [
    ...formatServiceLines(input.cli, summary),
    '',
  ]);
  const isFine = summaries.every(
    summary => getInForceExitCode(summary) === EXIT_OK,
  );
  const exitCode = isFine ? EXIT_OK : EXIT_FAILURE;
  return Ok({
    exitCode,
    lines: [...lines, ...describeMissingPlatform(wanted, input.sources)],
    data: summaries,
  });
}

/** Reads the versions that the platform stores; empty if it does not answer. */
async function readWantedVersions(
  sources: HostSources,
): Promise<ReadonlyMap<ServiceId, number>> {
  const listed = await sources.platform?.listObjects('tables/');
  if (listed?.ok !== true) {
    return new Map();
  }
  return new Map(
    listed.val.map(({key, version}) => [key.slice('tables/'.length), version]),
  );
}

function describeMissingPlatform(
  wanted: ReadonlyMap<ServiceId, number>,
  sources: HostSources,
): readonly string[] {
  if (wanted.size > 0) {
    return [];
  }
  const reason = sources.platform === null ? 'was not given' : 'did not answer';
  return [
    `The platform ${reason}: hosts are compared with the highest version of any host.`,
  ];
}
