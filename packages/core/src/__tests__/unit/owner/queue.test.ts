/** Queueing: order of jobs, limits, refusals and cancellation. */

import {describe, expect, it} from 'vitest';
import type {RunMessage} from '../../../model/message.js';
import {QUEUE_LIMIT_PER_RANK, WRITE_OVERRUN_MS} from '../../../owner/limits.js';
import type {OwnerHarness} from './owner_harness.js';
import {PEER, startHarness} from './owner_harness.js';

/** Answers up to `count` statements and returns their requests in order. */
function serve(harness: OwnerHarness, count: number): readonly string[] {
  const served: string[] = [];
  for (let index = 0; index < count; index++) {
    const job = harness.board.pools.byEndpoint
      .first()!
      .jobs.active.find(candidate => candidate.phase === 'running');
    if (job === undefined) {
      break;
    }
    served.push(job.msg.request);
    harness.ok();
  }
  return served;
}

function flood(
  harness: OwnerHarness,
  count: number,
  part: Partial<RunMessage>,
): readonly string[] {
  return Array.from({length: count}, () =>
    harness.run({timeoutLeftMs: 100_000, ...part}),
  );
}

describe('queue policies', () => {
  it('serves in rank order', () => {
    const harness = startHarness();
    const first = harness.run();
    const low = harness.run({rank: 'background'});
    const high = harness.run({rank: 'urgent'});
    expect(serve(harness, 3)).toEqual([first, high, low]);
  });

  it('keeps the floor of a lower rank on a single slot over time', () => {
    const harness = startHarness();
    flood(harness, 100, {rank: 'urgent'});
    const low = flood(harness, 50, {rank: 'background', floorPercent: 20});
    const served = serve(harness, 100);
    const share = served.filter(id => low.includes(id)).length;
    expect(share).toBeGreaterThanOrEqual(18);
    expect(share).toBeLessThanOrEqual(22);
  });

  it('leaves the highest rank a share when floors claim everything', () => {
    const harness = startHarness();
    const high = flood(harness, 100, {rank: 'urgent'});
    flood(harness, 100, {rank: 'standard', floorPercent: 60});
    flood(harness, 100, {rank: 'background', floorPercent: 60});
    const served = serve(harness, 100);
    const share = served.filter(id => high.includes(id)).length;
    expect(share).toBeGreaterThanOrEqual(18);
  });

  it('applies no floors in the strict policy and no ranks in the fifo policy', () => {
    const strict = startHarness(1, 'strict');
    flood(strict, 100, {rank: 'urgent'});
    const low = flood(strict, 50, {rank: 'background', floorPercent: 20});
    expect(serve(strict, 100).some(id => low.includes(id))).toBe(false);
    const fifo = startHarness(1, 'fifo');
    const order = [
      ...flood(fifo, 2, {rank: 'background'}),
      ...flood(fifo, 2, {rank: 'urgent'}),
    ];
    expect(serve(fifo, 4)).toEqual(order);
  });

  it('does not let a flood of one caller or kind starve its rank', () => {
    const harness = startHarness();
    flood(harness, 100, {rank: 'urgent', callerKey: 'greedy'});
    const regular = harness.run({rank: 'urgent', callerKey: 'regular'});
    const other = harness.run({rank: 'urgent', kind: 'other'});
    const served = serve(harness, 8);
    expect(served).toContain(regular);
    expect(served).toContain(other);
  });

  it('serves the earlier target first among callers served equally', () => {
    const harness = startHarness();
    harness.run();
    const late = harness.run({callerKey: 'a', targetLeftMs: 900});
    const early = harness.run({callerKey: 'b', targetLeftMs: 100});
    expect(serve(harness, 3).slice(1)).toEqual([early, late]);
  });

  it('serves a late job after those that can still meet their targets', () => {
    const harness = startHarness();
    const first = harness.run();
    const late = harness.run({callerKey: 'a', targetLeftMs: 1});
    const inTime = harness.run({callerKey: 'b', targetLeftMs: 500});
    expect(serve(harness, 3)).toEqual([first, inTime, late]);
  });

  it('puts statements of open transactions before new work of the rank', () => {
    const harness = startHarness();
    const {tx} = harness.begin();
    harness.run();
    const fresh = harness.run();
    const inTx = harness.run({mode: 'in_tx', tx});
    harness.ok();
    harness.ok({inTx: true});
    expect(harness.outcomeOf(inTx)).toBe('done');
    expect(harness.outcomeOf(fresh)).toBeUndefined();
  });
});

