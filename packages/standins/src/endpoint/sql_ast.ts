/** Syntax tree of the SQL subset that the simulated endpoint supports. */

import type {ColumnKind, SqlValue} from './values.js';

/** An expression. */
export type Expr =
  | {readonly type: 'value'; readonly value: SqlValue}
  | {readonly type: 'param'; readonly index: number}
  | {readonly type: 'column'; readonly name: string}
  | {readonly type: 'variable'; readonly name: string}
  | {readonly type: 'not'; readonly operand: Expr}
  | {
      readonly type: 'binary';
      readonly op: string;
      readonly left: Expr;
      readonly right: Expr;
    }
  | {readonly type: 'is_null'; readonly operand: Expr}
  | {
      readonly type: 'in';
      readonly operand: Expr;
      readonly list: readonly Expr[];
    }
  | {
      readonly type: 'call';
      readonly name: string;
      /** `*` for the argument of COUNT(*). */
      readonly args: readonly Expr[] | '*';
    };

/** One item of a select list. */
export interface SelectItem {
  readonly expr: Expr;
  readonly name: string;
}

/** SELECT. */
export interface SelectStatement {
  readonly type: 'select';
  /** Null means `*`. */
  readonly items: readonly (SelectItem | null)[];
  readonly table: string | null;
  readonly where: Expr | null;
  readonly orderBy: readonly {
    readonly expr: Expr;
    readonly isDescending: boolean;
  }[];
  readonly limit: Expr | null;
  readonly offset: Expr | null;
  readonly isForUpdate: boolean;
}

/** A unique key of a table. */
export interface UniqueKey {
  readonly name: string;
  readonly columns: readonly string[];
}

/** CREATE TABLE. */
export interface CreateStatement {
  readonly type: 'create';
  readonly table: string;
  readonly isIfNotExists: boolean;
  readonly columns: readonly {
    readonly name: string;
    readonly kind: ColumnKind;
    readonly isAutoIncrement: boolean;
  }[];
  readonly keys: readonly UniqueKey[];
}

/** INSERT. */
export interface InsertStatement {
  readonly type: 'insert';
  readonly table: string;
  /** Null for all columns in table order. */
  readonly columns: readonly string[] | null;
  readonly rows: readonly (readonly Expr[])[];
  readonly isIgnore: boolean;
}

/** UPDATE. */
export interface UpdateStatement {
  readonly type: 'update';
  readonly table: string;
  readonly set: readonly {readonly column: string; readonly expr: Expr}[];
  readonly where: Expr | null;
}

/** DELETE. */
export interface DeleteStatement {
  readonly type: 'delete';
  readonly table: string;
  readonly where: Expr | null;
}

/** Any statement. */
export type SqlStatement =
  | SelectStatement
  | CreateStatement
  | InsertStatement
  | UpdateStatement
  | DeleteStatement
  | {
      readonly type: 'call';
      readonly name: string;
      readonly args: readonly Expr[];
    }
  | {readonly type: 'kill'; readonly id: Expr}
  | {readonly type: 'set_autocommit'; readonly isOn: boolean}
  | {readonly type: 'begin'}
  | {readonly type: 'commit'}
  | {readonly type: 'rollback'}
  /** Accepted without effect: SET, USE. */
  | {readonly type: 'accepted'};

/** A parsed statement with its parameter count and request key. */
export interface ParsedSql {
  readonly statement: SqlStatement;
  readonly paramCount: number;
  /** The request key from a comment, or null. */
  readonly requestKey: string | null;
}
