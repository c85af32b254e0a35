/** Who gets the next slot, and who is refused. */

import {describe, expect, it} from 'vitest';
import type {RunMessage} from '../../../model/message.js';
import {QUEUE_LIMIT_PER_RANK, WRITE_OVERRUN_MS} from '../../../owner/limits.js';
import type {Story} from './owner_story.js';
import {ASKER, startStory} from './owner_story.js';

/** Serves `count` statements and returns the requests in their order. */
function serve(story: Story, count: number): readonly string[] {
  const served: string[] = [];
  for (let index = 0; index < count; index++) {
    const job = story.board.pools.byEndpoint
      .first()!
      .jobs.active.find(candidate => candidate.phase === 'running');
    if (job === undefined) {
      break;
    }
    served.push(job.msg.request);
    story.ok();
  }
  return served;
}

function flood(
  story: Story,
  count: number,
  part: Partial<RunMessage>,
): readonly string[] {
  return Array.from({length: count}, () =>
    story.run({timeoutLeftMs: 100_000, ...part}),
  );
}

describe('queue policies', () => {
  it('serves in rank order', () => {
    const story = startStory();
    const first = story.run();
    const low = story.run({rank: 'background'});
    const high = story.run({rank: 'urgent'});
    expect(serve(story, 3)).toEqual([first, high, low]);
  });

  it('keeps the floor of a lower rank on a single slot over time', () => {
    const story = startStory();
    flood(story, 100, {rank: 'urgent'});
    const low = flood(story, 50, {rank: 'background', floorPercent: 20});
    const served = serve(story, 100);
    const share = served.filter(id => low.includes(id)).length;
    expect(share).toBeGreaterThanOrEqual(18);
    expect(share).toBeLessThanOrEqual(22);
  });

  it('leaves the highest rank a share when floors claim everything', () => {
    const story = startStory();
    const high = flood(story, 100, {rank: 'urgent'});
    flood(story, 100, {rank: 'standard', floorPercent: 60});
    flood(story, 100, {rank: 'background', floorPercent: 60});
    const served = serve(story, 100);
    const share = served.filter(id => high.includes(id)).length;
    expect(share).toBeGreaterThanOrEqual(18);
  });

  it('gives the strict policy no floors and the fifo policy no ranks', () => {
    const strict = startStory(1, 'strict');
    flood(strict, 100, {rank: 'urgent'});
    const low = flood(strict, 50, {rank: 'background', floorPercent: 20});
    expect(serve(strict, 100).some(id => low.includes(id))).toBe(false);
    const fifo = startStory(1, 'fifo');
    const order = [
      ...flood(fifo, 2, {rank: 'background'}),
      ...flood(fifo, 2, {rank: 'urgent'}),
    ];
    expect(serve(fifo, 4)).toEqual(order);
  });

  it('does not let a flood of one caller or kind starve its rank', () => {
    const story = startStory();
    flood(story, 100, {rank: 'urgent', callerKey: 'greedy'});
    const regular = story.run({rank: 'urgent', callerKey: 'regular'});
    const other = story.run({rank: 'urgent', kind: 'other'});
    const served = serve(story, 8);
    expect(served).toContain(regular);
    expect(served).toContain(other);
  });

  it('serves the earlier target first among callers served equally', () => {
    const story = startStory();
    story.run();
    const late = story.run({callerKey: 'a', targetLeftMs: 900});
    const early = story.run({callerKey: 'b', targetLeftMs: 100});
    expect(serve(story, 3).slice(1)).toEqual([early, late]);
  });

  it('serves a late job after those that can still be in time', () => {
    const story = startStory();
    const first = story.run();
    const late = story.run({callerKey: 'a', targetLeftMs: 1});
    const inTime = story.run({callerKey: 'b', targetLeftMs: 500});
    expect(serve(story, 3)).toEqual([first, inTime, late]);
  });

  it('puts statements of open transactions before new work of the rank', () => {
    const story = startStory();
    const {tx} = story.begin();
    story.run();
    const fresh = story.run();
    const inTx = story.run({mode: 'in_tx', tx});
    story.ok();
    story.ok({inTx: true});
    expect(story.ended(inTx)).toBe('done');
    expect(story.ended(fresh)).toBeUndefined();
  });
});

