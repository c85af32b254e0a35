/** Parses the SQL subset that the simulated endpoint supports. */

import type {
  CreateStatement,
  Expr,
  ParsedSql,
  SelectItem,
  SelectStatement,
  SqlStatement,
  UniqueKey,
} from './sql_ast.js';
import {parseExpr, parseList} from './sql_expression.js';
import {findRequestKey, lexSql} from './sql_lexer.js';
import {createTokenReader} from './token_reader.js';
import type {TokenReader} from './token_reader.js';
import type {ColumnKind} from './values.js';

type StatementParser = (reader: TokenReader) => SqlStatement;

function parseWhere(reader: TokenReader): Expr | null {
  return reader.tryWord('WHERE') ? parseExpr(reader) : null;
}

function formatExpr(expr: Expr): string {
  if (expr.type === 'column' || expr.type === 'variable') {
    return expr.name;
  }
  if (expr.type === 'value') {
    return expr.value === null ? 'NULL' : expr.value.toString();
  }
  if (expr.type !== 'call') {
    return '?';
  }
  const args = expr.args === '*' ? '*' : expr.args.map(formatExpr).join(', ');
  return `${expr.name}(${args})`;
}

const CLAUSE_KEYWORDS: ReadonlySet<string> = new Set([
  'FROM',
  'WHERE',
  'ORDER',
  'LIMIT',
  'FOR',
  'OFFSET',
]);

function parseItem(reader: TokenReader): SelectItem | null {
  if (reader.trySymbol('*')) {
    return null;
  }
  const expr = parseExpr(reader);
  if (reader.tryWord('AS')) {
    return {expr, name: parseAlias(reader)};
  }
  const token = reader.peek();
  const isAlias =
    token.type === 'word' && !CLAUSE_KEYWORDS.has(token.text.toUpperCase());
  return {expr, name: isAlias ? reader.name() : formatExpr(expr)};
}

function parseAlias(reader: TokenReader): string {
  const token = reader.peek();
  if (token.type !== 'value') {
    return reader.name();
  }
  reader.next();
  return String(token.value);
}

function parseItems(reader: TokenReader): readonly (SelectItem | null)[] {
  const items: (SelectItem | null)[] = [];
  do {
    items.push(parseItem(reader));
  } while (reader.trySymbol(','));
  return items;
}

function parseOrderBy(reader: TokenReader): SelectStatement['orderBy'] {
  const orderBy: {expr: Expr; isDescending: boolean}[] = [];
  if (!reader.tryWord('ORDER', 'BY')) {
    return orderBy;
  }
  do {
    const expr = parseExpr(reader);
    const isDescending = reader.tryWord('DESC');
    reader.tryWord('ASC');
    orderBy.push({expr, isDescending});
  } while (reader.trySymbol(','));
  return orderBy;
}

function parseLimit(
  reader: TokenReader,
): Pick<SelectStatement, 'limit' | 'offset'> {
  if (!reader.tryWord('LIMIT')) {
    return {limit: null, offset: null};
  }
  const first = parseExpr(reader);
  if (reader.trySymbol(',')) {
    return {limit: parseExpr(reader), offset: first};
  }
  const offset = reader.tryWord('OFFSET') ? parseExpr(reader) : null;
  return {limit: first, offset};
}

function parseSelect(reader: TokenReader): SqlStatement {
  const items = parseItems(reader);
  const hasTable = reader.tryWord('FROM') && !reader.tryWord('DUAL');
  const table = hasTable ? reader.name() : null;
  const where = parseWhere(reader);
  const orderBy = parseOrderBy(reader);
  const limits = parseLimit(reader);
  const isForUpdate = reader.tryWord('FOR', 'UPDATE');
  return {type: 'select', items, table, where, orderBy, ...limits, isForUpdate};
}

const TYPE_KINDS: readonly (readonly [RegExp, ColumnKind])[] = [
  [/^(TINY|SMALL|MEDIUM|BIG)?INT(EGER)?$|^BOOL(EAN)?$/, 'bigint'],
  [/^(DOUBLE|FLOAT|REAL)$/, 'double'],
  [/BLOB$|BINARY$/, 'blob'],
];

function parseColumnKind(reader: TokenReader): ColumnKind {
  const type = reader.name().toUpperCase();
  if (reader.peek().type === 'symbol' && reader.trySymbol('(')) {
    while (!reader.trySymbol(')')) {
      reader.next();
    }
  }
  return TYPE_KINDS.find(([pattern]) => pattern.test(type))?.[1] ?? 'string';
}

function parseNames(reader: TokenReader): readonly string[] {
  const names: string[] = [];
  reader.expectSymbol('(');
  do {
    names.push(reader.name());
  } while (reader.trySymbol(','));
  reader.expectSymbol(')');
  return names;
}

/** Parses a key clause; returns null if the next element is a column. */
function tryParseKey(reader: TokenReader): UniqueKey | null {
  if (reader.tryWord('PRIMARY', 'KEY')) {
    return {name: 'PRIMARY', columns: parseNames(reader)};
  }
  if (!reader.tryWord('UNIQUE')) {
    return null;
  }
  if (!reader.tryWord('KEY')) {
    reader.tryWord('INDEX');
  }
  const name = reader.peek().type === 'word' ? reader.name() : 'unique';
  return {name, columns: parseNames(reader)};
}

