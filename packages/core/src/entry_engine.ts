/** The engine of an entry host, with all features registered. */

import {Map as ImmutableMap} from 'immutable';
import {controlFeatures} from './control/feature.js';
import {createControlSlices} from './control/state.js';
import {SEED_VERSION} from './control/view.js';
import {createEngine} from './engine/engine.js';
import type {Engine} from './engine/engine.js';
import {answersFeature} from './entry/answers.js';
import {RETRY_TOKENS_MAX} from './entry/constants.js';
import {heldSessionsFeature} from './entry/held_sessions.js';
import {holdersFeature} from './entry/holders.js';
import type {RoutingName} from './entry/routing_policy.js';
import {createEntrySlices} from './entry/state.js';
import {statementsFeature} from './entry/statements.js';
import {lifecycleFeature} from './lifecycle/lifecycle.js';
import type {HostObject} from './model/host.js';
import type {DataCentreId, HostId, Instant} from './model/ids.js';
import {ownerFeature} from './owner/owner_feature.js';
import type {QueuePolicyName} from './owner/queue_policy.js';
import {createOwnerSlices} from './owner/state.js';

/** Configuration of an entry host. */
export interface EntryConfig {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Distinguishes this start of the process from all others. */
  readonly incarnation: string;
  readonly startedAt: Instant;
  /** Hosts to contact until the platform has been read. */
  readonly seeds?: readonly HostObject[];
  /** Queue policy of the pool owner; benchmarks select others to compare. */
  readonly queuePolicy?: QueuePolicyName;
  /** Routing policy for reads; benchmarks select others to compare. */
  readonly routing?: RoutingName;
}

/** Creates the engine of an entry host. */
export function createEntryEngine(cfg: EntryConfig): Engine {
  const control = createControlSlices();
  const seeds = ImmutableMap(
    (cfg.seeds ?? []).map(seed => [
      seed.id,
      {version: SEED_VERSION, revision: 0, value: seed},
    ]),
  );
  const engine = createEngine({
    self: {
      host: cfg.host,
      dataCentre: cfg.dataCentre,
      incarnation: cfg.incarnation,
      startedAt: cfg.startedAt,
      drainDeadline: null,
      drainNoticeUntil: null,
      isDrained: false,
    },
    ...control,
    view: {...control.view, hosts: seeds},
    ...createOwnerSlices(cfg.queuePolicy),
    ...createEntrySlices(RETRY_TOKENS_MAX, cfg.routing),
  });
  const features = [
    lifecycleFeature,
    ...controlFeatures,
    ownerFeature,
    heldSessionsFeature,
    holdersFeature,
    statementsFeature,
    answersFeature,
  ];
  features.forEach(feature => engine.registerFeature(feature));
  return engine;
}
