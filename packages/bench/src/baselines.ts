/** What each baseline changes of the entry hosts' decisions. */

import type {EntryConfig} from '@lacewingroad/core';
import type {Baseline} from './experiment.js';

/** Policies of the entry hosts. */
export type Policies = Pick<EntryConfig, 'queuePolicy' | 'routing'>;

/** Policies by baseline; the product keeps the defaults. */
export const POLICIES_OF_BASELINE: Readonly<Record<Baseline, Policies>> = {
  product: {},
  reads_to_primary: {routing: 'primary'},
  replicas_by_age: {routing: 'age'},
  first_come: {queuePolicy: 'fifo'},
  strict_priority: {queuePolicy: 'strict'},
  // Its requests go past the entry hosts; see shared_conns.ts.
  equal_shares: {},
};
