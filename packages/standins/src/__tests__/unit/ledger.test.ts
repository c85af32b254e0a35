/** Tests transactions, log, terms and truncation of the ledger. */

import {describe, expect, it} from 'vitest';
import {createVirtualRuntime} from '@lacewingroad/runtime';
import type {VirtualRuntime} from '@lacewingroad/runtime';
import {createLedger} from '../../endpoint/ledger.js';
import type {Ledger} from '../../endpoint/ledger.js';
import {decodeEntries, encodeEntries} from '../../endpoint/log.js';
import {createSession} from '../../endpoint/session.js';
import type {Session} from '../../endpoint/session.js';
import {createSlots} from '../../endpoint/slots.js';
import {parseSql} from '../../endpoint/sql_parser.js';
import type {SqlValue} from '../../endpoint/values.js';

const LOCK_WAIT_MS = 100;
const CREATE =
  'CREATE TABLE t (id BIGINT AUTO_INCREMENT PRIMARY KEY, v VARCHAR(9) UNIQUE, n INT)';

interface LedgerFixture {
  readonly runtime: VirtualRuntime;
  readonly ledger: Ledger;
  readonly open: () => Session;
}

function createFixture(
  ledger = createLedger('primary', 1, null),
): LedgerFixture {
  const runtime = createVirtualRuntime(1);
  const slots = createSlots(3);
  const deps = {
    ledger,
    slots,
    runtime,
    serviceMs: () => 0,
    lockWaitMs: LOCK_WAIT_MS,
    variable: () => null,
    onStatement: () => undefined,
    onDataStatement: () => undefined,
    systemTable: () => null,
    kill: () => false,
  };
  return {runtime, ledger, open: () => createSession(deps, 'shop')};
}

async function run(
  session: Session,
  sql: string,
  params: readonly SqlValue[] = [],
): Promise<readonly (readonly SqlValue[])[] | string> {
  const reply = await session.run(parseSql(sql), params);
  return reply.type === 'rows' ? reply.rows : reply.info;
}

async function errnoOf(result: Promise<unknown>): Promise<number> {
  const err: unknown = await result.then(
    () => null,
    (reason: unknown) => reason,
  );
  return (err as {readonly errno: number}).errno;
}

/** Runs pending promise callbacks. */
async function flushPromises(): Promise<void> {
  for (let round = 0; round < 20; round += 1) {
    await Promise.resolve();
  }
}

