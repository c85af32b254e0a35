/**
 * Classifies statements by what they need from a connection, mostly by their
 * first words. The endpoint parses the full statement.
 */

import type {KindId} from '../model/ids.js';

/** Class of a statement, by what it needs. */
export type StatementClass =
  | 'read'
  /** A read that takes locks; it runs at the primary. */
  | 'locking_read'
  | 'write'
  /** Changes the schema, and would commit an open transaction. */
  | 'ddl'
  | 'begin'
  | 'commit'
  | 'rollback'
  | 'savepoint'
  /** SET or SELECT of variables that the entry host itself keeps. */
  | 'set'
  | 'select_variables'
  | 'use'
  | 'unsupported';

/** Hints in the comments of a statement. */
interface StatementHints {
  readonly kind: KindId | null;
  readonly key: string | null;
}

/** A classified statement. */
export interface ClassifiedStatement {
  readonly type: StatementClass;
  readonly hints: StatementHints;
  /** The statement without comments and final `;`, whitespace collapsed. */
  readonly plain: string;
  /** Whether it uses LAST_INSERT_ID() of the endpoint's connection. */
  readonly usesInsertId: boolean;
  /** Why it is not supported, and what to do instead; null if it is. */
  readonly problem: string | null;
}

/** Maximum length of a request key or kind, in characters. */
const MAX_HINT_LENGTH = 128;

/** Matches one token: a comment, quoted text, a separator or other text. */
const LEXEME =
  /\/\*[\s\S]*?\*\/|--[ \t][^\n]*|#[^\n]*|'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`(?:[^`]|``)*`|;|\s+|[^'"`;/#\s-]+|[\s\S]/g;

/** A sqlcommenter pair: key='value', the value URL-encoded. */
const COMMENT_PAIR = /([A-Za-z_][\w.-]*)\s*=\s*'([^']*)'/g;

function decodeHint(value: string): string {
  try {
    return decodeURIComponent(value);
  } catch {
    return value;
  }
}

function parseHints(comments: readonly string[]): StatementHints {
  let kind: string | null = null;
  let key: string | null = null;
  for (const comment of comments) {
    for (const [, name, value] of comment.matchAll(COMMENT_PAIR)) {
      const decoded = decodeHint(value ?? '').slice(0, MAX_HINT_LENGTH);
      kind = name === 'kind' ? decoded : kind;
      key = name === 'key' ? decoded : key;
    }
  }
  return {kind, key: key === '' ? null : key};
}

interface NormalizedStatement {
  /** Upper case, quoted text replaced by '', comments removed. */
  readonly masked: string;
  readonly plain: string;
  readonly comments: readonly string[];
  readonly hasSecondStatement: boolean;
}

function isComment(lexeme: string): boolean {
  return (
    lexeme.startsWith('/*') || lexeme.startsWith('--') || lexeme.startsWith('#')
  );
}

/** Returns whether MySQL executes a comment as part of the statement. */
function isExecutableComment(lexeme: string): boolean {
  return lexeme.startsWith('/*!') || lexeme.startsWith('/*+');
}

