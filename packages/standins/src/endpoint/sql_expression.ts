/** Parses and evaluates expressions. */

import type {Expr} from './sql_ast.js';
import type {TokenReader} from './token_reader.js';
import {LEDGER_ERRORS, areEqual, compareValues, toNumeric} from './values.js';
import type {SqlValue} from './values.js';

/** Columns, variables, parameters and functions that an expression can use. */
export interface EvalScope {
  /** Returns the value of a column. Throws if there is no such column. */
  readonly column: (name: string) => SqlValue;
  readonly variable: (name: string) => SqlValue;
  readonly params: readonly SqlValue[];
  readonly call: (name: string, args: readonly SqlValue[]) => SqlValue;
}

/** Binary operators from lowest to highest precedence. */
const PRECEDENCE: readonly (readonly string[])[] = [
  ['OR'],
  ['AND'],
  ['=', '<', '>', '<=', '>=', '<>', '!='],
  ['+', '-'],
  ['*', '/', '%'],
];

function tryOperator(
  reader: TokenReader,
  ops: readonly string[],
): string | null {
  const found = ops.find(op =>
    /^[A-Z]/.test(op) ? reader.tryWord(op) : reader.trySymbol(op),
  );
  return found ?? null;
}

/** Parses an expression. */
export function parseExpr(reader: TokenReader, level = 0): Expr {
  const ops = PRECEDENCE[level];
  if (ops === undefined) {
    return parseUnary(reader);
  }
  let left = parseSuffix(reader, parseExpr(reader, level + 1), level);
  let op = tryOperator(reader, ops);
  while (op !== null) {
    const right = parseExpr(reader, level + 1);
    left = {type: 'binary', op, left, right};
    op = tryOperator(reader, ops);
  }
  return left;
}

const COMPARISON_LEVEL = 2;

function parseSuffix(reader: TokenReader, operand: Expr, level: number): Expr {
  if (level !== COMPARISON_LEVEL) {
    return operand;
  }
  if (reader.tryWord('IS', 'NOT', 'NULL')) {
    return {type: 'not', operand: {type: 'is_null', operand}};
  }
  if (reader.tryWord('IS', 'NULL')) {
    return {type: 'is_null', operand};
  }
  if (reader.tryWord('IN')) {
    return {type: 'in', operand, list: parseList(reader)};
  }
  return operand;
}

/** Parses a parenthesised list of expressions. */
export function parseList(reader: TokenReader): readonly Expr[] {
  const list: Expr[] = [];
  reader.expectSymbol('(');
  if (reader.trySymbol(')')) {
    return list;
  }
  do {
    list.push(parseExpr(reader));
  } while (reader.trySymbol(','));
  reader.expectSymbol(')');
  return list;
}

function parseUnary(reader: TokenReader): Expr {
  if (reader.tryWord('NOT')) {
    return {type: 'not', operand: parseUnary(reader)};
  }
  if (reader.trySymbol('-')) {
    const zero: Expr = {type: 'value', value: 0};
    return {type: 'binary', op: '-', left: zero, right: parseUnary(reader)};
  }
  if (reader.trySymbol('(')) {
    const inner = parseExpr(reader);
    reader.expectSymbol(')');
    return inner;
  }
  return parsePrimary(reader);
}

const KEYWORD_VALUES: Readonly<Record<string, SqlValue>> = {
  NULL: null,
  TRUE: 1,
  FALSE: 0,
};

function parsePrimary(reader: TokenReader): Expr {
  const token = reader.peek();
  if (reader.trySymbol('?')) {
    return {type: 'param', index: reader.nextParam()};
  }
  if (token.type === 'value') {
    reader.next();
    return {type: 'value', value: token.value};
  }
  if (token.type === 'variable') {
    reader.next();
    return {type: 'variable', name: token.text.toLowerCase()};
  }
  return parseNamed(reader);
}

function parseNamed(reader: TokenReader): Expr {
  const token = reader.peek();
  const name = reader.name();
  const isQuoted = token.type === 'word' && token.isQuoted;
  const word = name.toUpperCase();
  if (!isQuoted && word in KEYWORD_VALUES) {
    return {type: 'value', value: KEYWORD_VALUES[word] ?? null};
  }
  const after = reader.peek();
  if (after.type === 'symbol' && after.text === '(') {
    return parseCall(reader, word);
  }
  // A charset introducer such as _binary'...' or _utf8mb4'...'.
  if (word.startsWith('_') && after.type === 'value') {
    return parsePrimary(reader);
  }
  return {type: 'column', name};
}

