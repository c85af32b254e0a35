/**
 * Checks messages of other hosts before they change any state: a host of
 * another version, or a defect, must not end this process.
 */

import type {PoolMessage} from './message.js';

type Check = (value: unknown) => boolean;
type Fields = Readonly<Record<string, unknown>>;

const isString: Check = value => typeof value === 'string';
const isNumber: Check = value => Number.isFinite(value);
const isBoolean: Check = value => typeof value === 'boolean';

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function orNull(check: Check): Check {
  return value => value === null || check(value);
}

const isAmount: Check = value => isNumber(value) && (value as number) >= 0;

/** Accepts a missing field: hosts of earlier versions do not send it. */
function optional(check: Check): Check {
  return value => value === undefined || check(value);
}

function listOf(check: Check): Check {
  return value => Array.isArray(value) && value.every(check);
}

function fields(checks: Readonly<Record<string, Check>>): Check {
  const entries = Object.entries(checks);
  return value =>
    isFields(value) && entries.every(([name, check]) => check(value[name]));
}

function oneOf(...allowed: readonly unknown[]): Check {
  return value => allowed.includes(value);
}

/** Returns the check of a union whose members are told apart by `type`. */
function byType(checks: Readonly<Record<string, Check>>): Check {
  return value =>
    isFields(value) &&
    Object.hasOwn(checks, String(value['type'])) &&
    checks[String(value['type'])]!(value);
}

const isPosition = fields({term: isNumber, index: isNumber});
const isConsistency = oneOf('strict', 'bounded', 'session');
const isAccess = oneOf('read', 'write');
const isPromotions = fields({promoting: listOf(isString), term: isNumber});
const isAddress = fields({host: isString, address: isString});

const isStatement = byType({
  commit: () => true,
  run: fields({access: isAccess, text: isString}),
  execute: fields({
    access: isAccess,
    shape: isString,
    name: isString,
    args: isString,
  }),
});

const isResult = byType({
  done: fields({
    rows: listOf(isString),
    signature: isString,
    position: orNull(isPosition),
  }),
  refused: fields({
    reason: isString,
    retryAfterMs: optional(orNull(isNumber)),
  }),
  failed: fields({fault: oneOf('failed', 'timed_out'), text: isString}),
  unknown: fields({reason: isString}),
});

const isLineage = fields({
  members: listOf(
    fields({
      endpoint: isString,
      startedAt: isNumber,
      ackedBefore: optional(isPosition),
    }),
  ),
  term: isNumber,
  promoting: listOf(isString),
});

const isStored = fields({
  revision: isNumber,
  ownership: fields({
    group: isString,
    owner: isAddress,
    incarnation: isString,
    generation: isNumber,
    deputies: listOf(isAddress),
    renewals: isNumber,
    lineage: optional(orNull(isLineage)),
    era: optional(isNumber),
  }),
});

const isRoute = fields({
  database: isString,
  group: isString,
  consistency: isConsistency,
  maxStalenessMs: isNumber,
  timeoutMs: isNumber,
  targetMs: isNumber,
  priority: isNumber,
  isPublic: optional(isBoolean),
});

const isGroupLimits: Check = value =>
  Array.isArray(value) &&
  isString(value[0]) &&
  fields({maxConnections: isNumber, syncReplicas: isNumber})(value[1]);

const isRateLimit = fields({perSecond: isNumber, burst: isNumber});

const isWorkspaceLimit: Check = value =>
  Array.isArray(value) && isString(value[0]) && orNull(isRateLimit)(value[1]);

const isWorkspaces = fields({
  limits: listOf(isWorkspaceLimit),
  owners: listOf(listOf(isString)),
});

/** Returns whether a decoded table has all fields. */
export const isPackedTable = fields({
  version: isNumber,
  routes: listOf(isRoute),
  groups: listOf(isGroupLimits),
  txIdleMs: isNumber,
  workspaces: optional(orNull(isWorkspaces)),
});

const CHECKS_BY_TYPE: Readonly<Record<PoolMessage['type'], Check>> = {
  run: fields({
    request: isString,
    callerRequest: isString,
    group: isString,
    database: optional(isString),
    workspace: optional(orNull(isString)),
    keyDigest: optional(orNull(isString)),
    tableVersion: optional(isNumber),
    tx: orNull(fields({id: isString, readOnly: isBoolean, isFirst: isBoolean})),
    statement: isStatement,
    session: fields({values: listOf(listOf(isString))}),
    consistency: isConsistency,
    maxStalenessMs: isNumber,
    position: orNull(isPosition),
    priority: isNumber,
    targetLeftMs: isNumber,
    timeoutLeftMs: isNumber,
  }),
  ran: fields({request: isString, result: isResult}),
  close_tx: fields({group: isString, tx: isString}),
  lease_ask: fields({
    group: isString,
    generation: isNumber,
    revision: isNumber,
    ask: isNumber,
    promotions: optional(isPromotions),
  }),
  lease_grant: fields({
    group: isString,
    generation: isNumber,
    ask: isNumber,
    isGranted: isBoolean,
    isNoted: optional(isBoolean),
  }),
  consent_ask: fields({group: isString, revision: isNumber}),
  consent: fields({
    group: isString,
    revision: isNumber,
    promotions: optional(orNull(isPromotions)),
  }),
  promotion_ask: fields({group: isString, generation: isNumber}),
  promotion_report: fields({
    group: isString,
    generation: isNumber,
    promotions: orNull(isPromotions),
  }),
  record: fields({stored: isStored}),
  owner_state: fields({
    group: isString,
    generation: isNumber,
    isActive: isBoolean,
  }),
  table_ask: fields({
    ask: isNumber,
    version: orNull(isNumber),
    isFetch: optional(isBoolean),
  }),
  table_news: fields({
    ask: orNull(isNumber),
    ageMs: orNull(isNumber),
    table: orNull(value => value instanceof Uint8Array || isPackedTable(value)),
    version: optional(orNull(isNumber)),
  }),
  allowance_ask: fields({
    ask: isNumber,
    needs: listOf(
      fields({workspace: isString, admission: isAmount, start: isAmount}),
    ),
  }),
  allowance_grant: fields({
    ask: isNumber,
    loans: listOf(
      fields({
        workspace: isString,
        admission: isAmount,
        start: isAmount,
        left: isAmount,
      }),
    ),
  }),
  hello: fields({isDraining: isBoolean}),
};

/** Returns whether a message has a known type and all fields of that type. */
export const isWellFormed = byType(CHECKS_BY_TYPE);
