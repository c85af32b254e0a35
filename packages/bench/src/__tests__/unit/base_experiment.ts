/** A small experiment for tests. */

import {parseExperiment} from '../../experiment.js';
import type {Experiment} from '../../experiment.js';

/** The experiment before parsing; tests replace parts of it. */
export const BASE = {
  name: 'small',
  seed: 3,
  warmUpS: 4,
  durationS: 3,
  repeats: 1,
  baselines: ['product'],
  sessions: {perService: 10, roamPercent: 20},
  site: {
    dataCentres: [
      {id: 'a', hosts: 1},
      {id: 'b', hosts: 1},
      {id: 'c', hosts: 1},
    ],
    delayMs: {between: 1, within: 0.1, callers: 1, platform: 2},
    groups: ['g1'],
    endpointsPerGroup: 3,
    slots: 2,
    connections: 20,
    connectMs: 10,
    serviceMs: 10,
    lagMs: 20,
  },
  tables: [
    {
      service: 'shop',
      group: 'g1',
      rows: [
        {
          kind: 'pay',
          rank: 'urgent',
          worth: 10,
          targetMs: 100,
          timeoutMs: 2_000,
          maxStalenessMs: null,
          connectionLimit: 10,
        },
      ],
    },
  ],
  load: [
    {
      service: 'shop',
      kind: 'pay',
      percentOfCapacity: 20,
      readPercent: 50,
      afterWritePercent: 50,
    },
  ],
};

/** Returns the experiment with some of its parts replaced. */
export function createExperiment(
  parts: Readonly<Record<string, unknown>> = {},
): Experiment {
  return parseExperiment({...BASE, ...parts});
}
