/** What a pool knows of its load, for scheduling and admission control. */

import type {Instant} from '@lacewingroad/runtime';
import {createArrivalRates} from '../decisions/arrival_rates.js';
import type {ArrivalRates} from '../decisions/arrival_rates.js';
import {createSlotUse} from '../decisions/slot_use.js';
import type {SlotUse} from '../decisions/slot_use.js';

/** Refusals of one rank and reason since the last line about them. */
export interface RefusalCount {
  readonly rank: number;
  readonly reason: string;
  count: number;
  /** The longest expected wait that decided one of them, in ms. */
  maxWaitMs: number;
}

/** The load of a pool. */
export interface OverloadState {
  readonly rates: ArrivalRates;
  readonly use: SlotUse;
  /** By rank and reason. */
  readonly refusals: Map<string, RefusalCount>;
  /** When the last line about refusals was written. */
  refusalsLoggedAt: Instant;
}

/** Creates the load of a pool without work. */
export function createOverloadState(now: Instant): OverloadState {
  return {
    rates: createArrivalRates(),
    use: createSlotUse(now),
    refusals: new Map(),
    refusalsLoggedAt: -Infinity,
  };
}
