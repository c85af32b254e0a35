import {describe, expect, it} from 'vitest';
import {
  buildNextTable,
  decideConflict,
  diffTables,
  FALLBACK_ROW,
  formatFault,
  parseTableObject,
  readRows,
  TABLE_HISTORY_LIMIT,
} from '../../index.js';
import type {RawRow, StoredTable, TableRow} from '../../index.js';

const PAYMENT: TableRow = {
  ...FALLBACK_ROW,
  kind: 'payment',
  rank: 'urgent',
  targetMs: 200,
};

const GOOD_CELLS = {
  kind: 'payment',
  rank: 'urgent',
  worth: '100',
  target_ms: '200',
  timeout_ms: '5000',
  max_staleness_ms: '0',
  connection_limit: '8',
  floor_percent: '60',
  may_repeat: 'no',
  ack: 'replica',
};

function raw(line: number, cells: Record<string, string>): RawRow {
  return {line, cells: {...GOOD_CELLS, ...cells}};
}

function edit(
  base: StoredTable,
  editId: string,
  editedBy: string,
  row: TableRow,
): StoredTable {
  const table = buildNextTable(
    'orders',
    base,
    {group: 'commissions', rows: [row]},
    {editId, editedBy, note: `note of ${editedBy}`, at: 1_000},
  );
  return {version: base.version + 1, table};
}

const EMPTY: StoredTable = {version: 0, table: null};

describe('readRows', () => {
  it('reads rows without faults', () => {
    const rows = readRows([raw(3, {may_repeat: 'YES', rank: 'Urgent'})]);
    expect(rows.unwrap()).toEqual([
      expect.objectContaining({rank: 'urgent', mayRepeat: true, targetMs: 200}),
    ]);
  });

  it('reports all faults, in the order of lines', () => {
    const rows = readRows([
      raw(3, {rank: 'high', target_ms: '2.5', may_repeat: 'maybe'}),
      raw(4, {kind: 'gallery', target_ms: '6000', connection_limit: '0'}),
      raw(5, {kind: 'gallery', ack: '', floor_percent: '50'}),
    ]);
    expect(rows.err).toBe(true);
    const lines = (rows.val as Parameters<typeof formatFault>[0][]).map(
      formatFault,
    );
    expect(lines).toEqual([
      'line 3, row payment, column rank: found "high"; allowed: one of urgent, standard, background',
      'line 3, row payment, column target_ms: found "2.5"; allowed: a whole number from 1 to 600000 (milliseconds)',
      'line 3, row payment, column may_repeat: found "maybe"; allowed: yes or no',
      'line 4, row gallery, column connection_limit: found "0"; allowed: a whole number from 1 to 10000',
      'line 4, row gallery, column target_ms: found target_ms 6000 above timeout_ms 5000; allowed: target_ms up to timeout_ms',
      'line 5, row gallery, column ack: found nothing; allowed: primary or replica',
      'line 5, row gallery, column kind: found "gallery" again, first on line 4; allowed: each kind once',
      'table, column floor_percent: found 110 in all rows of rank urgent; allowed: at most 100 in all rows of one rank',
    ]);
  });

  it('refuses a table without rows', () => {
    expect(readRows([]).err).toBe(true);
  });
});

describe('parseTableObject', () => {
  it('accepts the output of buildNextTable and refuses other shapes', () => {
    const stored = edit(EMPTY, 'e1', 'ana', PAYMENT);
    const parsed: unknown = JSON.parse(JSON.stringify(stored.table));
    expect(parseTableObject(parsed).unwrap()).toEqual(stored.table);
    expect(parseTableObject({service: 'orders'}).err).toBe(true);
    expect(parseTableObject(null).err).toBe(true);
  });
});

describe('diffTables', () => {
  it('lists added, changed and removed rows', () => {
    const before = {group: 'g', rows: [PAYMENT, {...PAYMENT, kind: 'old'}]};
    const after = {
      group: 'g',
      rows: [{...PAYMENT, targetMs: 100, mayRepeat: true}],
    };
    expect(diffTables(before, after)).toEqual([
      'row payment: target_ms 200 -> 100, may_repeat no -> yes',
      'row old: removed',
    ]);
    expect(diffTables(before, before)).toEqual([]);
  });
});

describe('buildNextTable', () => {
  it('keeps the history bounded, newest first', () => {
    let stored = EMPTY;
    for (let i = 0; i < TABLE_HISTORY_LIMIT + 5; i++) {
      stored = edit(stored, `e${i}`, 'ana', {...PAYMENT, worth: i});
    }
    expect(stored.table?.history).toHaveLength(TABLE_HISTORY_LIMIT);
    expect(stored.table?.history[0]?.version).toBe(TABLE_HISTORY_LIMIT + 5);
  });
});

describe('decideConflict', () => {
  const first = edit(EMPTY, 'e1', 'ana', PAYMENT);
  const second = edit(first, 'e2', 'bea', {...PAYMENT, targetMs: 100});
  const third = edit(second, 'e3', 'cai', {...PAYMENT, targetMs: 50});

  it('recognises its own edit as the current one', () => {
    expect(decideConflict({editId: 'e2', baseVersion: 1}, second)).toEqual({
      type: 'own_edit_took_effect',
      version: 2,
      later: [],
    });
  });

  it('recognises its own edit below later ones', () => {
    const decision = decideConflict({editId: 'e2', baseVersion: 1}, third);
    expect(decision).toMatchObject({
      type: 'own_edit_took_effect',
      version: 2,
      later: [{editedBy: 'cai'}],
    });
  });

  it('lists the edits since the version that was read', () => {
    const decision = decideConflict({editId: 'mine', baseVersion: 1}, third);
    expect(decision).toMatchObject({
      type: 'stale_base',
      version: 3,
      isComplete: true,
      edits: [
        {editedBy: 'cai', changes: ['row payment: target_ms 100 -> 50']},
        {editedBy: 'bea', note: 'note of bea'},
      ],
    });
  });

  it('allows the edit to be sent again while its base is unchanged', () => {
    const decision = decideConflict({editId: 'mine', baseVersion: 2}, second);
    expect(decision).toEqual({type: 'base_unchanged'});
  });

  it('treats a removed table as a stale base', () => {
    const decision = decideConflict({editId: 'mine', baseVersion: 2}, EMPTY);
    expect(decision).toMatchObject({type: 'stale_base', version: 0});
  });
});
