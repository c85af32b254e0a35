/** Variables that an entry host keeps, or answers instead of the endpoints. */

import type {Caller} from './state.js';
import type {NamedValue} from './local_result.js';
import {writeSessionToken} from './session_token.js';
import {SELECTED_INSERT_ID} from './sql.js';

/** Variables that common client libraries read when they connect. */
const FIXED_VARIABLES: Readonly<Record<string, string>> = {
  version: '8.0.0-lacewingroad',
  version_comment: 'lacewingroad',
  max_allowed_packet: '16777216',
  wait_timeout: '28800',
  interactive_timeout: '28800',
  net_write_timeout: '60',
  net_read_timeout: '60',
  transaction_isolation: 'REPEATABLE-READ',
  tx_isolation: 'REPEATABLE-READ',
  character_set_client: 'utf8mb4',
  character_set_connection: 'utf8mb4',
  character_set_results: 'utf8mb4',
  character_set_server: 'utf8mb4',
  collation_connection: 'utf8mb4_general_ci',
  collation_server: 'utf8mb4_general_ci',
  lower_case_table_names: '0',
  sql_mode: 'STRICT_TRANS_TABLES',
  system_time_zone: 'UTC',
  time_zone: 'SYSTEM',
  auto_increment_increment: '1',
  init_connect: '',
  license: 'ISC',
  query_cache_size: '0',
  query_cache_type: 'OFF',
};

type VariableReader = (caller: Caller) => string;

const CALLER_VARIABLES: Readonly<Record<string, VariableReader>> = {
  autocommit: caller => (caller.autocommit ? '1' : '0'),
  lacewingroad_kind: caller => caller.kind,
  lacewingroad_session: caller =>
    caller.isNamedSession ? caller.session : writeSessionToken(caller),
};

function readVariable(caller: Caller, name: string): string | null {
  const key = name.toLowerCase().replace(/^(session|local|global)\./, '');
  const read = CALLER_VARIABLES[key];
  return read === undefined ? (FIXED_VARIABLES[key] ?? null) : read(caller);
}

/** Removes the quotes around a column name. */
function unquoteName(name: string): string {
  return name.replace(/^[`'"]|[`'"]$/g, '');
}

const SELECTED = /@@([\w.]+)(?:\s+AS\s+([^\s,]+))?/gi;

/**
 * Returns the values for a SELECT of variables, or null if the entry host does
 * not know one of them.
 */
export function readSelectedVariables(
  caller: Caller,
  plain: string,
): readonly NamedValue[] | null {
  const selectedId = SELECTED_INSERT_ID.exec(plain);
  if (selectedId !== null) {
    const name = selectedId[1] ?? 'LAST_INSERT_ID()';
    return [{name: unquoteName(name), value: caller.lastInsertId}];
  }
  const values: NamedValue[] = [];
  for (const [, variable, alias] of plain.matchAll(SELECTED)) {
    const value = readVariable(caller, variable ?? '');
    if (value === null) {
      return null;
    }
    const name = alias ?? `@@${variable ?? ''}`;
    values.push({name: unquoteName(name), value});
  }
  return values;
}

/** One assignment of a SET statement. */
export interface Assignment {
  readonly name: string;
  readonly value: string;
}

const ASSIGNMENT =
  /(?:@@)?(?:(?:session|local)[.\s]\s*)?([A-Za-z_]\w*|@\w+)\s*:?=\s*('(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|[^,]+)/gi;

function unquote(value: string): string {
  const trimmed = value.trim();
  return /^['"]/.test(trimmed)
    ? trimmed.slice(1, -1).replace(/''/g, "'").replace(/\\(.)/g, '$1')
    : trimmed;
}

/** Returns the assignments of a SET statement, names in lower case. */
export function parseAssignments(plain: string): readonly Assignment[] {
  const body = plain.replace(/^SET\s+/i, '');
  return [...body.matchAll(ASSIGNMENT)].map(([, name, value]) => ({
    name: (name ?? '').toLowerCase(),
    value: unquote(value ?? ''),
  }));
}
