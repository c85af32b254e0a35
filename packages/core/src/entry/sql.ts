/**
 * Recognises what a statement needs of its connection, by its first words. The
 * rest of the statement is the endpoint's matter.
 */

import type {KindId} from '../model/ids.js';

/** What a statement needs. */
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
  /** SET or SELECT of something that the entry host itself keeps. */
  | 'set'
  | 'select_variables'
  | 'use'
  | 'unsupported';

/** What is told of a statement in its comment. */
interface StatementHints {
  readonly kind: KindId | null;
  readonly key: string | null;
}

/** A statement as recognised. */
export interface ClassifiedStatement {
  readonly type: StatementClass;
  readonly hints: StatementHints;
  /** The statement without comments, blanks folded, without a final `;`. */
  readonly plain: string;
  /** Whether it uses LAST_INSERT_ID() of the endpoint's connection. */
  readonly usesInsertId: boolean;
  /** Why it cannot be served, and what to do instead; null if it can. */
  readonly problem: string | null;
}

/** Longest request key and kind, in characters. */
const MAX_HINT_LENGTH = 128;

/** Matches what must be told apart: comments, quoted text, separators. */
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

function readHints(comments: readonly string[]): StatementHints {
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

interface Skeleton {
  /** Upper case, quoted text replaced by '', comments removed. */
  readonly words: string;
  readonly plain: string;
  readonly comments: readonly string[];
  readonly hasSecondStatement: boolean;
}

function isComment(lexeme: string): boolean {
  return (
    lexeme.startsWith('/*') || lexeme.startsWith('--') || lexeme.startsWith('#')
  );
}

/** Comments that MySQL executes; their text belongs to the statement. */
function isExecutableComment(lexeme: string): boolean {
  return lexeme.startsWith('/*!') || lexeme.startsWith('/*+');
}

function readSkeleton(sql: string): Skeleton {
  const comments: string[] = [];
  let words = '';
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
      words += ' ';
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
    words += isBlank ? ' ' : isQuoted ? "''" : lexeme.toUpperCase();
    plain += isBlank ? ' ' : lexeme;
  }
  return {
    words: words.replace(/ +/g, ' ').trim(),
    plain: plain.replace(/^ +| +$/g, ''),
    comments,
    hasSecondStatement,
  };
}

/** A statement that asks for the last insert id alone, under a name or not. */
export const SELECTED_INSERT_ID =
  /^SELECT LAST_INSERT_ID ?\( ?\)(?: (?:AS )?([\w'`"]+))?$/i;

interface Rule {
  readonly pattern: RegExp;
  readonly type: StatementClass;
  readonly problem?: string;
}

const PINNED =
  'It needs a connection of its own, which a pool cannot give. Use a transaction, or connect to the endpoint directly.';

const UNPINNED_STATE =
  'belongs to one connection of the endpoint, and the next statement may run on another one.';

/** The first rule that matches decides. */
const RULES: readonly Rule[] = [
  {
    pattern: /^\/\*!/,
    type: 'unsupported',
    problem:
      'Statements in executable comments cannot be served. Send the statement without the comment.',
  },
  {
    pattern: /(^|[^@\w'])@[\w.$']/,
    type: 'unsupported',
    problem: `A user variable cannot be served: it ${UNPINNED_STATE} Send the value as a parameter.`,
  },
  {
    pattern: /\b(FOUND_ROWS|ROW_COUNT) ?\(/,
    type: 'unsupported',
    problem: `FOUND_ROWS() and ROW_COUNT() cannot be served: the value ${UNPINNED_STATE} Use SELECT COUNT(*), or the affected rows of the answer.`,
  },
  {
    pattern: /^(COMMIT|ROLLBACK)( WORK)? AND CHAIN\b/,
    type: 'unsupported',
    problem:
      'AND CHAIN cannot be served. Send COMMIT or ROLLBACK, then START TRANSACTION.',
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
      'SET GLOBAL would change the endpoint for every caller. Change the endpoint by its own administration.',
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
    problem: `LOCK TABLES cannot be served. ${PINNED}`,
  },
  {
    pattern: /^LOAD (DATA|XML)\b/,
    type: 'unsupported',
    problem:
      'LOAD DATA cannot be served. Send the rows as INSERT statements of up to 1,000 rows.',
  },
  {
    pattern: /^(PREPARE|EXECUTE|DEALLOCATE PREPARE|DROP PREPARE)\b/,
    type: 'unsupported',
    problem:
      'PREPARE as a statement cannot be served. Use the prepared statements of the client library.',
  },
  {
    pattern: /^(HANDLER|XA|FLUSH|KILL|RESET|CHANGE|SHUTDOWN|INSTALL|PURGE)\b/,
    type: 'unsupported',
    problem: `Administrative statements cannot be served. Connect to the endpoint directly.`,
  },
  {
    pattern: /^CREATE TEMPORARY\b/,
    type: 'unsupported',
    problem: `Temporary tables cannot be served. ${PINNED}`,
  },
  {
    pattern: /\b(GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS) ?\(/,
    type: 'unsupported',
    problem: `Named locks cannot be served. ${PINNED}`,
  },
  {
    pattern: /^(SELECT|WITH|TABLE|VALUES)\b.*\bINTO (OUTFILE|DUMPFILE|@)/,
    type: 'unsupported',
    problem: 'SELECT ... INTO cannot be served. Read the rows instead.',
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
  'Several statements in one text cannot be served, because their outcomes could not be told apart. Send them one by one, in a transaction if they belong together.';

/** Classifies a statement. */
export function classifyStatement(sql: string): ClassifiedStatement {
  const {words, plain, comments, hasSecondStatement} = readSkeleton(sql);
  const hints = readHints(comments);
  const usesInsertId = /\bLAST_INSERT_ID ?\(/.test(words);
  if (hasSecondStatement) {
    return {
      type: 'unsupported',
      hints,
      plain,
      usesInsertId,
      problem: MULTI_STATEMENT,
    };
  }
  const rule = RULES.find(candidate => candidate.pattern.test(words));
  return {
    type: rule?.type ?? 'write',
    hints,
    plain,
    usesInsertId,
    problem: rule?.problem ?? null,
  };
}
