import {describe, expect, it} from 'vitest';
import {FALLBACK_ROW, formatFault} from '@lacewingroad/core';
import type {TableRow} from '@lacewingroad/core';
import {formatTableFile, readTableFile} from '../../table_file.js';

const BASE = {service: 'orders', group: 'commissions', version: 7};
const ROWS: readonly TableRow[] = [
  {...FALLBACK_ROW, kind: 'payment', rank: 'urgent', ack: 'replica'},
  {...FALLBACK_ROW, kind: 'gallery', maxStalenessMs: 5_000, mayRepeat: true},
  FALLBACK_ROW,
];
const TEXT = formatTableFile(BASE, ROWS);
const EXPECTED = {base: BASE, rows: ROWS};

/** Changes that a spreadsheet may make when it saves the file. */
const SPREADSHEET_EDITS: Readonly<Record<string, (text: string) => string>> = {
  nothing: text => text,
  'a byte order mark and CRLF': text =>
    `\uFEFF${text.replaceAll('\n', '\r\n')}`,
  semicolons: text => text.replaceAll(',', ';'),
  tabs: text => text.replaceAll(',', '\t'),
  'all fields quoted, the comment too': text =>
    text.replace(/[^,\n]+/g, field => `"${field}"`),
  'trailing empty columns and rows': text =>
    text.replaceAll('\n', ',,\n') + ',,,,,,,,,,,\n',
  'upper case booleans and headings': text =>
    text
      .replaceAll('yes', 'TRUE')
      .replaceAll(',no,', ',FALSE,')
      .replace('rank', 'RANK'),
  'a separator line on top': text => `sep=;\n${text.replaceAll(',', ';')}`,
  'semicolons, quotes, CRLF and empty columns at once': text =>
    text
      .replace(/[^,\n]+/g, field => `"${field}"`)
      .replaceAll(',', ';')
      .replaceAll('\n', ';;\r\n'),
};

describe('table file', () => {
  for (const [description, change] of Object.entries(SPREADSHEET_EDITS)) {
    it(`is read after a spreadsheet change: ${description}`, () => {
      expect(readTableFile(change(TEXT)).unwrap()).toEqual(EXPECTED);
    });
  }

  it('reads columns in another order', () => {
    const lines = TEXT.trimEnd()
      .split('\n')
      .map((line, i) => (i === 0 ? line : line.split(',').reverse().join(',')));
    expect(readTableFile(lines.join('\n')).unwrap()).toEqual(EXPECTED);
  });

  it('keeps service names that contain separators', () => {
    const base = {...BASE, service: 'or, ders;1'};
    expect(readTableFile(formatTableFile(base, ROWS)).unwrap().base).toEqual(
      base,
    );
  });

  it('returns a null base without the comment line', () => {
    const text = TEXT.slice(TEXT.indexOf('\n') + 1);
    expect(readTableFile(text).unwrap()).toEqual({base: null, rows: ROWS});
  });

  it('reports all errors at once with their line numbers', () => {
    const text = TEXT.replace('payment,urgent,1', 'payment,now,1 000')
      .replace('gallery', 'payment')
      .replace('\n*,', ',,stray\n*,');
    const faults = readTableFile(text).val as Parameters<
      typeof formatFault
    >[0][];
    expect(faults.map(formatFault)).toEqual([
      'line 4: found "stray" in a column without a name; allowed: empty cells right of the last column',
      'line 3, row payment, column rank: found "now"; allowed: one of urgent, standard, background',
      'line 3, row payment, column worth: found "1 000"; allowed: a whole number from 0 to 1000000',
      'line 4, row payment, column kind: found "payment" again, first on line 3; allowed: each kind once',
    ]);
  });

  it('reports unknown and missing columns together', () => {
    const text = TEXT.replace('worth', 'wort').replace(',ack', '');
    const faults = readTableFile(text).val as readonly {found: string}[];
    expect(faults.map(({found}) => found)).toEqual([
      'unknown column "wort"',
      'no column worth',
      'no column ack',
    ]);
  });

  it('refuses an empty file', () => {
    expect(readTableFile('').err).toBe(true);
  });
});
