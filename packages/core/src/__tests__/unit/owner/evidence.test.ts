/** Which requests a pool owner may run, and which results it acknowledges. */

import {describe, expect, it} from 'vitest';
import {PEER, PRIMARY, REPLICA, startHarness} from './owner_harness.js';

describe('write evidence', () => {
  it('acknowledges a write with fresh evidence and its position', () => {
    const harness = startHarness();
    const id = harness.write();
    harness.ok({index: 201});
    expect(harness.outcomes(id)[0]).toMatchObject({
      type: 'done',
      position: {term: 3, index: 201},
    });
  });

  it('does not send a write without evidence', () => {
    const harness = startHarness();
    harness.advance(60_000);
    const id = harness.write();
    expect(harness.outcomeOf(id)).toBe('not_run no_evidence');
    expect(harness.sentStatements()).toHaveLength(0);
  });

  it('answers unknown when the evidence expires between send and answer', () => {
    const harness = startHarness();
    const id = harness.write({timeoutLeftMs: 90_000});
    harness.now += 60_000;
    harness.ok({index: 201});
    expect(harness.outcomeOf(id)).toBe('unknown evidence_expired');
  });

  it('answers unknown when the primary was replaced meanwhile', () => {
    const harness = startHarness();
    const id = harness.write();
    harness.changeGroup({term: 4, primary: REPLICA});
    harness.ok({index: 201});
    expect(harness.outcomeOf(id)).toBe('unknown replaced_primary');
  });

  it('refuses queued writes and acknowledges none once writes are stopped', () => {
    const harness = startHarness();
    const running = harness.write();
    const queued = harness.write();
    harness.feed({type: 'writes_stopped', group: 'g', term: 3});
    expect(harness.outcomeOf(queued)).toBe('not_run fenced');
    harness.ok({index: 201});
    expect(harness.outcomeOf(running)).toBe('unknown evidence_expired');
    expect(harness.outcomeOf(harness.write())).toBe('not_run fenced');
  });

  it('refuses a write of another term and a write at a replica', () => {
    const harness = startHarness();
    harness.own(REPLICA);
    expect(harness.outcomeOf(harness.write({term: 2}))).toBe(
      'not_run not_primary',
    );
    const atReplica = harness.write({endpoint: REPLICA});
    expect(harness.outcomeOf(atReplica)).toBe('not_run not_primary');
  });

  it('answers not_run to a write that fails with error 1290', () => {
    const harness = startHarness();
    const id = harness.write();
    harness.error(1290);
    expect(harness.outcomeOf(id)).toBe('not_run not_primary');
  });

  it('ignores an answer to an earlier step and to a closed connection', () => {
    const harness = startHarness();
    const first = harness.run();
    const late = harness.lastStatement();
    harness.ok();
    const second = harness.run();
    harness.ok({}, late);
    expect(harness.outcomeOf(first)).toBe('done');
    expect(harness.outcomeOf(second)).toBeUndefined();
    const lost = harness.lastStatement();
    harness.loseConn();
    harness.ok({}, lost);
    expect(harness.outcomeOf(second)).toBe('unknown connection_lost');
  });
});

describe('reads with a position', () => {
  const wanted = {term: 3, index: 160};

  it('waits a short time for a replica, then refuses the read', () => {
    const harness = startHarness();
    harness.own(REPLICA);
    const id = harness.run({endpoint: REPLICA, minPosition: wanted});
    harness.advance(40);
    expect(harness.outcomeOf(id)).toBeUndefined();
    harness.advance(40);
    expect(harness.outcomeOf(id)).toBe('not_run not_reached');
    expect(harness.sentStatements()).toHaveLength(0);
  });

  it('runs the read once the replica has reached the position', () => {
    const harness = startHarness();
    harness.own(REPLICA);
    const id = harness.run({endpoint: REPLICA, minPosition: wanted});
    harness.observe(REPLICA, 160);
    harness.ok();
    expect(harness.outcomeOf(id)).toBe('done');
  });

  it('runs a read for any position of the current term at the primary', () => {
    const harness = startHarness();
    const id = harness.run({minPosition: {term: 3, index: 9_999}});
    harness.ok();
    expect(harness.outcomeOf(id)).toBe('done');
  });

  it('refuses a read if the data is older than it accepts', () => {
    const harness = startHarness();
    harness.own(REPLICA);
    harness.now = 500;
    const id = harness.run({
      endpoint: REPLICA,
      maxStalenessMs: 400,
      targetLeftMs: 0,
    });
    expect(harness.outcomeOf(id)).toBe('not_run not_reached');
  });
});

