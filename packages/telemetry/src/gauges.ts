/** Gauges whose values are read at each scrape. */

import {Gauge} from 'prom-client';
import type {Registry} from 'prom-client';

/** One sample of a gauge. */
export interface GaugeSample {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** A gauge and the function that reads its samples. */
export interface GaugeDefinition {
  readonly name: string;
  readonly help: string;
  readonly labelNames: readonly string[];
  readonly read: () => readonly GaugeSample[];
}

/** Adds a gauge to a registry. */
export function registerGauge(
  registry: Registry,
  definition: GaugeDefinition,
): void {
  const {name, help, labelNames, read} = definition;
  const gauge: Gauge = new Gauge({
    name,
    help,
    labelNames: [...labelNames],
    registers: [registry],
    collect: () => {
      gauge.reset();
      read().forEach(({labels, value}) => gauge.set({...labels}, value));
    },
  });
}
