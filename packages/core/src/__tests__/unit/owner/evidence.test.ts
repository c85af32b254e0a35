/** What a pool owner may acknowledge, and what it must not run. */

import {describe, expect, it} from 'vitest';
import {ASKER, PRIMARY, REPLICA, startStory} from './owner_story.js';

describe('write evidence', () => {
  it('acknowledges a write with fresh evidence and its position', () => {
    const story = startStory();
    const id = story.write();
    story.ok({index: 201});
    expect(story.outcomes(id)[0]).toMatchObject({
      type: 'done',
      position: {term: 3, index: 201},
    });
  });

  it('does not send a write without evidence', () => {
    const story = startStory();
    story.advance(60_000);
    const id = story.write();
    expect(story.ended(id)).toBe('not_run no_evidence');
    expect(story.runs()).toHaveLength(0);
  });

  it('answers unknown when the evidence expires between send and answer', () => {
    const story = startStory();
    const id = story.write({timeoutLeftMs: 90_000});
    story.now += 60_000;
    story.ok({index: 201});
    expect(story.ended(id)).toBe('unknown evidence_expired');
  });

  it('answers unknown when the primary was replaced meanwhile', () => {
    const story = startStory();
    const id = story.write();
    story.changeGroup({term: 4, primary: REPLICA});
    story.ok({index: 201});
    expect(story.ended(id)).toBe('unknown replaced_primary');
  });

  it('refuses queued writes and acknowledges none once writes stopped', () => {
    const story = startStory();
    const running = story.write();
    const queued = story.write();
    story.feed({type: 'writes_stopped', group: 'g', term: 3});
    expect(story.ended(queued)).toBe('not_run fenced');
    story.ok({index: 201});
    expect(story.ended(running)).toBe('unknown evidence_expired');
    expect(story.ended(story.write())).toBe('not_run fenced');
  });

  it('refuses a write of another term and a write at a replica', () => {
    const story = startStory();
    story.own(REPLICA);
    expect(story.ended(story.write({term: 2}))).toBe('not_run not_primary');
    const atReplica = story.write({endpoint: REPLICA});
    expect(story.ended(atReplica)).toBe('not_run not_primary');
  });

  it('tells from error 1290 that a write did not run', () => {
    const story = startStory();
    const id = story.write();
    story.error(1290);
    expect(story.ended(id)).toBe('not_run not_primary');
  });

  it('ignores an answer to an earlier step and to a closed connection', () => {
    const story = startStory();
    const first = story.run();
    const late = story.lastRun();
    story.ok();
    const second = story.run();
    story.ok({}, late);
    expect(story.ended(first)).toBe('done');
    expect(story.ended(second)).toBeUndefined();
    const lost = story.lastRun();
    story.lose();
    story.ok({}, lost);
    expect(story.ended(second)).toBe('unknown connection_lost');
  });
});

describe('reads with a position', () => {
  const wanted = {term: 3, index: 160};

  it('waits a short time for a replica, then hands back', () => {
    const story = startStory();
    story.own(REPLICA);
    const id = story.run({endpoint: REPLICA, minPosition: wanted});
    story.advance(40);
    expect(story.ended(id)).toBeUndefined();
    story.advance(40);
    expect(story.ended(id)).toBe('not_run not_reached');
    expect(story.runs()).toHaveLength(0);
  });

  it('serves once the replica has the position', () => {
    const story = startStory();
    story.own(REPLICA);
    const id = story.run({endpoint: REPLICA, minPosition: wanted});
    story.observe(REPLICA, 160);
    story.ok();
    expect(story.ended(id)).toBe('done');
  });

  it('serves any position of its term at the primary', () => {
    const story = startStory();
    const id = story.run({minPosition: {term: 3, index: 9_999}});
    story.ok();
    expect(story.ended(id)).toBe('done');
  });

  it('refuses data older than the read accepts', () => {
    const story = startStory();
    story.own(REPLICA);
    story.now = 500;
    const id = story.run({
      endpoint: REPLICA,
      maxStalenessMs: 400,
      targetLeftMs: 0,
    });
    expect(story.ended(id)).toBe('not_run not_reached');
  });
});

describe('acknowledgement by a replica', () => {
  it('answers once another owner confirms the position', () => {
    const story = startStory();
    const id = story.write({ack: 'replica'});
    story.ok({index: 201});
    expect(story.ended(id)).toBeUndefined();
    const {msg} = story.sent('await_position')[0]!;
    expect(msg).toMatchObject({endpoint: REPLICA, position: {index: 201}});
    story.message(ASKER, {type: 'position', ask: msg.ask, reached: true});
    expect(story.ended(id)).toBe('done');
  });

  it('answers unknown when no replica confirms in time', () => {
    const story = startStory();
    const id = story.write({ack: 'replica', timeoutLeftMs: 100});
    story.ok({index: 201});
    const {ask} = story.sent('await_position')[0]!.msg;
    story.message(ASKER, {type: 'position', ask, reached: false});
    story.advance(100);
    expect(story.ended(id)).toBe('unknown replica_not_reached');
  });

  it('does not confirm without evidence at the time of the confirmation', () => {
    const story = startStory();
    const id = story.write({ack: 'replica'});
    story.ok({index: 201});
    story.feed({type: 'writes_stopped', group: 'g', term: 3});
    const {ask} = story.sent('await_position')[0]!.msg;
    story.message(ASKER, {type: 'position', ask, reached: true});
    expect(story.ended(id)).toBe('unknown evidence_expired');
  });

  it('tells other owners when its replica has a position, or not', () => {
    const story = startStory();
    story.own(REPLICA);
    const ask = (index: number, number: number): void => {
      story.message(ASKER, {
        type: 'await_position',
        ask: number,
        endpoint: REPLICA,
        position: {term: 3, index},
        timeoutLeftMs: 100,
      });
    };
    ask(160, 1);
    ask(170, 2);
    story.observe(REPLICA, 165);
    story.advance(200);
    const told = story.sent('position').map(({msg}) => [msg.ask, msg.reached]);
    expect(told).toEqual([
      [1, true],
      [2, false],
    ]);
  });
});

describe('endpoints and hosts that leave', () => {
  it('gives a leaving endpoint no new work and lets running work finish', () => {
    const story = startStory();
    const running = story.run();
    const queued = story.run();
    const endpoints = story.board.view.groups
      .get('g')!
      .value.endpoints.map(item => ({...item, leaving: true}));
    story.changeGroup({endpoints});
    expect(story.ended(queued)).toBe('not_run endpoint_leaving');
    expect(story.ended(story.run())).toBe('not_run endpoint_leaving');
    story.ok();
    expect(story.ended(running)).toBe('done');
  });

  it('takes only work of open transactions while draining', () => {
    const story = startStory();
    const {tx} = story.begin();
    story.feed({type: 'drain', deadline: 10_000});
    expect(story.ended(story.run())).toBe('not_run draining');
    const commit = story.run({mode: 'commit', tx, term: 3});
    story.ok();
    expect(story.ended(commit)).toBe('done');
  });

  it('finishes what runs after losing the pool, then closes it', () => {
    const story = startStory();
    const running = story.run();
    const queued = story.run();
    story.feed({
      type: 'ownership_changed',
      endpoint: PRIMARY,
      isOwner: false,
    });
    expect(story.ended(queued)).toBe('not_run not_owner');
    story.ok();
    expect(story.ended(running)).toBe('done');
    expect(story.board.pools.byEndpoint.size).toBe(0);
    expect(story.ended(story.run())).toBe('not_run not_owner');
  });
});
