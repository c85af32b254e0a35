/**
 * Brings an edit of a table into the platform. Answers that are lost are
 * resolved by reading back; the edit is sent again, with the same id, only
 * while the version that it builds on still stands.
 */

import {decideConflict, parseTableObject} from '@lacewingroad/core';
import type {
  ServiceId,
  StaleBase,
  StoredTable,
  TableEdit,
  TableObject,
} from '@lacewingroad/core';
import {waitUntil} from '@lacewingroad/runtime';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import type {CliError} from './cli_error.js';
import {formatWallTime} from './format_text.js';
import type {PlatformPort} from './ports.js';
import {Err, Ok} from './result.js';
import type {Result} from './result.js';

/** Wait before an edit is read back or sent again, in milliseconds. */
const RETRY_WAIT_MS = 500;

/** Returns the platform's key of a service's table. */
function tableKey(service: ServiceId): string {
  return `tables/${service}`;
}

/** Reads a service's table from the platform. */
export async function readStanding(
  platform: PlatformPort,
  service: ServiceId,
): Promise<Result<StoredTable, CliError>> {
  const read = await platform.getObject(tableKey(service));
  if (read.err) {
    return read;
  }
  const object = read.val;
  if (object === null || object.value === null) {
    return Ok({version: 0, table: null});
  }
  const parsed = parseTableObject(object.value);
  if (parsed.err) {
    return Err({
      kind: 'refused',
      message:
        `The platform's object ${object.key} is no valid table; have the ` +
        'day staff correct it before anybody edits it.',
    });
  }
  return Ok({version: object.version, table: parsed.val});
}

/** What is written, and how long it may be tried. */
export interface EditRequest {
  readonly next: TableObject;
  readonly baseVersion: number;
  readonly deadline: Instant;
}

/** An edit that took effect. */
export interface AcceptedEdit {
  readonly version: number;
  /** Edits by others on top of it, newest first. */
  readonly later: readonly TableEdit[];
}

/**
 * Writes an edit.
 *
 * @returns the version that it became; `refused` when its base is stale,
 *     `no_answer` when the deadline passed before its fate was known.
 */
export async function writeEdit(
  runtime: Runtime,
  platform: PlatformPort,
  req: EditRequest,
): Promise<Result<AcceptedEdit, CliError>> {
  const key = tableKey(req.next.service);
  for (;;) {
    const put = await platform.putObject(key, req.baseVersion, req.next);
    if (put.type === 'updated') {
      return Ok({version: put.version, later: []});
    }
    const settled = await readBack(platform, req);
    if (settled !== null) {
      return settled;
    }
    if (runtime.now() + RETRY_WAIT_MS >= req.deadline) {
      return Err(describeUnsettled(req));
    }
    await waitUntil(runtime, runtime.now() + RETRY_WAIT_MS);
  }
}

/** Reads what became of the edit; null while that is open. */
async function readBack(
  platform: PlatformPort,
  req: EditRequest,
): Promise<Result<AcceptedEdit, CliError> | null> {
  const standing = await readStanding(platform, req.next.service);
  if (standing.err) {
    return standing.val.kind === 'unreachable' ? null : standing;
  }
  return settleEdit(req.next.editId, req.baseVersion, standing.val);
}

/** Decides what became of an edit; null while its base still stands. */
export function settleEdit(
  editId: string,
  baseVersion: number,
  standing: StoredTable,
): Result<AcceptedEdit, CliError> | null {
  const decision = decideConflict({editId, baseVersion}, standing);
  if (decision.type === 'own_edit_took_effect') {
    return Ok({version: decision.version, later: decision.later});
  }
  if (decision.type === 'stale_base') {
    return Err(describeStaleBase(decision));
  }
  return null;
}

/** Writes one edit of a history for people. */
export function describeEdit(edit: TableEdit): string {
  const changes = edit.changes.length > 0 ? edit.changes : ['no differences'];
  return [
    `version ${edit.version}, ${formatWallTime(edit.at)}, by ${edit.editedBy}: ${edit.note}`,
    ...changes.map(change => `    ${change}`),
  ].join('\n');
}

function describeStaleBase(stale: StaleBase): CliError {
  const heading =
    stale.baseVersion === 0
      ? `Not created: the service has a table already, at version ${stale.version}. Its history:`
      : `Not applied: your file is based on version ${stale.baseVersion}, but ${describeStanding(stale)}. Since then:`;
  const missing = stale.isComplete
    ? []
    : ['  (older edits are no longer in the history)'];
  return {
    kind: 'refused',
    message: [
      heading,
      ...stale.edits.map(edit => `  ${describeEdit(edit)}`),
      ...missing,
      'Run `table get` again, repeat your change on the new file if it is still wanted, and apply that file.',
    ].join('\n'),
  };
}

function describeStanding(stale: StaleBase): string {
  return stale.version === 0
    ? 'the table was removed'
    : `version ${stale.version} stands`;
}

function describeUnsettled(req: EditRequest): CliError {
  return {
    kind: 'no_answer',
    message:
      `It is not known whether the edit of ${req.next.service} took effect: ` +
      'the platform gave no answer before the deadline. Run the same command ' +
      'again with the same file, note and name: it recognises its own edit ' +
      'and never applies it twice.',
  };
}
