/**
 * SET of what only the endpoints could apply. A statement runs on whichever
 * connection is free, so that a setting would reach none or a stranger's: one
 * that differs from what is in force is refused, never ignored.
 */

import type {Assignment} from './variables.js';

/** Variables that change no result of a statement sent through a pool. */
const WITHOUT_EFFECT: ReadonlySet<string> = new Set([
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

/** Values of variables that are in force, or promise less than what is. */
const IN_FORCE: Readonly<Record<string, RegExp>> = {
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
const SERVED_CHARSET = /^(utf8(mb3|mb4)?|DEFAULT)$/i;
const TRANSACTION =
  /^SET\s+(?:(?:SESSION|LOCAL)\s+)?TRANSACTION\b.*\b(SERIALIZABLE|READ\s+ONLY)\b/is;
const REMEDY =
  'Leave it out, and set what all callers need at the endpoints by their own administration.';

function isServed({name, value}: Assignment): boolean {
  return (
    WITHOUT_EFFECT.has(name) ||
    DEFAULT_VALUE.test(value) ||
    (IN_FORCE[name]?.test(value) ?? false)
  );
}

/**
 * Returns why a SET cannot be served, or null where it can.
 *
 * @param assignments those that the entry host does not keep itself.
 */
export function findUnservedSetting(
  plain: string,
  assignments: readonly Assignment[],
): string | null {
  const charset = CHARSET.exec(plain)?.[1];
  if (charset !== undefined && !SERVED_CHARSET.test(charset)) {
    return `the character set ${charset} is not served. Send and read text as utf8mb4.`;
  }
  const mode = TRANSACTION.exec(plain)?.[1];
  if (mode !== undefined) {
    return `SET TRANSACTION ${mode} would not reach the connections of the pool. Send START TRANSACTION, which runs at REPEATABLE READ.`;
  }
  const unserved = assignments.find(assignment => !isServed(assignment));
  return unserved === undefined
    ? null
    : `SET ${unserved.name} would not reach the connections of the pool. ${REMEDY}`;
}