describe('transactions', () => {
  it('assign the next position to each commit with writes', async () => {
    const session = createFixture().open();
    expect(await run(session, CREATE)).toBe('ledger-position=1:1');
    expect(await run(session, "INSERT INTO t (v) VALUES ('a'),('b')")).toBe(
      'ledger-position=1:2',
    );
    expect(await run(session, 'BEGIN')).toBe('');
    expect(session.isInTransaction()).toBe(true);
    expect(await run(session, "UPDATE t SET n = 5 WHERE v = 'a'")).toBe('');
    expect(await run(session, 'COMMIT')).toBe('ledger-position=1:3');
    expect(session.isInTransaction()).toBe(false);
    expect(await run(session, 'DELETE FROM t WHERE id = 99')).toBe('');
  });

  it('hide uncommitted changes and undo them on rollback', async () => {
    const fixture = createFixture();
    const [writer, reader] = [fixture.open(), fixture.open()];
    await run(writer, CREATE);
    await run(writer, "INSERT INTO t (v, n) VALUES ('a', 1)");
    await run(writer, 'BEGIN');
    await run(writer, 'UPDATE t SET n = n + 1');
    await run(writer, "INSERT INTO t (v, n) VALUES ('b', 7)");
    await run(writer, "DELETE FROM t WHERE v = 'a'");
    expect(await run(writer, 'SELECT v, n FROM t')).toEqual([['b', 7]]);
    expect(await run(reader, 'SELECT v, n FROM t')).toEqual([['a', 1]]);
    await run(writer, 'ROLLBACK');
    expect(await run(writer, 'SELECT v, n FROM t')).toEqual([['a', 1]]);
    expect(await run(writer, "INSERT INTO t (v) VALUES ('b')")).not.toBe('');
  });

  it('undo a statement that fails half-way', async () => {
    const session = createFixture().open();
    await run(session, CREATE);
    const insert = run(session, "INSERT INTO t (v) VALUES ('a'),('b'),('a')");
    expect(await errnoOf(insert)).toBe(1062);
    expect(await run(session, 'SELECT COUNT(*) FROM t')).toEqual([[0]]);
  });

  it('block a second insert of the same key until the first ends', async () => {
    const fixture = createFixture();
    const [first, second] = [fixture.open(), fixture.open()];
    await run(first, CREATE);
    await run(first, 'BEGIN');
    await run(first, "INSERT INTO t (v) VALUES ('k')");
    const waiting = run(second, "INSERT INTO t (v) VALUES ('k')");
    await flushPromises();
    await run(first, 'ROLLBACK');
    expect(await waiting).toBe('ledger-position=1:2');
  });

  it('reject the second insert once the first has committed', async () => {
    const fixture = createFixture();
    const [first, second] = [fixture.open(), fixture.open()];
    await run(first, CREATE);
    await run(first, 'BEGIN');
    await run(first, "INSERT INTO t (v) VALUES ('k')");
    const waiting = errnoOf(run(second, "INSERT INTO t (v) VALUES ('k')"));
    await flushPromises();
    await run(first, 'COMMIT');
    expect(await waiting).toBe(1062);
  });

  it('end a lock wait after the timeout', async () => {
    const fixture = createFixture();
    const [first, second] = [fixture.open(), fixture.open()];
    await run(first, CREATE);
    await run(first, "INSERT INTO t (v) VALUES ('k')");
    await run(first, 'BEGIN');
    await run(first, 'UPDATE t SET n = 1');
    const waiting = errnoOf(run(second, 'UPDATE t SET n = 2'));
    await flushPromises();
    fixture.runtime.runUntil(LOCK_WAIT_MS);
    expect(await waiting).toBe(1205);
  });

  it('do not autocommit a pending statement when their connection closes', async () => {
    const fixture = createFixture();
    const session = fixture.open();
    await run(session, CREATE);
    await run(session, 'BEGIN');
    const insert = errnoOf(run(session, "INSERT INTO t (v) VALUES ('k')"));
    session.close();
    expect(await insert).toBe(1290);
    expect(fixture.ledger.index()).toBe(1);
  });
});

