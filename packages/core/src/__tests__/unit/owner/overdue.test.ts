/** Overdue statements: which slots count as used while one gets no answer. */

import {describe, expect, it} from 'vitest';
import {
  OVERDUE_FACTOR,
  OVERDUE_MIN_MS,
  RESERVED_CONNECTIONS,
  SILENT_CONN_MS,
  SILENT_PROBE_INTERVAL_MS,
} from '../../../owner/limits.js';
import {PRIMARY, startHarness} from './owner_harness.js';
import type {SentStatement, OwnerHarness} from './owner_harness.js';

/** Connections that the endpoint of the harness accepts. */
const MAX_CONNECTIONS = 12;

/** Sends a read with a long timeout from a separate caller. */
function runLong(harness: OwnerHarness, name: string): string {
  const limits = {timeoutLeftMs: 60_000, connectionLimit: 99};
  return harness.run({callerKey: name, ...limits});
}

/** Returns the statements that were sent, other than checks. */
function readSent(harness: OwnerHarness): readonly SentStatement[] {
  return harness
    .sentStatements()
    .filter(({statement}) => statement.sql !== 'DO 1');
}

/** Advances the clock and has the endpoint answer a probe. */
function advanceAndProbe(harness: OwnerHarness, ms = OVERDUE_MIN_MS): void {
  harness.advance(ms);
  harness.observe(PRIMARY, 201);
}

describe('an overdue statement', () => {
  it('allows one trial on a new connection, then frees its slot once that is answered', () => {
    const harness = startHarness(2);
    ['a', 'b', 'c', 'd', 'e', 'f'].forEach(name => runLong(harness, name));
    expect(readSent(harness)).toHaveLength(2);
    const [silent] = readSent(harness);
    advanceAndProbe(harness);
    expect(readSent(harness)).toHaveLength(3);
    const trial = readSent(harness).at(-1)!;
    expect(trial.conn).not.toBe(silent!.conn);
    harness.ok({}, trial);
    // Both slots are free: two more run at a time, and no more than two.
    expect(readSent(harness)).toHaveLength(5);
    harness.ok({}, readSent(harness)[3]);
    expect(readSent(harness)).toHaveLength(6);
  });

  it('continues, and its late answer is delivered', () => {
    const harness = startHarness();
    const slow = runLong(harness, 'a');
    const [run] = readSent(harness);
    const trial = runLong(harness, 'b');
    advanceAndProbe(harness);
    harness.ok({}, readSent(harness).at(-1));
    expect(harness.outcomeOf(trial)).toBe('done');
    expect(harness.outcomeOf(slow)).toBeUndefined();
    harness.ok({}, run);
    expect(harness.outcomeOf(slow)).toBe('done');
  });

  it('of a write ends as unknown once its connection is given up', () => {
    const harness = startHarness();
    const id = harness.write({timeoutLeftMs: 60_000});
    advanceAndProbe(harness);
    expect(harness.outcomeOf(id)).toBeUndefined();
    advanceAndProbe(harness, SILENT_CONN_MS);
    expect(harness.outcomeOf(id)).toBe('unknown connection_lost');
  });

  it('has the endpoint probed again before it is given up, even if ownership is lost', () => {
    const harness = startHarness();
    const id = runLong(harness, 'a');
    advanceAndProbe(harness);
    // A host without ownership does not probe the endpoint regularly.
    harness.feed({
      type: 'ownership_changed',
      endpoint: PRIMARY,
      isOwner: false,
    });
    const before = harness.probesWanted.length;
    harness.advance(SILENT_CONN_MS);
    expect(harness.probesWanted.length).toBeGreaterThan(before);
    harness.observe(PRIMARY, 202);
    expect(harness.outcomeOf(id)).toBe('unknown connection_lost');
  });

  it('has the endpoint probed again while probes of it fail', () => {
    const harness = startHarness();
    runLong(harness, 'a');
    advanceAndProbe(harness);
    harness.advance(SILENT_CONN_MS);
    const before = harness.probesWanted.length;
    harness.failProbe(PRIMARY);
    expect(harness.probesWanted.length).toBe(before);
    harness.advance(SILENT_PROBE_INTERVAL_MS);
    expect(harness.probesWanted.length).toBeGreaterThan(before);
  });

  it('keeps its slot while the endpoint answers no probe sent after it', () => {
    const harness = startHarness();
    runLong(harness, 'a');
    runLong(harness, 'b');
    advanceAndProbe(harness, OVERDUE_MIN_MS - 1);
    harness.advance(SILENT_CONN_MS - OVERDUE_MIN_MS);
    expect(readSent(harness)).toHaveLength(1);
  });

  it('keeps its slot while statements that were sent later are running', () => {
    const harness = startHarness(2);
    runLong(harness, 'a');
    harness.advance(OVERDUE_MIN_MS / 2);
    runLong(harness, 'b');
    runLong(harness, 'c');
    advanceAndProbe(harness, OVERDUE_MIN_MS / 2);
    expect(readSent(harness)).toHaveLength(2);
    harness.ok({}, readSent(harness)[1]);
    runLong(harness, 'd');
    expect(readSent(harness)).toHaveLength(4);
  });

  it('is one that takes much longer than the average service time', () => {
    const harness = startHarness();
    const usualMs = 50;
    for (let round = 0; round < 60; round++) {
      runLong(harness, 'a');
      harness.advance(usualMs);
      harness.ok();
    }
    runLong(harness, 'a');
    runLong(harness, 'b');
    const before = readSent(harness).length;
    advanceAndProbe(harness, usualMs * (OVERDUE_FACTOR - 1));
    expect(readSent(harness)).toHaveLength(before);
    advanceAndProbe(harness, usualMs);
    expect(readSent(harness)).toHaveLength(before + 1);
  });

  it('allows one more trial per probe while no statement is answered', () => {
    const harness = startHarness();
    for (let at = 0; at < 2 * MAX_CONNECTIONS; at++) {
      runLong(harness, `c${at}`);
    }
    const limit = MAX_CONNECTIONS - RESERVED_CONNECTIONS;
    for (let round = 0; round < 2 * MAX_CONNECTIONS; round++) {
      advanceAndProbe(harness);
      const sent = Math.min(limit, round + 2);
      expect(readSent(harness)).toHaveLength(sent);
    }
  });

  it('has the endpoint probed once, unless it was answered before', () => {
    const harness = startHarness(2);
    runLong(harness, 'a');
    harness.advance(OVERDUE_MIN_MS / 2);
    runLong(harness, 'b');
    harness.advance(OVERDUE_MIN_MS / 2 - 1);
    expect(harness.probesWanted).toEqual([]);
    harness.ok();
    harness.advance(1);
    expect(harness.probesWanted).toEqual([PRIMARY]);
    harness.observe(PRIMARY, 201);
    harness.advance(OVERDUE_MIN_MS);
    expect(harness.probesWanted).toEqual([PRIMARY]);
  });

  it('has idle connections checked before they are used', () => {
    const harness = startHarness(3);
    runLong(harness, 'a');
    runLong(harness, 'b');
    harness.ok();
    advanceAndProbe(harness);
    runLong(harness, 'c');
    expect(harness.lastStatement().statement.sql).toBe('DO 1');
  });
});
