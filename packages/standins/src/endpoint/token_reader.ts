/** A cursor over tokens, with the small steps that the parsers share. */

import type {Token} from './sql_lexer.js';
import {LEDGER_ERRORS} from './values.js';

/** Reads tokens in order. */
export interface TokenReader {
  readonly peek: (ahead?: number) => Token;
  readonly next: () => Token;
  /** Skips the keyword if it comes next. */
  readonly tryWord: (...words: readonly string[]) => boolean;
  readonly word: (word: string) => void;
  readonly trySymbol: (symbol: string) => boolean;
  readonly symbol: (symbol: string) => void;
  /** Reads a name; of a qualified one, the last part. */
  readonly name: () => string;
  /** Numbers the parameters in order. */
  readonly nextParam: () => number;
  readonly paramCount: () => number;
  readonly fail: () => never;
}

/** Creates a reader at the first token. */
export function createTokenReader(tokens: readonly Token[]): TokenReader {
  const end: Token = {type: 'end'};
  let at = 0;
  let params = 0;

  const peek = (ahead = 0): Token => tokens[at + ahead] ?? end;
  const describe = (token: Token): string =>
    'text' in token ? token.text : token.type;
  const fail = (): never => {
    throw LEDGER_ERRORS.syntax(`near '${describe(peek())}'`);
  };
  const isWord = (token: Token, word: string): boolean =>
    token.type === 'word' &&
    !token.isQuoted &&
    token.text.toUpperCase() === word;
  const next = (): Token => {
    const token = peek();
    at += 1;
    return token;
  };
  const tryWord = (...words: readonly string[]): boolean => {
    if (!words.every((word, ahead) => isWord(peek(ahead), word))) {
      return false;
    }
    at += words.length;
    return true;
  };
  const trySymbol = (symbol: string): boolean => {
    const token = peek();
    if (token.type !== 'symbol' || token.text !== symbol) {
      return false;
    }
    at += 1;
    return true;
  };
  const readPart = (): string => {
    const token = peek();
    if (token.type !== 'word') {
      return fail();
    }
    at += 1;
    return token.text;
  };

  return {
    peek,
    next,
    tryWord,
    word: word => {
      if (!tryWord(word)) {
        fail();
      }
    },
    trySymbol,
    symbol: symbol => {
      if (!trySymbol(symbol)) {
        fail();
      }
    },
    name: () => {
      let name = readPart();
      while (trySymbol('.')) {
        name = readPart();
      }
      return name;
    },
    nextParam: () => params++,
    paramCount: () => params,
    fail,
  };
}
