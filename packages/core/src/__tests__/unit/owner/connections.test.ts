/** Connections: full endpoints, dead endpoints, silent connections. */

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
import {isPoolWorkDone} from '../../../owner/facts.js';
import {PRIMARY, Story, startStory} from './owner_story.js';

function opens(story: Story): readonly ActionOf<'open_conn'>[] {
  return story.actions.filter(action => action.type === 'open_conn');
}

function refuse(story: Story, fault: ConnFault): void {
  const {endpoint, conn} = opens(story).at(-1)!;
  story.feed({type: 'conn_closed', endpoint, conn, fault, wasOpen: false});
}

describe('opening connections', () => {
  it('waits and tries again when the endpoint is full', () => {
    const story = new Story();
    story.opensAtOnce = false;
    story.own();
    const id = story.run();
    for (let round = 0; round < 3; round++) {
      const before = opens(story).length;
      refuse(story, 'too_many');
      expect(opens(story)).toHaveLength(before);
      story.advance(1_000);
      expect(opens(story)).toHaveLength(before + 1);
    }
    const {endpoint, conn} = opens(story).at(-1)!;
    story.feed({type: 'conn_opened', endpoint, conn});
    story.ok();
    expect(story.ended(id)).toBe('done');
  });

  it('hands work back when the endpoint cannot be reached', () => {
    const story = new Story();
    story.opensAtOnce = false;
    story.own();
    const id = story.run();
    refuse(story, 'refused');
    expect(story.ended(id)).toBe('not_run endpoint_down');
    expect(story.ended(story.run())).toBe('not_run endpoint_down');
    story.observe(PRIMARY, 201);
    expect(story.ended(story.run())).toBeUndefined();
  });

  it('opens no more than the endpoint accepts beyond the reserve', () => {
    const story = startStory(12);
    for (let index = 0; index < 20; index++) {
      story.begin({callerKey: `c${index}`, connectionLimit: 99});
    }
    expect(opens(story)).toHaveLength(12 - RESERVED_CONNECTIONS);
  });

  it('never uses the number of a connection again', () => {
    const story = startStory();
    story.run();
    story.lose();
    story.run();
    story.lose();
    const ids = opens(story).map(action => action.conn);
    expect(new Set(ids).size).toBe(ids.length);
  });

  it('keeps the warm connections and closes others that stay idle', () => {
    const story = startStory();
    const {tx} = story.begin();
    story.run();
    story.ok();
    story.run({mode: 'rollback', tx});
    story.ok();
    expect(story.board.pools.byEndpoint.first()!.conns.size).toBe(2);
    story.advance(IDLE_CLOSE_MS);
    expect(story.board.pools.byEndpoint.first()!.conns.size).toBe(1);
    expect(isPoolWorkDone(story.board)).toBe(true);
  });
});

describe('silent connections', () => {
  it('closes a statement that misses its deadline', () => {
    const story = startStory();
    const id = story.run({timeoutLeftMs: 100});
    const {conn} = story.lastRun();
    story.advance(100);
    expect(story.ended(id)).toBe('unknown timed_out');
    expect(story.closed(conn)).toBe(true);
  });

  it('closes a silent connection when the endpoint answers probes', () => {
    const story = startStory(2);
    const silent = story.run({timeoutLeftMs: 60_000});
    const {conn} = story.lastRun();
    story.advance(SILENT_CONN_MS);
    const fresh = story.run({timeoutLeftMs: 60_000});
    const check = story.lastRun();
    expect(check.statement.sql).toBe('DO 1');
    story.ok();
    expect(story.ended(silent)).toBeUndefined();
    story.observe(PRIMARY, 201);
    expect(story.ended(silent)).toBe('unknown connection_lost');
    expect(story.closed(conn)).toBe(true);
    story.ok();
    expect(story.ended(fresh)).toBe('done');
  });

  it('checks an idle connection and keeps the place of the job', () => {
    const story = startStory();
    story.advance(IDLE_CHECK_MS);
    const id = story.run();
    const later = story.run({callerKey: 'other', targetLeftMs: 10});
    expect(story.lastRun().statement.sql).toBe('DO 1');
    const {conn} = story.lastRun();
    story.advance(CHECK_TIMEOUT_MS);
    expect(story.closed(conn)).toBe(true);
    expect(story.lastRun().statement.sql).toBe(`SELECT '${id}'`);
    story.ok();
    expect(story.ended(id)).toBe('done');
    expect(story.ended(later)).toBeUndefined();
  });

  it('rolls back on a connection whose last answer was an error', () => {
    const story = startStory();
    const failing = story.write();
    story.error(1146);
    expect(story.ended(failing)).toBe('failed');
    const id = story.run();
    expect(story.lastRun().statement.sql).toBe('ROLLBACK');
    story.ok();
    story.ok();
    expect(story.ended(id)).toBe('done');
  });

  it('answers the newest attempt when a request is sent again', () => {
    const story = startStory();
    const request = story.run();
    story.run({request, attempt: 2});
    story.ok();
    const told = story.sent('ran').map(({msg}) => msg.attempt);
    expect(told).toEqual([2]);
    expect(story.runs()).toHaveLength(1);
  });
});
