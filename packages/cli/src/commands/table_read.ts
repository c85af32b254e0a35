/** `table get`, `table status` and `table log`. */

import type {ServiceId, StoredTable} from '@lacewingroad/core';
import type {ArgsDef} from 'citty';
import {EXIT_NOT_AS_WISHED, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {needPlatform, OPERATOR_ARGS, reportOk} from '../command.js';
import type {CommandInput, CommandSpec} from '../command.js';
import type {HostSources} from '../host_list.js';
import {listServices, readTables, summarizeService} from '../in_force.js';
import type {Report} from '../report.js';
import {Err, Ok} from '../result.js';
import type {Result} from '../result.js';
import {formatTableFile} from '../table_file.js';
import {describeEdit, readStanding} from '../write_edit.js';
import {getInForceExit} from './edit_table.js';
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
  const read = await readExisting(input.sources, service);
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

async function readExisting(
  sources: HostSources,
  service: ServiceId,
): Promise<Result<ExistingTable, CliError>> {
  const platform = needPlatform(sources);
  if (platform.err) {
    return platform;
  }
  const standing = await readStanding(platform.val, service);
  if (standing.err) {
    return standing;
  }
  const {version, table} = standing.val;
  if (table !== null) {
    return Ok({version, table});
  }
  return Err({
    kind: 'refused',
    message: `The platform has no table of service ${service}. \`table status\` lists the services; \`table create\` makes a new one.`,
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
    const read = await readExisting(input.sources, input.args.service);
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
  description: 'read back, per host, the version in force and since when',
  args: STATUS_ARGS,
  handler: showStatus,
};

async function showStatus(
  input: CommandInput<typeof STATUS_ARGS>,
): Promise<Result<Report, CliError>> {
  const readings = await readTables(input.sources);
  if (readings.err) {
    return readings;
  }
  const wanted = await readWantedVersions(input.sources);
  const services =
    input.args.service === undefined
      ? [...new Set([...listServices(readings.val), ...wanted.keys()])].sort()
      : [input.args.service];
  const summaries = services.map(service =>
    summarizeService(readings.val, service, wanted.get(service) ?? null),
  );
  if (summaries.length === 0) {
    const line =
      'No host has a table, and the platform was not read or has none.';
    return Ok({exitCode: EXIT_NOT_AS_WISHED, lines: [line], data: []});
  }
  const lines = summaries.flatMap(summary => [
    ...formatServiceLines(input.cli, summary),
    '',
  ]);
  const isFine = summaries.every(
    summary => getInForceExit(summary) === EXIT_OK,
  );
  const exitCode = isFine ? EXIT_OK : EXIT_NOT_AS_WISHED;
  return Ok({
    exitCode,
    lines: [...lines, ...describeSource(wanted, input.sources)],
    data: summaries,
  });
}

/** Reads the versions that the platform holds; empty while it is out. */
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

function describeSource(
  wanted: ReadonlyMap<ServiceId, number>,
  sources: HostSources,
): readonly string[] {
  if (wanted.size > 0) {
    return [];
  }
  const reason = sources.platform === null ? 'was not named' : 'did not answer';
  return [
    `The platform ${reason}: hosts are compared with the highest version that a host has.`,
  ];
}
