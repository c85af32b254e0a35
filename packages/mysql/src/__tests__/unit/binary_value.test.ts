import {describe, expect, test} from 'vitest';
import type {Column} from '@lacewingroad/core';
import {decodeBinaryCell, encodeBinaryCell} from '../../binary_value.js';
import {countPlaceholders} from '../../placeholder.js';
import {column} from './fake_core.js';

/** Removes the length prefix of values of variable size. */
function readContent(encoded: Buffer, {columnType}: Column): Buffer {
  return [10, 7, 12, 11].includes(columnType) ? encoded.subarray(1) : encoded;
}

test.each([
  ['0', column('c', 5, {decimals: 31})],
  ['0', column('c', 4, {decimals: 31})],
  ['-0', column('c', 5, {decimals: 31})],
  ['0.1', column('c', 4, {decimals: 31})],
  ['16777217', column('c', 5, {decimals: 31})],
  ['1.50', column('c', 5, {decimals: 2})],
  ['1.5', column('c', 5, {decimals: 0})],
  ['5e-324', column('c', 5, {decimals: 31})],
  ['00042', column('c', 3, {flags: 0x60, columnLength: 5})],
  ['4294967295', column('c', 3, {flags: 0x20})],
  ['-2147483648', column('c', 3)],
  ['2155', column('c', 13)],
  ['0000-00-00', column('c', 10)],
  ['0000-00-00 00:00:00', column('c', 12)],
  ['9999-12-31 23:59:59.999999', column('c', 12, {decimals: 6})],
  ['2026-12-04 00:00:00.5', column('c', 12, {decimals: 1})],
  ['-838:59:59', column('c', 11)],
  ['00:00:00.000', column('c', 11, {decimals: 3})],
])('%s is unchanged after encoding and decoding', (text, definition) => {
  const encoded = encodeBinaryCell(Buffer.from(text), definition);
  const content = readContent(encoded, definition);
  const decoded = decodeBinaryCell(content, definition);
  expect(Buffer.from(decoded!).toString()).toBe(text);
});

test.each([
  ['128000', 2],
  ['x', 3],
  ['x', 5],
  ['04.12.2026', 10],
  ['noon', 11],
])('%s does not fit type %i', (text, type) => {
  const encode = (): Buffer =>
    encodeBinaryCell(Buffer.from(text), column('c', type));
  expect(encode).toThrow(Error);
});

describe('placeholders', () => {
  test.each([
    ['SELECT 1', 0],
    ['SELECT ?, ?', 2],
    ["SELECT '?', ?", 1],
    ["SELECT 'it''s ?', ?", 1],
    ["SELECT 'a\\'?', ?", 1],
    ['SELECT "?", "a""?", ?', 1],
    ['SELECT `?`, `a``?`, ?', 1],
    ['SELECT ? -- ?\n, ?', 2],
    ['SELECT 1--?', 1],
    ['SELECT ? # ?', 1],
    ['SELECT /* ? */ ? /* ?', 1],
    ["SELECT '?", 0],
  ])('%s has %i placeholders', (sql, count) => {
    expect(countPlaceholders(sql)).toBe(count);
  });
});
