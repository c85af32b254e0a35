/** What a pool knows of its load, for scheduling and admission control. */

import type {Instant} from '@lacewingroad/runtime';
import {createArrivalRates} from '../decisions/arrival_rates.js';
import type {ArrivalRates} from '../decisions/arrival_rates.js';
import {createSlotUse} from '../decisions/slot_use.js';
import type {SlotUse} from '../decisions/slot_use.js';
import {createKindTimes} from './kind_times.js';
import type {KindTimes} from './kind_times.js';
import {INITIAL_SERVICE_MS} from './limits.js';

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
  readonly times: KindTimes;
  /** By rank and reason. */
  readonly refusals: Map<string, RefusalCount>;
  /** When the last line about refusals was written. */
  refusalsLoggedAt: Instant;
}

/** Creates the load of a pool without work. */
export function createOverloadState(
  now: Instant,
  listEndpoints: () => readonly {
    readonly serviceMs: number;
    readonly downSince: Instant | null;
  }[],
): OverloadState {
  /** The mean of all kinds, until enough of one kind were measured. */
  const readMeanMs = (): number => {
    const up = listEndpoints().filter(({downSince}) => downSince === null);
    const sumMs = up.reduce((sum, {serviceMs}) => sum + serviceMs, 0);
    return up.length === 0 ? INITIAL_SERVICE_MS : sumMs / up.length;
  };
  return {
    rates: createArrivalRates(),
    use: createSlotUse(now),
    times: createKindTimes(readMeanMs),
    refusals: new Map(),
    refusalsLoggedAt: -Infinity,
  };
}
