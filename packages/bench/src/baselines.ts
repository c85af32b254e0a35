/** The entry hosts' policies under each baseline. */

import type {EntryConfig} from '@lacewingroad/core';
import type {Baseline} from './experiment.js';

/** Policies of the entry hosts. */
export type Policies = Pick<EntryConfig, 'queuePolicy' | 'routing'>;

/** Policies by baseline; `product` uses the defaults. */
export const POLICIES_BY_BASELINE: Readonly<Record<Baseline, Policies>> = {
  product: {},
  reads_to_primary: {routing: 'primary'},
  replicas_by_age: {routing: 'age'},
  first_come: {queuePolicy: 'fifo'},
  strict_priority: {queuePolicy: 'strict'},
  // Requests bypass the entry hosts; see equal_shares.ts.
  equal_shares: {},
};
