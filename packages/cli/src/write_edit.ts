/**
 * Writes a table edit to the platform. If no answer arrives, the stored table
 * is read to find out whether the edit took effect. The edit is sent again,
 * with the same id, only while the stored version is still its base version.
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

/** Wait before an edit is sent again, in milliseconds. */
const RETRY_WAIT_MS = 500;

/** Returns the platform's key of a service's table. */
function tableKey(service: ServiceId): string {
  return `tables/${service}`;
}

/** Reads a service's table from the platform. */
export async function readStoredTable(
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
        `The platform's object ${object.key} is not a valid table; have it ` +
        'corrected on the platform before you edit it.',
    });
  }
  return Ok({version: object.version, table: parsed.val});
}

/** An edit to write, and the deadline of the attempts. */
export interface EditRequest {
  readonly next: TableObject;
  readonly baseVersion: number;
  readonly deadline: Instant;
}

/** An edit that took effect. */
export interface AcceptedEdit {
  readonly version: number;
  /** Later edits by others, newest first. */
  readonly later: readonly TableEdit[];
}

/**
 * Writes an edit.
 *
 * @returns the version that the edit created; `refused` when its base version
 *     is stale, `no_answer` when it is unknown at the deadline whether the edit
 *     took effect.
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
    const outcome = await readEditOutcome(platform, req);
    if (outcome !== null) {
      return outcome;
    }
    if (runtime.now() + RETRY_WAIT_MS >= req.deadline) {
      return Err(describeUnknownOutcome(req));
    }
    await waitUntil(runtime, runtime.now() + RETRY_WAIT_MS);
  }
}

/** Reads the outcome of the edit; null while it is unknown. */
async function readEditOutcome(
  platform: PlatformPort,
  req: EditRequest,
): Promise<Result<AcceptedEdit, CliError> | null> {
  const stored = await readStoredTable(platform, req.next.service);
  if (stored.err) {
    return stored.val.kind === 'unreachable' ? null : stored;
  }
  return resolveEdit(req.next.editId, req.baseVersion, stored.val);
}

/**
 * Returns the outcome of an edit according to the stored table, or null while
 * the stored version is still the base version of the edit.
 */
export function resolveEdit(
  editId: string,
  baseVersion: number,
  stored: StoredTable,
): Result<AcceptedEdit, CliError> | null {
  const decision = decideConflict({editId, baseVersion}, stored);
  if (decision.type === 'own_edit_took_effect') {
    return Ok({version: decision.version, later: decision.later});
  }
  if (decision.type === 'stale_base') {
    return Err(describeStaleBase(decision));
  }
  return null;
}

/** Formats one edit of a history for people. */
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
      : `Not applied: your file is based on version ${stale.baseVersion}, but ${describeCurrentVersion(stale)}. Since then:`;
  const missing = stale.isComplete
    ? []
    : ['  (older edits are no longer in the history)'];
  return {
    kind: 'refused',
    message: [
      heading,
      ...stale.edits.map(edit => `  ${describeEdit(edit)}`),
      ...missing,
      'Run `table get` again, repeat your change in the new file if you still want it, and apply that file.',
    ].join('\n'),
  };
}

function describeCurrentVersion(stale: StaleBase): string {
  return stale.version === 0
    ? 'the table was removed'
    : `the current version is ${stale.version}`;
}

function describeUnknownOutcome(req: EditRequest): CliError {
  return {
    kind: 'no_answer',
    message:
      `It is not known whether the edit of ${req.next.service} took effect: ` +
      'the platform did not answer before the deadline. Run the same command ' +
      'again with the same file, note and name: it recognises its own edit ' +
      'and never applies it twice.',
  };
}