function normalizeStatement(sql: string): NormalizedStatement {
  const comments: string[] = [];
  let masked = '';
  let plain = '';
  let hasEnded = false;
  let hasSecondStatement = false;
  for (const [lexeme] of sql.matchAll(LEXEME)) {
    if (
      isComment(lexeme) &&
      lexeme.length > 1 &&
      !isExecutableComment(lexeme)
    ) {
      comments.push(lexeme);
      masked += ' ';
      plain += ' ';
      continue;
    }
    if (lexeme === ';') {
      hasEnded = true;
      continue;
    }
    const isBlank = /^\s+$/.test(lexeme);
    hasSecondStatement ||= hasEnded && !isBlank;
    const isQuoted = /^['"`]/.test(lexeme) && lexeme.length > 1;
    masked += isBlank ? ' ' : isQuoted ? "''" : lexeme.toUpperCase();
    plain += isBlank ? ' ' : lexeme;
  }
  return {
    masked: masked.replace(/ +/g, ' ').trim(),
    plain: plain.replace(/^ +| +$/g, ''),
    comments,
    hasSecondStatement,
  };
}

/** Matches a SELECT of the last insert id alone, with or without an alias. */
export const SELECTED_INSERT_ID =
  /^SELECT LAST_INSERT_ID ?\( ?\)(?: (?:AS )?([\w'`"]+))?$/i;

interface Rule {
  readonly pattern: RegExp;
  readonly type: StatementClass;
  readonly problem?: string;
}

const NEEDS_OWN_CONNECTION =
  'It needs a dedicated connection, which a pool cannot provide. Use a transaction, or connect to the endpoint directly.';

const IS_CONNECTION_STATE =
  'belongs to one connection to the endpoint, and the next statement may run on another one.';

/** Rules in order of precedence: the first match applies. */
const RULES: readonly Rule[] = [
  {
    pattern: /^\/\*!/,
    type: 'unsupported',
    problem:
      'Statements in executable comments are not supported. Send the statement without the comment.',
  },
  {
    pattern: /(^|[^@\w'])@[\w.$']/,
    type: 'unsupported',
    problem: `A user variable is not supported: it ${IS_CONNECTION_STATE} Send the value as a parameter.`,
  },
  {
    pattern: /\b(FOUND_ROWS|ROW_COUNT) ?\(/,
    type: 'unsupported',
    problem: `FOUND_ROWS() and ROW_COUNT() are not supported: the value ${IS_CONNECTION_STATE} Use SELECT COUNT(*), or the affected rows of the answer.`,
  },
  {
    pattern: /^(COMMIT|ROLLBACK)( WORK)? AND CHAIN\b/,
    type: 'unsupported',
    problem:
      'AND CHAIN is not supported. Send COMMIT or ROLLBACK, then START TRANSACTION.',
  },
  {pattern: /^(START TRANSACTION|BEGIN)\b/, type: 'begin'},
  {pattern: /^COMMIT\b/, type: 'commit'},
  {
    pattern: /^(ROLLBACK (WORK )?TO|SAVEPOINT|RELEASE SAVEPOINT)\b/,
    type: 'savepoint',
  },
  {pattern: /^ROLLBACK\b/, type: 'rollback'},
  {
    pattern: /^SET (@@)?(GLOBAL|PERSIST|PERSIST_ONLY)\b/,
    type: 'unsupported',
    problem:
      'SET GLOBAL would change the endpoint for every caller. Change the setting at the endpoint directly.',
  },
  {
    pattern: /^SET PASSWORD\b/,
    type: 'unsupported',
    problem:
      'Users are kept in the settings of the entry hosts. Change them there.',
  },
  {pattern: /^SET\b/, type: 'set'},
  {pattern: /^USE\b/, type: 'use'},
  {
    pattern: /^(LOCK TABLES?|UNLOCK TABLES?|LOCK INSTANCE|UNLOCK INSTANCE)\b/,
    type: 'unsupported',
    problem: `LOCK TABLES is not supported. ${NEEDS_OWN_CONNECTION}`,
  },
  {
    pattern: /^LOAD (DATA|XML)\b/,
    type: 'unsupported',
    problem:
      'LOAD DATA is not supported. Send the rows as INSERT statements of up to 1,000 rows.',
  },
  {
    pattern: /^(PREPARE|EXECUTE|DEALLOCATE PREPARE|DROP PREPARE)\b/,
    type: 'unsupported',
    problem:
      'PREPARE as a statement is not supported. Use the prepared statements of the client library.',
  },
  {
    pattern: /^(HANDLER|XA|FLUSH|KILL|RESET|CHANGE|SHUTDOWN|INSTALL|PURGE)\b/,
    type: 'unsupported',
    problem: `Administrative statements are not supported. Connect to the endpoint directly.`,
  },
  {
    pattern: /^CREATE TEMPORARY\b/,
    type: 'unsupported',
    problem: `Temporary tables are not supported. ${NEEDS_OWN_CONNECTION}`,
  },
  {
    pattern: /\b(GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS) ?\(/,
    type: 'unsupported',
    problem: `Named locks are not supported. ${NEEDS_OWN_CONNECTION}`,
  },
  {
    pattern: /^(SELECT|WITH|TABLE|VALUES)\b.*\bINTO (OUTFILE|DUMPFILE|@)/,
    type: 'unsupported',
    problem: 'SELECT ... INTO is not supported. Read the rows instead.',
  },
  {
    pattern:
      /^(\(|SELECT\b|WITH\b|TABLE\b).*\b(FOR UPDATE|FOR SHARE|LOCK IN SHARE MODE)\b/,
    type: 'locking_read',
  },
  {
    pattern:
      /^SELECT @@[\w.]+( AS \S+)?( ?, ?@@[\w.]+( AS \S+)?)*( LIMIT \d+)?$/,
    type: 'select_variables',
  },
  {pattern: SELECTED_INSERT_ID, type: 'select_variables'},
  {pattern: /^WITH\b.*\b(UPDATE|DELETE|INSERT)\b/, type: 'write'},
  {
    pattern: /^(SELECT|WITH|TABLE|VALUES|SHOW|DESCRIBE|DESC|EXPLAIN|\()/,
    type: 'read',
  },
  {
    pattern:
      /^(CREATE|ALTER|DROP|TRUNCATE|RENAME|GRANT|REVOKE|ANALYZE|OPTIMIZE)\b/,
    type: 'ddl',
  },
];

const MULTI_STATEMENT =
  'Several statements in one query are not supported, because their outcomes could not be distinguished. Send them one by one, in a transaction if they belong together.';

/** Classifies a statement. */
export function classifyStatement(sql: string): ClassifiedStatement {
  const {masked, plain, comments, hasSecondStatement} = normalizeStatement(sql);
  const hints = parseHints(comments);
  const usesInsertId = /\bLAST_INSERT_ID ?\(/.test(masked);
  if (hasSecondStatement) {
    return {
      type: 'unsupported',
      hints,
      plain,
      usesInsertId,
      problem: MULTI_STATEMENT,
    };
  }
  const rule = RULES.find(candidate => candidate.pattern.test(masked));
  return {
    type: rule?.type ?? 'write',
    hints,
    plain,
    usesInsertId,
    problem: rule?.problem ?? null,
  };
}