type CreateColumn = CreateStatement['columns'][number];

function parseColumn(reader: TokenReader, keys: UniqueKey[]): CreateColumn {
  const name = reader.name();
  const kind = parseColumnKind(reader);
  let isAutoIncrement = false;
  for (;;) {
    const token = reader.peek();
    const isEnd = token.type === 'symbol' && [',', ')'].includes(token.text);
    if (isEnd) {
      return {name, kind, isAutoIncrement};
    }
    if (token.type === 'end') {
      return reader.fail();
    }
    if (reader.tryWord('PRIMARY', 'KEY')) {
      keys.push({name: 'PRIMARY', columns: [name]});
    } else if (reader.tryWord('UNIQUE')) {
      keys.push({name, columns: [name]});
    } else if (reader.tryWord('AUTO_INCREMENT')) {
      isAutoIncrement = true;
    } else {
      // NOT NULL, DEFAULT value, UNSIGNED and other attributes are ignored.
      reader.next();
    }
  }
}

function skipToEnd(reader: TokenReader): void {
  while (reader.peek().type !== 'end') {
    reader.next();
  }
}

function parseCreate(reader: TokenReader): SqlStatement {
  reader.expectWord('TABLE');
  const isIfNotExists = reader.tryWord('IF', 'NOT', 'EXISTS');
  const table = reader.name();
  const columns: CreateColumn[] = [];
  const keys: UniqueKey[] = [];
  reader.expectSymbol('(');
  do {
    const key = tryParseKey(reader);
    if (key === null) {
      columns.push(parseColumn(reader, keys));
    } else {
      keys.push(key);
    }
  } while (reader.trySymbol(','));
  reader.expectSymbol(')');
  skipToEnd(reader);
  return {type: 'create', table, isIfNotExists, columns, keys};
}

function parseInsert(reader: TokenReader): SqlStatement {
  const isIgnore = reader.tryWord('IGNORE');
  reader.tryWord('INTO');
  const table = reader.name();
  const token = reader.peek();
  const hasColumns = token.type === 'symbol' && token.text === '(';
  const columns = hasColumns ? parseNames(reader) : null;
  if (!reader.tryWord('VALUES')) {
    reader.expectWord('VALUE');
  }
  const rows: (readonly Expr[])[] = [];
  do {
    rows.push(parseList(reader));
  } while (reader.trySymbol(','));
  return {type: 'insert', table, columns, rows, isIgnore};
}

function parseUpdate(reader: TokenReader): SqlStatement {
  const table = reader.name();
  const set: {column: string; expr: Expr}[] = [];
  reader.expectWord('SET');
  do {
    const column = reader.name();
    reader.expectSymbol('=');
    set.push({column, expr: parseExpr(reader)});
  } while (reader.trySymbol(','));
  return {type: 'update', table, set, where: parseWhere(reader)};
}

function parseDelete(reader: TokenReader): SqlStatement {
  reader.expectWord('FROM');
  return {type: 'delete', table: reader.name(), where: parseWhere(reader)};
}

function parseSet(reader: TokenReader): SqlStatement {
  if (reader.tryWord('AUTOCOMMIT')) {
    reader.expectSymbol('=');
    const token = reader.next();
    return {
      type: 'set_autocommit',
      isOn: token.type === 'value' && token.value === 1,
    };
  }
  skipToEnd(reader);
  return {type: 'accepted'};
}

const STATEMENT_PARSERS: Readonly<Record<string, StatementParser>> = {
  SELECT: parseSelect,
  CREATE: parseCreate,
  INSERT: parseInsert,
  UPDATE: parseUpdate,
  DELETE: parseDelete,
  SET: parseSet,
  CALL: reader => ({
    type: 'call',
    name: reader.name().toLowerCase(),
    args: parseList(reader),
  }),
  KILL: reader => {
    reader.tryWord('CONNECTION');
    return {type: 'kill', id: parseExpr(reader)};
  },
  BEGIN: reader => {
    reader.tryWord('WORK');
    return {type: 'begin'};
  },
  START: reader => {
    reader.expectWord('TRANSACTION');
    skipToEnd(reader);
    return {type: 'begin'};
  },
  COMMIT: () => ({type: 'commit'}),
  ROLLBACK: () => ({type: 'rollback'}),
  USE: reader => {
    reader.name();
    return {type: 'accepted'};
  },
};

/** Parses one statement. Throws error 1064 if it is not supported. */
export function parseSql(sql: string): ParsedSql {
  const {tokens, comments} = lexSql(sql);
  const reader = createTokenReader(tokens);
  const word = reader.name().toUpperCase();
  const parser = STATEMENT_PARSERS[word];
  if (parser === undefined) {
    return reader.fail();
  }
  const statement = parser(reader);
  reader.trySymbol(';');
  if (reader.peek().type !== 'end') {
    return reader.fail();
  }
  return {
    statement,
    paramCount: reader.paramCount(),
    requestKey: findRequestKey(comments),
  };
}
