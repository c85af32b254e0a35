/** Metrics of the connections that pools hold to endpoints. */

import type {FieldValue} from '@lacewingroad/core';
import {Counter, Gauge} from 'prom-client';
import type {Registry} from 'prom-client';

type Label = (value: FieldValue | undefined) => string;
type EventCounter = (fields: Readonly<Record<string, FieldValue>>) => void;

/** Creates the counters of the events about connections of workspaces. */
export function createConnCounters(
  registry: Registry,
  createLabel: () => Label,
): Readonly<Record<string, EventCounter>> {
  const registers = [registry];
  const endpoint = createLabel();
  const reason = createLabel();
  const evictions = new Counter({
    name: 'lacewingroad_conns_evicted_total',
    help: 'Idle connections that were closed for others, by reason.',
    labelNames: ['endpoint', 'reason'],
    registers,
  });
  const refusals = new Counter({
    name: 'lacewingroad_conns_refused_total',
    help: 'Connections that an endpoint refused for being too many.',
    labelNames: ['endpoint'],
    registers,
  });
  const held = new Gauge({
    name: 'lacewingroad_conns_held',
    help: 'Connections that a pool with workspaces holds to an endpoint.',
    labelNames: ['endpoint'],
    registers,
  });
  return {
    conn_evicted: fields =>
      evictions.inc({
        endpoint: endpoint(fields['endpoint']),
        reason: reason(fields['reason']),
      }),
    conns_refused: fields =>
      refusals.inc({endpoint: endpoint(fields['endpoint'])}),
    conns_counted: fields =>
      held.set(
        {endpoint: endpoint(fields['endpoint'])},
        Number(fields['held'] ?? 0),
      ),
  };
}
