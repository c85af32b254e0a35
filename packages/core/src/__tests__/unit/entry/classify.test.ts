import {describe, expect, it} from 'vitest';
import {classifyStatement} from '../../../entry/sql.js';
import {startEntryHarness} from './entry_harness.js';

describe('classifyStatement', () => {
  it.each([
    ['SELECT 1', 'read'],
    ['  /* x */ select * from t -- for update', 'read'],
    ["SELECT 'x FOR UPDATE' FROM t", 'read'],
    ['SELECT * FROM t FOR UPDATE', 'locking_read'],
    ['SELECT * FROM t LOCK IN SHARE MODE', 'locking_read'],
    ['(SELECT * FROM t) FOR UPDATE', 'locking_read'],
    ['WITH x AS (SELECT 1) SELECT * FROM x', 'read'],
    ['WITH x AS (SELECT 1) DELETE FROM t', 'write'],
    ['SHOW TABLES', 'read'],
    ['INSERT INTO t VALUES (1)', 'write'],
    ['CALL p()', 'write'],
    ['CREATE TABLE t (id INT)', 'ddl'],
    ['BEGIN', 'begin'],
    ['START TRANSACTION READ ONLY', 'begin'],
    ['COMMIT WORK', 'commit'],
    ['ROLLBACK', 'rollback'],
    ['ROLLBACK TO SAVEPOINT a', 'savepoint'],
    ['SET NAMES utf8mb4', 'set'],
    ["SET SESSION sql_mode = 'a@b'", 'set'],
    ['USE shop', 'use'],
    ['SELECT @@version, @@autocommit', 'select_variables'],
    ['SELECT @@lacewingroad_session AS token', 'select_variables'],
    ['SELECT LAST_INSERT_ID()', 'select_variables'],
    ['select last_insert_id() as id', 'select_variables'],
    ["SELECT 'a@b', `@x` FROM t", 'read'],
    ['SELECT 1;', 'read'],
    ["SELECT ';'", 'read'],
  ])('%s is %s', (sql, type) => {
    expect(classifyStatement(sql).type).toBe(type);
  });

  it.each([
    'SELECT 1; DROP TABLE t',
    'LOCK TABLES t WRITE',
    "LOAD DATA INFILE 'x' INTO TABLE t",
    'SET GLOBAL x = 1',
    'SET @@global.x = 1',
    "SELECT GET_LOCK('a', 1)",
    'CREATE TEMPORARY TABLE t (id INT)',
    'SELECT 1 INTO @x',
    "PREPARE p FROM 'SELECT 1'",
    'COMMIT AND CHAIN',
    'ROLLBACK WORK AND CHAIN',
    'SET @x = 1',
    'SET autocommit = 1, @x = 1',
    'SELECT @x := 1',
    'SELECT * FROM t WHERE id = @x',
    '/*!40101 SET @OLD = 1 */',
    'SELECT FOUND_ROWS()',
    'SELECT ROW_COUNT()',
  ])('%s is refused with an error that says what to do instead', sql => {
    const {type, problem} = classifyStatement(sql);
    expect(type).toBe('unsupported');
    expect(problem).toMatch(/(Use|Send|Read|Change|Connect|Commit) /);
  });

  it('reads kind and key from comments, URL-decoded', () => {
    const sql = "SELECT 1 /*kind='pay%20in',key='o%27rder'*/ /*other='x'*/";
    expect(classifyStatement(sql).hints).toEqual({
      kind: 'pay in',
      key: "o'rder",
    });
  });

  it('reads no hints from quoted text', () => {
    const sql = "SELECT '/*kind=''x''*/', \"/*key='y'*/\"";
    expect(classifyStatement(sql).hints).toEqual({kind: null, key: null});
  });
});

describe('LAST_INSERT_ID()', () => {
  it('returns the last id of the same caller only', () => {
    const harness = startEntryHarness();
    harness.open(2);
    harness.send('INSERT INTO t VALUES (1)');
    const ok = {type: 'ok', affectedRows: 1, insertId: '41', info: ''} as const;
    harness.answer({type: 'done', result: ok, position: null, inTx: false});
    expect(harness.value(harness.send('SELECT LAST_INSERT_ID() AS id'))).toBe(
      '41',
    );
    expect(harness.value(harness.send('SELECT LAST_INSERT_ID()', 2))).toBe('0');
  });

  it('inside another statement requires a transaction', () => {
    const harness = startEntryHarness();
    const sql = 'INSERT INTO t VALUES (LAST_INSERT_ID())';
    expect(harness.outcomeOf(harness.send(sql))).toBe(9104);
    harness.send('BEGIN');
    harness.done(null, true);
    const seq = harness.send(sql);
    expect(harness.lastRun().msg.mode).toBe('in_tx');
    harness.done(null, true);
    expect(harness.outcomeOf(seq)).toBe('ok');
  });
});
