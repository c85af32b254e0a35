/** The bounds of a queue stay valid when jobs are added and removed. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  NO_JOBS,
  dropJob,
  putJob,
  readBounds,
  tightenBounds,
} from '../../../owner/job_set.js';
import type {JobSet} from '../../../owner/job_set.js';
import type {Job} from '../../../owner/state.js';

const RANK = 'background';

function createJob(id: number, flow: number, targetAt: number): Job {
  const msg = {request: `r${id}`, rank: RANK, tx: null};
  return {
    msg,
    kindKey: RANK,
    flowKey: `f${flow}`,
    targetAt,
    phase: 'queued',
    dataDeadline: null,
  } as unknown as Job;
}

function computeBounds(set: JobSet) {
  const jobs = [...set.queued.values()];
  const flows = jobs.map(job => job.flowKey);
  const counts = flows.map(flow => flows.filter(f => f === flow).length);
  return {
    earliestTarget: Math.min(Infinity, ...jobs.map(job => job.targetAt)),
    heaviestFlow: Math.max(0, ...counts),
  };
}

const changes = fc.array(
  fc.record({
    id: fc.nat(9),
    flow: fc.nat(2),
    targetAt: fc.nat(100),
    isDrop: fc.boolean(),
  }),
);

describe('queue bounds', () => {
  it('hold after every change and are tight once tightened', () => {
    fc.assert(
      fc.property(changes, list => {
        let set = NO_JOBS;
        for (const {id, flow, targetAt, isDrop} of list) {
          set = isDrop
            ? dropJob(set, `r${id}`)
            : putJob(set, createJob(id, flow, targetAt));
          const bounds = readBounds(set, RANK);
          const actual = computeBounds(set);
          expect(bounds.earliestTarget).toBeLessThanOrEqual(
            actual.earliestTarget,
          );
          expect(bounds.heaviestFlow).toBeGreaterThanOrEqual(
            actual.heaviestFlow,
          );
        }
        const tight = tightenBounds(set, RANK);
        expect(readBounds(tight, RANK)).toEqual(computeBounds(tight));
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
