import {describe, expect, it} from 'vitest';
import {startEntryHarness} from './entry_harness.js';

describe('SET of variables of the endpoints', () => {
  it.each([
    "SET time_zone = 'America/Lima'",
    "SET SESSION time_zone = '-05:00'",
    "SET @@session.sql_mode = CONCAT(@@sql_mode, ',ANSI')",
    'SET autocommit = 0, foreign_key_checks = 0',
    'SET innodb_lock_wait_timeout = 1',
    'SET NAMES latin1',
    "SET NAMES utf8mb4, time_zone = '+02:00'",
    'SET character_set_results = latin1',
    'SET TRANSACTION ISOLATION LEVEL SERIALIZABLE',
    'SET SESSION TRANSACTION READ ONLY',
  ])('%s is refused', sql => {
    const harness = startEntryHarness();
    expect(harness.outcomeOf(harness.send(sql))).toBe(9104);
  });

  it.each([
    "SET time_zone = '+00:00'",
    'SET time_zone = DEFAULT',
    "SET sql_mode = 'STRICT_TRANS_TABLES', wait_timeout = 10",
    'SET SQL_AUTO_IS_NULL = 0',
    'SET foreign_key_checks = 1',
    'SET NAMES utf8mb4 COLLATE utf8mb4_unicode_ci',
    "SET NAMES 'utf8'",
    'SET character_set_results = NULL',
    'SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED',
    "SET lacewingroad_kind = 'payment', autocommit = 1",
  ])('%s is accepted, because it is in effect', sql => {
    const harness = startEntryHarness();
    expect(harness.outcomeOf(harness.send(sql))).toBe('ok');
  });

  it('a refused SET has no effect', () => {
    const harness = startEntryHarness();
    harness.send("SET lacewingroad_kind = 'x', time_zone = '-05:00'");
    const seq = harness.send('SELECT @@lacewingroad_kind');
    expect(harness.value(seq)).not.toBe('x');
  });
});
