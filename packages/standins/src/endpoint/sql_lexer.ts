/** Splits SQL text into tokens and collects its comments. */

import {LEDGER_ERRORS} from './values.js';
import type {SqlValue} from './values.js';

/** One token. */
export type Token =
  | {readonly type: 'word'; readonly text: string; readonly isQuoted: boolean}
  | {readonly type: 'value'; readonly value: SqlValue}
  | {readonly type: 'variable'; readonly text: string}
  | {readonly type: 'symbol'; readonly text: string}
  | {readonly type: 'end'};

/** The tokens of a statement, ended by an `end` token. */
export interface LexedSql {
  readonly tokens: readonly Token[];
  readonly comments: readonly string[];
}

const TOKEN_PATTERN = new RegExp(
  [
    '(?<space>\\s+)',
    '(?<comment>/\\*[\\s\\S]*?\\*/|--[^\\n]*|#[^\\n]*)',
    "(?<hex>[xX]'[0-9a-fA-F]*'|0x[0-9a-fA-F]+)",
    '(?<string>\'(?:[^\'\\\\]|\\\\[\\s\\S]|\'\')*\'|"(?:[^"\\\\]|\\\\[\\s\\S]|"")*")',
    '(?<number>\\d+(?:\\.\\d+)?(?:[eE][+-]?\\d+)?|\\.\\d+)',
    '(?<quoted>`[^`]+`)',
    '(?<variable>@@?[A-Za-z0-9_.$]+)',
    '(?<word>[A-Za-z_$\\u0080-\\uffff][A-Za-z0-9_$\\u0080-\\uffff]*)',
    '(?<symbol><=|>=|<>|!=|<=>|[-+*/%(),.;=<>?])',
  ].join('|'),
  'y',
);

const ESCAPES: Readonly<Record<string, string>> = {
  '0': '\0',
  b: '\b',
  n: '\n',
  r: '\r',
  t: '\t',
  Z: '\x1a',
};

function unquote(text: string): string {
  const quote = text[0]!;
  return text
    .slice(1, -1)
    .replaceAll(`${quote}${quote}`, quote)
    .replace(/\\([\s\S])/g, (_all, char: string) => ESCAPES[char] ?? char);
}

function parseHex(text: string): Buffer {
  const digits = text.startsWith('0x') ? text.slice(2) : text.slice(2, -1);
  return Buffer.from(
    digits.padStart(digits.length + (digits.length % 2), '0'),
    'hex',
  );
}

function parseNumber(text: string): SqlValue {
  const number = Number(text);
  const isInteger = /^\d+$/.test(text);
  return isInteger && !Number.isSafeInteger(number) ? BigInt(text) : number;
}

const TOKEN_FACTORIES: Readonly<Record<string, (text: string) => Token>> = {
  hex: text => ({type: 'value', value: parseHex(text)}),
  string: text => ({type: 'value', value: unquote(text)}),
  number: text => ({type: 'value', value: parseNumber(text)}),
  quoted: text => ({type: 'word', text: text.slice(1, -1), isQuoted: true}),
  variable: text => ({type: 'variable', text}),
  word: text => ({type: 'word', text, isQuoted: false}),
  symbol: text => ({type: 'symbol', text}),
};

/**
 * Splits a statement into tokens. Throws error 1064 at a character that does not
 * start a token.
 */
export function lexSql(sql: string): LexedSql {
  const tokens: Token[] = [];
  const comments: string[] = [];
  TOKEN_PATTERN.lastIndex = 0;
  while (TOKEN_PATTERN.lastIndex < sql.length) {
    const start = TOKEN_PATTERN.lastIndex;
    const groups = TOKEN_PATTERN.exec(sql)?.groups;
    if (groups === undefined) {
      throw LEDGER_ERRORS.syntax(`near '${sql.slice(start, start + 40)}'`);
    }
    if (groups['comment'] !== undefined) {
      comments.push(groups['comment']);
    }
    const name = Object.keys(TOKEN_FACTORIES).find(
      candidate => groups[candidate] !== undefined,
    );
    if (name !== undefined) {
      tokens.push(TOKEN_FACTORIES[name]!(groups[name]!));
    }
  }
  tokens.push({type: 'end'});
  return {tokens, comments};
}

const REQUEST_KEY_PATTERN = /(?:^|[\s,*])key='([^']*)'/;

/** Returns the request key from the comments of a statement, or null. */
export function findRequestKey(comments: readonly string[]): string | null {
  const match = comments
    .map(comment => REQUEST_KEY_PATTERN.exec(comment))
    .find(found => found !== null);
  return match == null ? null : decodeURIComponent(match[1]!);
}