describe('limits', () => {
  it('never runs more statements at once than the endpoint has slots', () => {
    const harness = startHarness(2);
    flood(harness, 5, {});
    expect(harness.sentStatements()).toHaveLength(2);
  });

  it('limits the connections of a kind, running and pinned', () => {
    const harness = startHarness(3);
    harness.begin({connectionLimit: 2});
    const [running, waiting] = flood(harness, 2, {connectionLimit: 2});
    expect(harness.sentStatements().map(run => run.statement.sql)).toContain(
      `SELECT '${running}'`,
    );
    const other = harness.run({kind: 'other'});
    harness.ok();
    expect(harness.outcomeOf(other)).toBe('done');
    expect(harness.outcomeOf(waiting!)).toBeUndefined();
    expect(harness.sentStatements()).toHaveLength(3);
  });

  it('refuses a request at once if it cannot meet its timeout', () => {
    const harness = startHarness();
    flood(harness, 100, {});
    const id = harness.run({timeoutLeftMs: 50});
    expect(harness.outcomeOf(id)).toBe('not_run too_late');
  });

  it('does not count the flood of another caller against a regular one', () => {
    const harness = startHarness();
    flood(harness, 200, {callerKey: 'greedy'});
    const id = harness.run({timeoutLeftMs: 50});
    expect(harness.outcomeOf(id)).toBeUndefined();
  });

  it('answers too_late when the timeout passes in the queue', () => {
    const harness = startHarness();
    harness.run();
    const id = harness.run({timeoutLeftMs: 100});
    harness.advance(100);
    expect(harness.outcomeOf(id)).toBe('not_run too_late');
  });

  it('limits the queue of a rank and displaces the caller with the most jobs', () => {
    const harness = startHarness();
    const greedy = {rank: 'urgent', callerKey: 'greedy'} as const;
    const ids = flood(harness, QUEUE_LIMIT_PER_RANK + 2, greedy);
    expect(harness.outcomeOf(ids.at(-1)!)).toBe('not_run queue_full');
    const regular = harness.run({rank: 'urgent', callerKey: 'regular'});
    expect(harness.outcomeOf(regular)).toBeUndefined();
    expect(harness.outcomeOf(ids.at(-2)!)).toBe('not_run queue_full');
  });

  it('lets a job that can meet its target displace a late one of its rank', () => {
    const harness = startHarness();
    const queued = Array.from({length: QUEUE_LIMIT_PER_RANK + 1}, (_, at) =>
      harness.run({
        callerKey: `c${at}`,
        targetLeftMs: at === 7 ? 1 : 100_000,
        timeoutLeftMs: 200_000,
      }),
    );
    const fresh = {targetLeftMs: 100_000, timeoutLeftMs: 200_000};
    const taken = harness.run({callerKey: 'fresh', ...fresh});
    const refused = harness.run({callerKey: 'late', ...fresh, targetLeftMs: 1});
    expect(harness.outcomeOf(queued[7]!)).toBe('not_run queue_full');
    expect(harness.outcomeOf(taken)).toBeUndefined();
    expect(harness.outcomeOf(refused)).toBe('not_run queue_full');
  });

  it('lets urgent work displace the lowest rank from a full queue', () => {
    const harness = startHarness();
    harness.run({rank: 'urgent'});
    const low = flood(harness, QUEUE_LIMIT_PER_RANK, {rank: 'background'});
    flood(harness, QUEUE_LIMIT_PER_RANK, {rank: 'standard'});
    const id = harness.run({rank: 'urgent'});
    expect(harness.outcomeOf(id)).toBeUndefined();
    expect(harness.outcomeOf(low.at(-1)!)).toBe('not_run queue_full');
  });

  it('accepts work for a free slot even after very slow statements', () => {
    const harness = startHarness();
    for (let round = 0; round < 50; round += 1) {
      harness.run({timeoutLeftMs: 60_000});
      harness.advance(4_000);
      harness.rows([]);
      harness.refresh();
    }
    const id = harness.run({timeoutLeftMs: 1_000});
    expect(harness.outcomeOf(id)).toBeUndefined();
    harness.rows([]);
    expect(harness.outcomeOf(id)).toBe('done');
  });
});

