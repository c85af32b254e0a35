/** Connections: full, unreachable and silent endpoints. */

import {describe, expect, it} from 'vitest';
import type {ActionOf} from '../../../engine/action.js';
import type {ConnFault} from '../../../engine/event.js';
import {
  CHECK_TIMEOUT_MS,
  IDLE_CHECK_MS,
  IDLE_CLOSE_MS,
  RESERVED_CONNECTIONS,
  SILENT_CONN_MS,
} from '../../../owner/limits.js';
import {isPoolWorkDone} from '../../../owner/pool_status.js';
import {PRIMARY, OwnerHarness, startHarness} from './owner_harness.js';

function openActions(harness: OwnerHarness): readonly ActionOf<'open_conn'>[] {
  return harness.actions.filter(action => action.type === 'open_conn');
}

function refuse(harness: OwnerHarness, fault: ConnFault): void {
  const {endpoint, conn} = openActions(harness).at(-1)!;
  harness.feed({type: 'conn_closed', endpoint, conn, fault, wasOpen: false});
}

describe('opening connections', () => {
  it('waits and tries again when the endpoint is full', () => {
    const harness = new OwnerHarness();
    harness.opensAtOnce = false;
    harness.own();
    const id = harness.run();
    for (let round = 0; round < 3; round++) {
      const before = openActions(harness).length;
      refuse(harness, 'too_many');
      expect(openActions(harness)).toHaveLength(before);
      harness.advance(1_000);
      expect(openActions(harness)).toHaveLength(before + 1);
    }
    const {endpoint, conn} = openActions(harness).at(-1)!;
    harness.feed({type: 'conn_opened', endpoint, conn});
    harness.ok();
    expect(harness.outcomeOf(id)).toBe('done');
  });

  it('refuses work when the endpoint cannot be reached', () => {
    const harness = new OwnerHarness();
    harness.opensAtOnce = false;
    harness.own();
    const id = harness.run();
    refuse(harness, 'refused');
    expect(harness.outcomeOf(id)).toBe('not_run endpoint_down');
    expect(harness.outcomeOf(harness.run())).toBe('not_run endpoint_down');
    harness.observe(PRIMARY, 201);
    expect(harness.outcomeOf(harness.run())).toBeUndefined();
  });

  it('opens no more than the endpoint accepts beyond the reserve', () => {
    const harness = startHarness(12);
    for (let index = 0; index < 20; index++) {
      harness.begin({callerKey: `c${index}`, connectionLimit: 99});
    }
    expect(openActions(harness)).toHaveLength(12 - RESERVED_CONNECTIONS);
  });

  it('never reuses the number of a connection', () => {
    const harness = startHarness();
    harness.run();
    harness.loseConn();
    harness.run();
    harness.loseConn();
    const ids = openActions(harness).map(action => action.conn);
    expect(new Set(ids).size).toBe(ids.length);
  });

  it('keeps a minimum of connections and closes others that stay idle', () => {
    const harness = startHarness();
    const {tx} = harness.begin();
    harness.run();
    harness.ok();
    harness.run({mode: 'rollback', tx});
    harness.ok();
    expect(harness.board.pools.byEndpoint.first()!.conns.size).toBe(2);
    harness.advance(IDLE_CLOSE_MS);
    expect(harness.board.pools.byEndpoint.first()!.conns.size).toBe(1);
    expect(isPoolWorkDone(harness.board)).toBe(true);
  });
});

describe('silent connections', () => {
  it('closes the connection of a statement that misses its deadline', () => {
    const harness = startHarness();
    const id = harness.run({timeoutLeftMs: 100});
    const {conn} = harness.lastStatement();
    harness.advance(100);
    expect(harness.outcomeOf(id)).toBe('unknown timed_out');
    expect(harness.isClosed(conn)).toBe(true);
  });

  it('closes a silent connection when the endpoint answers probes', () => {
    const harness = startHarness(2);
    const silent = harness.run({timeoutLeftMs: 60_000});
    const {conn} = harness.lastStatement();
    harness.advance(SILENT_CONN_MS);
    const fresh = harness.run({timeoutLeftMs: 60_000});
    const check = harness.lastStatement();
    expect(check.statement.sql).toBe('DO 1');
    harness.ok();
    expect(harness.outcomeOf(silent)).toBeUndefined();
    harness.observe(PRIMARY, 201);
    expect(harness.outcomeOf(silent)).toBe('unknown connection_lost');
    expect(harness.isClosed(conn)).toBe(true);
    harness.ok();
    expect(harness.outcomeOf(fresh)).toBe('done');
  });

  it('checks an idle connection and requeues the job in front if it fails', () => {
    const harness = startHarness();
    harness.advance(IDLE_CHECK_MS);
    const id = harness.run();
    const later = harness.run({callerKey: 'other', targetLeftMs: 10});
    expect(harness.lastStatement().statement.sql).toBe('DO 1');
    const {conn} = harness.lastStatement();
    harness.advance(CHECK_TIMEOUT_MS);
    expect(harness.isClosed(conn)).toBe(true);
    expect(harness.lastStatement().statement.sql).toBe(`SELECT '${id}'`);
    harness.ok();
    expect(harness.outcomeOf(id)).toBe('done');
    expect(harness.outcomeOf(later)).toBeUndefined();
  });

  it('rolls back on a connection whose last answer was an error', () => {
    const harness = startHarness();
    const failing = harness.write();
    harness.error(1146);
    expect(harness.outcomeOf(failing)).toBe('failed');
    const id = harness.run();
    expect(harness.lastStatement().statement.sql).toBe('ROLLBACK');
    harness.ok();
    harness.ok();
    expect(harness.outcomeOf(id)).toBe('done');
  });

  it('answers the newest attempt when a request is sent again', () => {
    const harness = startHarness();
    const request = harness.run();
    harness.run({request, attempt: 2});
    harness.ok();
    const attempts = harness.sent('ran').map(({msg}) => msg.attempt);
    expect(attempts).toEqual([2]);
    expect(harness.sentStatements()).toHaveLength(1);
  });
});
