/**
 * SET of variables of the endpoints. Statements run on any free connection of
 * the pool, so a setting would be lost or would affect another caller. A value
 * that differs from the one in effect is therefore refused, never ignored.
 */

import type {Assignment} from './variables.js';

/** Variables that do not change the results of pooled statements. */
const NO_EFFECT_VARIABLES: ReadonlySet<string> = new Set([
  'wait_timeout',
  'interactive_timeout',
  'net_read_timeout',
  'net_write_timeout',
  'net_buffer_length',
  'max_allowed_packet',
  'profiling',
  'query_cache_type',
  'session_track_gtids',
  'session_track_schema',
  'session_track_state_change',
  'session_track_system_variables',
  'session_track_transaction_info',
]);

/** Values that are in effect, or that are weaker than the one in effect. */
const EFFECTIVE_VALUES: Readonly<Record<string, RegExp>> = {
  time_zone: /^(SYSTEM|UTC|Etc\/UTC|\+00:00)$/i,
  sql_mode: /^STRICT_TRANS_TABLES$/i,
  sql_auto_is_null: /^(0|OFF)$/i,
  sql_safe_updates: /^(0|OFF)$/i,
  foreign_key_checks: /^(1|ON)$/i,
  unique_checks: /^(1|ON)$/i,
  auto_increment_increment: /^1$/,
  auto_increment_offset: /^1$/,
  max_execution_time: /^0$/,
  sql_select_limit: /^18446744073709551615$/,
  transaction_isolation: /^(READ-UNCOMMITTED|READ-COMMITTED|REPEATABLE-READ)$/i,
  tx_isolation: /^(READ-UNCOMMITTED|READ-COMMITTED|REPEATABLE-READ)$/i,
  transaction_read_only: /^(0|OFF)$/i,
  tx_read_only: /^(0|OFF)$/i,
  character_set_client: /^utf8(mb3|mb4)?$/i,
  character_set_connection: /^utf8(mb3|mb4)?$/i,
  character_set_results: /^(utf8(mb3|mb4)?|NULL)$/i,
  collation_connection: /^utf8(mb3|mb4)?_\w+$/i,
};

const DEFAULT_VALUE = /^DEFAULT$/i;
const CHARSET = /^SET\s+(?:NAMES|CHARACTER\s+SET|CHARSET)\s+['"]?(\w+)/i;
const SUPPORTED_CHARSET = /^(utf8(mb3|mb4)?|DEFAULT)$/i;
const TRANSACTION =
  /^SET\s+(?:(?:SESSION|LOCAL)\s+)?TRANSACTION\b.*\b(SERIALIZABLE|READ\s+ONLY)\b/is;
const REMEDY =
  'Remove it, and configure what all callers need at the endpoints directly.';

function isSupported({name, value}: Assignment): boolean {
  return (
    NO_EFFECT_VARIABLES.has(name) ||
    DEFAULT_VALUE.test(value) ||
    (EFFECTIVE_VALUES[name]?.test(value) ?? false)
  );
}

/**
 * Returns why a SET is not supported, or null where it is.
 *
 * @param assignments those of variables that the entry host does not keep.
 */
export function findUnsupportedSetting(
  plain: string,
  assignments: readonly Assignment[],
): string | null {
  const charset = CHARSET.exec(plain)?.[1];
  if (charset !== undefined && !SUPPORTED_CHARSET.test(charset)) {
    return `the character set ${charset} is not supported. Send and read text as utf8mb4.`;
  }
  const mode = TRANSACTION.exec(plain)?.[1];
  if (mode !== undefined) {
    return `SET TRANSACTION ${mode} would not reach the connections of the pool. Send START TRANSACTION, which runs at REPEATABLE READ.`;
  }
  const unsupported = assignments.find(assignment => !isSupported(assignment));
  return unsupported === undefined
    ? null
    : `SET ${unsupported.name} would not reach the connections of the pool. ${REMEDY}`;
}