describe('limits', () => {
  it('never runs more statements at once than the endpoint has slots', () => {
    const story = startStory(2);
    flood(story, 5, {});
    expect(story.runs()).toHaveLength(2);
  });

  it('holds a kind to its connections, running and pinned', () => {
    const story = startStory(3);
    story.begin({connectionLimit: 2});
    const [running, waiting] = flood(story, 2, {connectionLimit: 2});
    expect(story.runs().map(run => run.statement.sql)).toContain(
      `SELECT '${running}'`,
    );
    const other = story.run({kind: 'other'});
    story.ok();
    expect(story.ended(other)).toBe('done');
    expect(story.ended(waiting!)).toBeUndefined();
    expect(story.runs()).toHaveLength(3);
  });

  it('refuses early what cannot make its timeout', () => {
    const story = startStory();
    flood(story, 100, {});
    const id = story.run({timeoutLeftMs: 50});
    expect(story.ended(id)).toBe('not_run too_late');
  });

  it('does not count the flood of another caller against a regular one', () => {
    const story = startStory();
    flood(story, 200, {callerKey: 'greedy'});
    const id = story.run({timeoutLeftMs: 50});
    expect(story.ended(id)).toBeUndefined();
  });

  it('answers too_late when the timeout passes in the queue', () => {
    const story = startStory();
    story.run();
    const id = story.run({timeoutLeftMs: 100});
    story.advance(100);
    expect(story.ended(id)).toBe('not_run too_late');
  });

  it('limits the queue of a rank; the heaviest caller gives way', () => {
    const story = startStory();
    const greedy = {rank: 'urgent', callerKey: 'greedy'} as const;
    const ids = flood(story, QUEUE_LIMIT_PER_RANK + 2, greedy);
    expect(story.ended(ids.at(-1)!)).toBe('not_run queue_full');
    const regular = story.run({rank: 'urgent', callerKey: 'regular'});
    expect(story.ended(regular)).toBeUndefined();
    expect(story.ended(ids.at(-2)!)).toBe('not_run queue_full');
  });

  it('lets work that can be in time displace a late job of its rank', () => {
    const story = startStory();
    const queued = Array.from({length: QUEUE_LIMIT_PER_RANK + 1}, (_, at) =>
      story.run({
        callerKey: `c${at}`,
        targetLeftMs: at === 7 ? 1 : 100_000,
        timeoutLeftMs: 200_000,
      }),
    );
    const fresh = {targetLeftMs: 100_000, timeoutLeftMs: 200_000};
    const taken = story.run({callerKey: 'fresh', ...fresh});
    const refused = story.run({callerKey: 'late', ...fresh, targetLeftMs: 1});
    expect(story.ended(queued[7]!)).toBe('not_run queue_full');
    expect(story.ended(taken)).toBeUndefined();
    expect(story.ended(refused)).toBe('not_run queue_full');
  });

  it('lets urgent work displace the lowest rank from a full queue', () => {
    const story = startStory();
    story.run({rank: 'urgent'});
    const low = flood(story, QUEUE_LIMIT_PER_RANK, {rank: 'background'});
    flood(story, QUEUE_LIMIT_PER_RANK, {rank: 'standard'});
    const id = story.run({rank: 'urgent'});
    expect(story.ended(id)).toBeUndefined();
    expect(story.ended(low.at(-1)!)).toBe('not_run queue_full');
  });

  it('takes work for a free slot however slow the work before was', () => {
    const story = startStory();
    for (let round = 0; round < 50; round += 1) {
      story.run({timeoutLeftMs: 60_000});
      story.advance(4_000);
      story.rows([]);
      story.refresh();
    }
    const id = story.run({timeoutLeftMs: 1_000});
    expect(story.ended(id)).toBeUndefined();
    story.rows([]);
    expect(story.ended(id)).toBe('done');
  });
});

describe('a request that nobody waits for any more', () => {
  it('is dropped from the queue, and its asker is told that it did not run', () => {
    const story = startStory();
    story.run();
    const queued = story.write();
    story.message(ASKER, {type: 'cancel', request: queued});
    expect(story.ended(queued)).toBe('not_run too_late');
    story.ok();
    expect(story.runs()).toHaveLength(1);
  });

  it('is never told as not run once it has run and waits for a replica', () => {
    const story = startStory();
    const acking = story.write({ack: 'replica'});
    story.ok({index: 201});
    story.message(ASKER, {type: 'cancel', request: acking});
    expect(story.ended(acking)).toBeUndefined();
  });

  it('goes on where it runs, so that its end is known', () => {
    const story = startStory();
    const running = story.write();
    story.message(ASKER, {type: 'cancel', request: running});
    expect(story.ended(running)).toBeUndefined();
    story.ok({index: 201});
    expect(story.ended(running)).toBe('done');
  });
});

/**
 * Load pattern: a flood at an endpoint that takes far longer than usual. What
 * has waited until just before its deadline would be cut off while it runs.
 */
describe('a request that waited until too little of its time is left', () => {
  const SLOW_MS = 200;

  /** Has the pool learn that a statement takes long. */
  function learnSlowness(story: Story): void {
    for (let count = 0; count < 50; count++) {
      story.run();
      story.advance(SLOW_MS);
      story.ok();
    }
    story.refresh();
  }

  it.each(['a write', 'a read'])('is not begun: %s', kind => {
    const story = startStory();
    learnSlowness(story);
    const first = story.run();
    const timeoutLeftMs = 3 * SLOW_MS;
    const late = story.run({
      isWrite: kind === 'a write',
      term: 3,
      timeoutLeftMs,
    });
    const runs = story.runs().length;
    story.advance(timeoutLeftMs - SLOW_MS / 2);
    story.ok();
    expect(story.ended(first)).toBe('done');
    expect(story.ended(late)).toBe('not_run too_late');
    expect(story.runs()).toHaveLength(runs);
  });

  it('runs where it need not wait, so that the pool learns of a faster endpoint', () => {
    const story = startStory();
    learnSlowness(story);
    const quick = story.write({timeoutLeftMs: SLOW_MS / 2});
    story.ok({index: 201});
    expect(story.ended(quick)).toBe('done');
  });
});

describe('a write that runs past its deadline', () => {
  const timeoutLeftMs = 100;

  it('is waited for a little, since its end is worth more than "unknown"', () => {
    const story = startStory();
    const write = story.write({timeoutLeftMs});
    story.advance(timeoutLeftMs + WRITE_OVERRUN_MS - 1);
    expect(story.ended(write)).toBeUndefined();
    story.ok({index: 201});
    expect(story.ended(write)).toBe('done');
  });

  it('is given up after that', () => {
    const story = startStory();
    const write = story.write({timeoutLeftMs});
    story.advance(timeoutLeftMs + WRITE_OVERRUN_MS);
    expect(story.ended(write)).toBe('unknown timed_out');
  });
});
