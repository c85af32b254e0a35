/** A cursor over tokens with the operations that the parsers share. */

import type {Token} from './sql_lexer.js';
import {LEDGER_ERRORS} from './values.js';

/** Reads tokens in order. */
export interface TokenReader {
  readonly peek: (ahead?: number) => Token;
  readonly next: () => Token;
  /** Consumes the keywords if they come next; returns whether they did. */
  readonly tryWord: (...words: readonly string[]) => boolean;
  readonly expectWord: (word: string) => void;
  readonly trySymbol: (text: string) => boolean;
  readonly expectSymbol: (symbol: string) => void;
  /** Reads a name; returns the last part of a qualified name. */
  readonly name: () => string;
  /** Returns the index of the next parameter. */
  readonly nextParam: () => number;
  readonly paramCount: () => number;
  readonly fail: () => never;
}

/** Creates a reader positioned at the first token. */
export function createTokenReader(tokens: readonly Token[]): TokenReader {
  const end: Token = {type: 'end'};
  let position = 0;
  let paramCount = 0;

  const peek = (ahead = 0): Token => tokens[position + ahead] ?? end;
  const formatToken = (token: Token): string =>
    'text' in token ? token.text : token.type;
  const fail = (): never => {
    throw LEDGER_ERRORS.syntax(`near '${formatToken(peek())}'`);
  };
  const isWord = (token: Token, word: string): boolean =>
    token.type === 'word' &&
    !token.isQuoted &&
    token.text.toUpperCase() === word;
  const next = (): Token => {
    const token = peek();
    position += 1;
    return token;
  };
  const tryWord = (...words: readonly string[]): boolean => {
    if (!words.every((word, ahead) => isWord(peek(ahead), word))) {
      return false;
    }
    position += words.length;
    return true;
  };
  const trySymbol = (symbol: string): boolean => {
    const token = peek();
    if (token.type !== 'symbol' || token.text !== symbol) {
      return false;
    }
    position += 1;
    return true;
  };
  const readPart = (): string => {
    const token = peek();
    if (token.type !== 'word') {
      return fail();
    }
    position += 1;
    return token.text;
  };

  return {
    peek,
    next,
    tryWord,
    expectWord: word => {
      if (!tryWord(word)) {
        fail();
      }
    },
    trySymbol,
    expectSymbol: symbol => {
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
    nextParam: () => paramCount++,
    paramCount: () => paramCount,
    fail,
  };
}