describe('a cancelled request', () => {
  it('is dropped from the queue and answered not_run', () => {
    const harness = startHarness();
    harness.run();
    const queued = harness.write();
    harness.message(PEER, {type: 'cancel', request: queued});
    expect(harness.outcomeOf(queued)).toBe('not_run too_late');
    harness.ok();
    expect(harness.sentStatements()).toHaveLength(1);
  });

  it('is not answered not_run once it has run and waits for a replica', () => {
    const harness = startHarness();
    const acking = harness.write({ack: 'replica'});
    harness.ok({index: 201});
    harness.message(PEER, {type: 'cancel', request: acking});
    expect(harness.outcomeOf(acking)).toBeUndefined();
  });

  it('continues if it is running, so that its outcome is known', () => {
    const harness = startHarness();
    const running = harness.write();
    harness.message(PEER, {type: 'cancel', request: running});
    expect(harness.outcomeOf(running)).toBeUndefined();
    harness.ok({index: 201});
    expect(harness.outcomeOf(running)).toBe('done');
  });
});

/**
 * Overload of a slow endpoint: a job that starts just before its deadline would
 * be cut off while it runs, with an unknown outcome.
 */
describe('a request with too little time left after waiting in the queue', () => {
  const SLOW_MS = 200;

  /** Raises the pool's average service time to nearly SLOW_MS. */
  function raiseServiceTime(harness: OwnerHarness): void {
    for (let count = 0; count < 50; count++) {
      harness.run();
      harness.advance(SLOW_MS);
      harness.ok();
    }
    harness.refresh();
  }

  it.each(['a write', 'a read'])('is not started: %s', kind => {
    const harness = startHarness();
    raiseServiceTime(harness);
    const first = harness.run();
    const timeoutLeftMs = 3 * SLOW_MS;
    const late = harness.run({
      isWrite: kind === 'a write',
      term: 3,
      timeoutLeftMs,
    });
    const runs = harness.sentStatements().length;
    harness.advance(timeoutLeftMs - SLOW_MS / 2);
    harness.ok();
    expect(harness.outcomeOf(first)).toBe('done');
    expect(harness.outcomeOf(late)).toBe('not_run too_late');
    expect(harness.sentStatements()).toHaveLength(runs);
  });

  it('runs if it need not wait, so that the average service time can fall', () => {
    const harness = startHarness();
    raiseServiceTime(harness);
    const quick = harness.write({timeoutLeftMs: SLOW_MS / 2});
    harness.ok({index: 201});
    expect(harness.outcomeOf(quick)).toBe('done');
  });
});

describe('a write that runs past its deadline', () => {
  const timeoutLeftMs = 100;

  it('may finish shortly afterwards, so that its outcome is known', () => {
    const harness = startHarness();
    const write = harness.write({timeoutLeftMs});
    harness.advance(timeoutLeftMs + WRITE_OVERRUN_MS - 1);
    expect(harness.outcomeOf(write)).toBeUndefined();
    harness.ok({index: 201});
    expect(harness.outcomeOf(write)).toBe('done');
  });

  it('is given up after WRITE_OVERRUN_MS', () => {
    const harness = startHarness();
    const write = harness.write({timeoutLeftMs});
    harness.advance(timeoutLeftMs + WRITE_OVERRUN_MS);
    expect(harness.outcomeOf(write)).toBe('unknown timed_out');
  });
});