describe('acknowledgement by a replica', () => {
  it('answers once another owner confirms the position', () => {
    const harness = startHarness();
    const id = harness.write({ack: 'replica'});
    harness.ok({index: 201});
    expect(harness.outcomeOf(id)).toBeUndefined();
    const {msg} = harness.sent('await_position')[0]!;
    expect(msg).toMatchObject({endpoint: REPLICA, position: {index: 201}});
    harness.message(PEER, {type: 'position', ask: msg.ask, reached: true});
    expect(harness.outcomeOf(id)).toBe('done');
  });

  it('answers unknown when no replica confirms in time', () => {
    const harness = startHarness();
    const id = harness.write({ack: 'replica', timeoutLeftMs: 100});
    harness.ok({index: 201});
    const {ask} = harness.sent('await_position')[0]!.msg;
    harness.message(PEER, {type: 'position', ask, reached: false});
    harness.advance(100);
    expect(harness.outcomeOf(id)).toBe('unknown replica_not_reached');
  });

  it('does not acknowledge if the evidence expired before the confirmation', () => {
    const harness = startHarness();
    const id = harness.write({ack: 'replica'});
    harness.ok({index: 201});
    harness.feed({type: 'writes_stopped', group: 'g', term: 3});
    const {ask} = harness.sent('await_position')[0]!.msg;
    harness.message(PEER, {type: 'position', ask, reached: true});
    expect(harness.outcomeOf(id)).toBe('unknown evidence_expired');
  });

  it('reports to other hosts whether its replica has reached a position', () => {
    const harness = startHarness();
    harness.own(REPLICA);
    const sendQuery = (index: number, query: number): void => {
      harness.message(PEER, {
        type: 'await_position',
        ask: query,
        endpoint: REPLICA,
        position: {term: 3, index},
        timeoutLeftMs: 100,
      });
    };
    sendQuery(160, 1);
    sendQuery(170, 2);
    harness.observe(REPLICA, 165);
    harness.advance(200);
    const answers = harness
      .sent('position')
      .map(({msg}) => [msg.ask, msg.reached]);
    expect(answers).toEqual([
      [1, true],
      [2, false],
    ]);
  });
});

describe('endpoints and hosts that leave', () => {
  it('gives a leaving endpoint no new work and lets running work finish', () => {
    const harness = startHarness();
    const running = harness.run();
    const queued = harness.run();
    const endpoints = harness.board.view.groups
      .get('g')!
      .value.endpoints.map(item => ({...item, leaving: true}));
    harness.changeGroup({endpoints});
    expect(harness.outcomeOf(queued)).toBe('not_run endpoint_leaving');
    expect(harness.outcomeOf(harness.run())).toBe('not_run endpoint_leaving');
    harness.ok();
    expect(harness.outcomeOf(running)).toBe('done');
  });

  it('takes only work of open transactions while draining', () => {
    const harness = startHarness();
    const {tx} = harness.begin();
    harness.feed({type: 'drain', deadline: 10_000});
    expect(harness.outcomeOf(harness.run())).toBe('not_run draining');
    const commit = harness.run({mode: 'commit', tx, term: 3});
    harness.ok();
    expect(harness.outcomeOf(commit)).toBe('done');
  });

  it('finishes running jobs after losing ownership, then closes the pool', () => {
    const harness = startHarness();
    const running = harness.run();
    const queued = harness.run();
    harness.feed({
      type: 'ownership_changed',
      endpoint: PRIMARY,
      isOwner: false,
    });
    expect(harness.outcomeOf(queued)).toBe('not_run not_owner');
    harness.ok();
    expect(harness.outcomeOf(running)).toBe('done');
    expect(harness.board.pools.byEndpoint.size).toBe(0);
    expect(harness.outcomeOf(harness.run())).toBe('not_run not_owner');
  });
});
