/** The steps that `table apply` and `table create` share. */

import {createHash} from 'node:crypto';
import {buildNextTable, diffTables, formatFault} from '@lacewingroad/core';
import type {StoredTable, TableContent, TableFault} from '@lacewingroad/core';
import {EXIT_NOT_AS_WISHED, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {usage} from '../command.js';
import type {HostSources} from '../host_list.js';
import {waitInForce} from '../in_force.js';
import type {ServiceInForce} from '../in_force.js';
import type {CliContext, PlatformPort} from '../ports.js';
import type {Report} from '../report.js';
import {Err, Ok} from '../result.js';
import type {Result} from '../result.js';
import {readTableFile} from '../table_file.js';
import type {TableFile} from '../table_file.js';
import {describeEdit, writeEdit} from '../write_edit.js';
import type {AcceptedEdit} from '../write_edit.js';
import {formatServiceLines} from './format_in_force.js';

const MS_PER_SECOND = 1_000;
/** Longest wait until an edit is in force everywhere, in seconds. */
export const DEFAULT_DEADLINE_SECONDS = '30';
const EDIT_ID_LENGTH = 32;

/** An edit as the operator states it. */
export interface WantedEdit {
  readonly service: string;
  readonly baseVersion: number;
  readonly content: TableContent;
  readonly by: string;
  readonly note: string;
}

/** Reads a table file; the error lists all faults. */
export async function loadTableFile(
  cli: CliContext,
  path: string,
): Promise<Result<TableFile, CliError>> {
  const text = await cli.files.read(path);
  if (text.err) {
    return text;
  }
  return readTableFile(text.val).mapErr(faults => describeFaults(path, faults));
}

function describeFaults(path: string, faults: readonly TableFault[]): CliError {
  return {
    kind: 'invalid_input',
    message: [
      `${path} has ${faults.length} fault(s); nothing was changed. Correct these and run the command again:`,
      ...faults.map(fault => `  ${formatFault(fault)}`),
    ].join('\n'),
  };
}

/**
 * Derives the id of an edit from what it does, so that the same command run
 * again recognises an edit of which the first run never learned the answer.
 */
export function deriveEditId(edit: WantedEdit): string {
  return createHash('sha256')
    .update(JSON.stringify(edit))
    .digest('hex')
    .slice(0, EDIT_ID_LENGTH);
}

/** Reads the option of a deadline, in seconds from now. */
export function readDeadline(
  cli: CliContext,
  seconds: string,
): Result<number, CliError> {
  const value = Number(seconds);
  return value > 0 && Number.isFinite(value)
    ? Ok(cli.runtime.now() + value * MS_PER_SECOND)
    : Err(usage('--deadline takes a number of seconds above 0.'));
}

/** Writes an edit and waits until it is in force on all live hosts. */
export async function carryOutEdit(
  cli: CliContext,
  platform: PlatformPort,
  sources: HostSources,
  standing: StoredTable,
  edit: WantedEdit,
  deadline: number,
): Promise<Result<Report, CliError>> {
  const editId = deriveEditId(edit);
  const author = {
    editId,
    editedBy: edit.by,
    note: edit.note,
    at: cli.runtime.wallNow(),
  };
  const next = buildNextTable(edit.service, standing, edit.content, author);
  const req = {next, baseVersion: edit.baseVersion, deadline};
  const accepted = await writeEdit(cli.runtime, platform, req);
  if (accepted.err) {
    return accepted;
  }
  const changes = diffTables(standing.table, edit.content);
  return Ok(
    await confirmEdit(cli, sources, edit, accepted.val, changes, deadline),
  );
}

/** Reads an accepted edit back from the hosts and reports on it. */
export async function confirmEdit(
  cli: CliContext,
  sources: HostSources,
  edit: WantedEdit,
  accepted: AcceptedEdit,
  changes: readonly string[],
  deadline: number,
): Promise<Report> {
  const {version, later} = accepted;
  const head = [
    ...changes,
    `Accepted: ${edit.service} is at version ${version}.`,
    ...later.map(entry => `Changed again since: ${describeEdit(entry)}`),
  ];
  const reading = await waitInForce(
    cli.runtime,
    sources,
    edit.service,
    version,
    deadline,
  );
  const service = edit.service;
  const data = {service, version, changes, later};
  if (reading.err) {
    const lines = [
      ...head,
      `Not read back: ${reading.val.message}`,
      `The edit stands and cannot revert. Run \`table status ${service}\` later.`,
    ];
    return {
      exitCode: EXIT_NOT_AS_WISHED,
      lines,
      data: {...data, inForce: null},
    };
  }
  return {
    exitCode: getInForceExit(reading.val),
    lines: [...head, ...formatServiceLines(cli, reading.val)],
    data: {...data, inForce: reading.val},
  };
}

/** Returns the exit code for a reading of all hosts. */
export function getInForceExit(reading: ServiceInForce): number {
  return reading.missing.length === 0 && reading.wanted > 0
    ? EXIT_OK
    : EXIT_NOT_AS_WISHED;
}

/** Refuses an empty note, which night staff could not learn from. */
export function checkNote(note: string | undefined): Result<string, CliError> {
  const trimmed = (note ?? '').trim();
  if (trimmed !== '') {
    return Ok(trimmed);
  }
  return Err(
    usage(
      'An edit needs a note that says why, for those who were not there: --note TEXT.',
    ),
  );
}