describe('terms', () => {
  it('undo truncated entries, newest first', async () => {
    const {ledger, open} = createFixture();
    const session = open();
    await run(session, CREATE);
    await run(session, "INSERT INTO t (v, n) VALUES ('a', 1)");
    await run(session, "/*key='k1'*/ UPDATE t SET n = 2");
    await run(session, "/*key='k2'*/ INSERT INTO t (v) VALUES ('b')");
    await run(session, 'DELETE FROM t');
    ledger.follow({id: 'x', address: '127.0.0.1', port: 1}, 2, 3);
    expect(ledger.index()).toBe(3);
    expect(await run(session, 'SELECT v, n FROM t')).toEqual([['a', 2]]);
    expect(ledger.requestKeyRuns()).toEqual({
      k1: {surviving: 1, total: 1},
      k2: {surviving: 0, total: 1},
    });
    expect(await errnoOf(run(session, 'DELETE FROM t'))).toBe(1290);
  });

  it('reject the commit of a transaction that was open on a replaced primary', async () => {
    const {ledger, open} = createFixture();
    const session = open();
    await run(session, CREATE);
    await run(session, 'BEGIN');
    await run(session, "INSERT INTO t (v) VALUES ('a')");
    ledger.follow({id: 'x', address: '127.0.0.1', port: 1}, 2, 1);
    expect(await errnoOf(run(session, 'COMMIT'))).toBe(1290);
    expect(await run(session, 'SELECT COUNT(*) FROM t')).toEqual([[0]]);
  });

  it('accept promotion and following only with a valid term and position', async () => {
    const {ledger, open} = createFixture(createLedger('replica', 1, null));
    const promote = (term: number, start: number): Promise<unknown> =>
      run(open(), `CALL ledger_promote(${term}, ${start})`);
    const follow = (term: number): Promise<unknown> =>
      run(open(), `CALL ledger_follow('x', '127.0.0.1', 1, ${term}, 0)`);
    expect(await errnoOf(promote(1, 0))).toBe(1644);
    expect(await errnoOf(promote(2, 5))).toBe(1644);
    await promote(2, 0);
    await promote(2, 0);
    expect(ledger.role()).toBe('primary');
    expect(await errnoOf(follow(1))).toBe(1644);
    expect(await errnoOf(follow(2))).toBe(1644);
    await follow(3);
    expect(ledger.role()).toBe('replica');
  });

  it('truncate entries after the start of the term on promotion', async () => {
    const {ledger, open} = createFixture();
    const session = open();
    await run(session, 'CREATE TABLE t (id INT PRIMARY KEY)');
    await run(session, 'INSERT INTO t VALUES (1)');
    await run(session, 'INSERT INTO t VALUES (2)');
    await run(session, "CALL ledger_follow('x', '127.0.0.1', 1, 2, 3)");
    await run(session, 'CALL ledger_promote(3, 2)');
    expect(ledger.index()).toBe(2);
  });

  it('count a request key inserted as a row, and reject a duplicate', async () => {
    const {ledger, open} = createFixture();
    const session = open();
    const insert =
      "INSERT INTO lacewingroad_requests (request_key, affected_rows, insert_id) VALUES ('k', 0, '0')";
    expect(await run(session, insert)).toBe('ledger-position=1:1');
    expect(await errnoOf(run(session, insert))).toBe(1062);
    expect(ledger.requestKeyRuns()).toEqual({k: {surviving: 1, total: 1}});
  });

  it('encode and decode entries with all kinds of values', async () => {
    const {ledger, open} = createFixture();
    const session = open();
    await run(session, 'CREATE TABLE v (id BIGINT, b BLOB, d DOUBLE, s TEXT)');
    const values = [2n ** 62n, Buffer.from([0, 255]), 1.5, "é'"];
    await run(session, 'INSERT INTO v VALUES (?, ?, ?, ?)', values);
    const replica = createFixture(createLedger('replica', 1, null));
    decodeEntries(encodeEntries(ledger.entriesAfter(0, 9))).forEach(entry =>
      replica.ledger.apply(entry),
    );
    expect(await run(replica.open(), 'SELECT * FROM v')).toEqual([values]);
  });
});

describe('statements', () => {
  it('select with conditions, order, limit and aggregates', async () => {
    const session = createFixture().open();
    await run(session, CREATE);
    await run(session, "INSERT INTO t (v, n) VALUES ('a',3),('b',1),('c',2)");
    const select = (rest: string): Promise<unknown> =>
      run(session, `SELECT ${rest}`);
    expect(await select('v FROM t WHERE n >= 2 ORDER BY n LIMIT 1')).toEqual([
      ['c'],
    ]);
    expect(await select("n FROM t WHERE v IN ('a','b') AND n <> 1")).toEqual([
      [3],
    ]);
    expect(await select('COUNT(*), SUM(n), MIN(n), MAX(n) FROM t')).toEqual([
      [3, 6, 1, 3],
    ]);
    expect(await select("1, 'é', NULL, X'00FF'")).toEqual([
      [1, 'é', null, Buffer.from([0, 255])],
    ]);
    expect(await select('seq FROM seq_10000 WHERE seq = 10000')).toEqual([
      [10_000],
    ]);
    expect(await errnoOf(select('x FROM t'))).toBe(1054);
    expect(await errnoOf(select('1 FROM gone'))).toBe(1146);
    expect(() => parseSql('SELEKT 1')).toThrow(/syntax/);
  });
});
