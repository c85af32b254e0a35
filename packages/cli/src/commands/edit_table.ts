/** Steps that `table apply` and `table create` share. */

import {createHash} from 'node:crypto';
import {buildNextTable, diffTables, formatFault} from '@lacewingroad/core';
import type {StoredTable, TableContent, TableFault} from '@lacewingroad/core';
import {EXIT_FAILURE, EXIT_OK} from '../cli_error.js';
import type {CliError} from '../cli_error.js';
import {usageError} from '../command.js';
import type {HostSources} from '../host_list.js';
import {waitUntilInForce} from '../in_force.js';
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
/** Default time to wait until an edit is in force everywhere, in seconds. */
export const DEFAULT_DEADLINE_SECONDS = '30';
const EDIT_ID_LENGTH = 32;

/** An edit that an operator requests; `deriveEditId` hashes its JSON form. */
export interface RequestedEdit {
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
      `${path} has ${faults.length} fault(s); nothing was changed. Correct them and run the command again:`,
      ...faults.map(fault => `  ${formatFault(fault)}`),
    ].join('\n'),
  };
}

/**
 * Derives the id of an edit from its content, so that a repeated command
 * recognises the edit of a first run that received no answer.
 */
export function deriveEditId(edit: RequestedEdit): string {
  return createHash('sha256')
    .update(JSON.stringify(edit))
    .digest('hex')
    .slice(0, EDIT_ID_LENGTH);
}

/** Parses `--deadline`, in seconds from now; returns the instant. */
export function parseDeadline(
  cli: CliContext,
  seconds: string,
): Result<number, CliError> {
  const value = Number(seconds);
  return value > 0 && Number.isFinite(value)
    ? Ok(cli.runtime.now() + value * MS_PER_SECOND)
    : Err(usageError('--deadline takes a number of seconds above 0.'));
}

/** Writes an edit and waits until all live hosts have it in force. */
export async function performEdit(
  cli: CliContext,
  platform: PlatformPort,
  sources: HostSources,
  stored: StoredTable,
  edit: RequestedEdit,
  deadline: number,
): Promise<Result<Report, CliError>> {
  const editId = deriveEditId(edit);
  const author = {
    editId,
    editedBy: edit.by,
    note: edit.note,
    at: cli.runtime.wallNow(),
  };
  const next = buildNextTable(edit.service, stored, edit.content, author);
  const req = {next, baseVersion: edit.baseVersion, deadline};
  const accepted = await writeEdit(cli.runtime, platform, req);
  if (accepted.err) {
    return accepted;
  }
  const changes = diffTables(stored.table, edit.content);
  return Ok(
    await confirmEdit(cli, sources, edit, accepted.val, changes, deadline),
  );
}

/** Waits until an accepted edit is in force on the hosts and reports on it. */
export async function confirmEdit(
  cli: CliContext,
  sources: HostSources,
  edit: RequestedEdit,
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
  const summary = await waitUntilInForce(
    cli.runtime,
    sources,
    edit.service,
    version,
    deadline,
  );
  const service = edit.service;
  const data = {service, version, changes, later};
  if (summary.err) {
    const lines = [
      ...head,
      `Could not check the hosts: ${summary.val.message}`,
      `The edit is stored and will not be rolled back. Run \`table status ${service}\` later.`,
    ];
    return {
      exitCode: EXIT_FAILURE,
      lines,
      data: {...data, inForce: null},
    };
  }
  return {
    exitCode: getInForceExitCode(summary.val),
    lines: [...head, ...formatServiceLines(cli, summary.val)],
    data: {...data, inForce: summary.val},
  };
}

/** Returns the exit code for a summary of all hosts. */
export function getInForceExitCode(summary: ServiceInForce): number {
  return summary.missing.length === 0 && summary.wanted > 0
    ? EXIT_OK
    : EXIT_FAILURE;
}

/** Rejects an empty note: other operators need the reason of an edit. */
export function checkNote(note: string | undefined): Result<string, CliError> {
  const trimmed = (note ?? '').trim();
  if (trimmed !== '') {
    return Ok(trimmed);
  }
  return Err(
    usageError(
      'An edit needs a note with its reason, for other operators: --note TEXT.',
    ),
  );
}