function parseCall(reader: TokenReader, name: string): Expr {
  const inner = reader.peek(1);
  if (inner.type === 'symbol' && inner.text === '*') {
    reader.expectSymbol('(');
    reader.expectSymbol('*');
    reader.expectSymbol(')');
    return {type: 'call', name, args: '*'};
  }
  return {type: 'call', name, args: parseList(reader)};
}

function toSqlBoolean(value: boolean | null): SqlValue {
  return value === null ? null : Number(value);
}

/** Returns whether a value is true as a condition. */
export function isTrue(value: SqlValue): boolean {
  return value !== null && Number(toNumeric(value)) !== 0;
}

function createComparison(
  test: (order: number) => boolean,
): (a: SqlValue, b: SqlValue) => SqlValue {
  return (a, b) => {
    const order = compareValues(a, b);
    return toSqlBoolean(order === null ? null : test(order));
  };
}

function createArithmetic(
  computeBigints: (a: bigint, b: bigint) => bigint,
  computeNumbers: (a: number, b: number) => number,
): (a: SqlValue, b: SqlValue) => SqlValue {
  return (a, b) => {
    if (a === null || b === null) {
      return null;
    }
    const x = toNumeric(a);
    const y = toNumeric(b);
    if (typeof x === 'bigint' || typeof y === 'bigint') {
      return computeBigints(BigInt(x), BigInt(y));
    }
    return computeNumbers(x, y);
  };
}

const BINARY_OPS: Readonly<
  Record<string, (a: SqlValue, b: SqlValue) => SqlValue>
> = {
  OR: (a, b) => toSqlBoolean(isTrue(a) || isTrue(b)),
  AND: (a, b) => toSqlBoolean(isTrue(a) && isTrue(b)),
  '=': createComparison(order => order === 0),
  '<>': createComparison(order => order !== 0),
  '!=': createComparison(order => order !== 0),
  '<': createComparison(order => order < 0),
  '>': createComparison(order => order > 0),
  '<=': createComparison(order => order <= 0),
  '>=': createComparison(order => order >= 0),
  '+': createArithmetic(
    (a, b) => a + b,
    (a, b) => a + b,
  ),
  '-': createArithmetic(
    (a, b) => a - b,
    (a, b) => a - b,
  ),
  '*': createArithmetic(
    (a, b) => a * b,
    (a, b) => a * b,
  ),
  '/': (a, b) =>
    a === null || b === null || Number(toNumeric(b)) === 0
      ? null
      : Number(toNumeric(a)) / Number(toNumeric(b)),
  '%': createArithmetic(
    (a, b) => a % b,
    (a, b) => a % b,
  ),
};

type Evaluators = {
  readonly [T in Expr['type']]: (
    expr: Extract<Expr, {type: T}>,
    scope: EvalScope,
  ) => SqlValue;
};

const EVALUATORS: Evaluators = {
  value: expr => expr.value,
  param: (expr, scope) => scope.params[expr.index] ?? null,
  column: (expr, scope) => scope.column(expr.name),
  variable: (expr, scope) => scope.variable(expr.name),
  not: (expr, scope) => {
    const value = evaluate(expr.operand, scope);
    return toSqlBoolean(value === null ? null : !isTrue(value));
  },
  binary: (expr, scope) =>
    BINARY_OPS[expr.op]!(
      evaluate(expr.left, scope),
      evaluate(expr.right, scope),
    ),
  is_null: (expr, scope) =>
    toSqlBoolean(evaluate(expr.operand, scope) === null),
  in: (expr, scope) => {
    const value = evaluate(expr.operand, scope);
    return toSqlBoolean(
      expr.list.some(item => areEqual(value, evaluate(item, scope))),
    );
  },
  call: (expr, scope) => {
    if (expr.args === '*') {
      throw LEDGER_ERRORS.syntax(
        `'*' is not a valid argument of ${expr.name} here`,
      );
    }
    const args = expr.args.map(arg => evaluate(arg, scope));
    return scope.call(expr.name, args);
  },
};

/** Computes the value of an expression. */
export function evaluate(expr: Expr, scope: EvalScope): SqlValue {
  const evaluator = EVALUATORS[expr.type] as (
    expr: Expr,
    scope: EvalScope,
  ) => SqlValue;
  return evaluator(expr, scope);
}
