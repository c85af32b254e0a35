/** Schema of an experiment: site, tables, load, faults and baselines. */

import {RANKS} from '@lacewingroad/core';
import {z} from 'zod';

/** Policy variants that can be compared; `product` is the product itself. */
const BASELINES = [
  'product',
  'reads_to_primary',
  'replicas_by_age',
  'first_come',
  'strict_priority',
  'equal_shares',
] as const;

/** A policy variant. */
export type Baseline = (typeof BASELINES)[number];

const id = z.string().regex(/^[a-z][a-z0-9_-]*$/, 'use a-z, 0-9, _ and -');
const ms = z.number().nonnegative();
const seconds = z.number().nonnegative();
const percent = z.number().min(0).max(100);
const count = z.number().int().positive();

const siteSchema = z.strictObject({
  dataCentres: z
    .array(z.strictObject({id, hosts: z.number().int().nonnegative()}))
    .min(1),
  /** One-way network delays. */
  delayMs: z.strictObject({
    between: ms,
    within: ms,
    callers: ms,
    platform: ms,
  }),
  groups: z.array(id).min(1),
  endpointsPerGroup: count,
  slots: count,
  connections: count,
  connectMs: ms,
  /** Time that an endpoint needs for one statement. */
  serviceMs: z.number().positive(),
  /** Replication lag. */
  lagMs: ms,
});

const rowSchema = z.strictObject({
  kind: z.string().min(1),
  rank: z.enum(RANKS),
  worth: z.number().nonnegative(),
  targetMs: z.number().positive(),
  timeoutMs: z.number().positive(),
  maxStalenessMs: ms.nullable(),
  connectionLimit: count,
  floorPercent: percent.default(0),
  mayRepeat: z.boolean().default(false),
  ack: z.enum(['primary', 'replica']).default('primary'),
});

const tableSchema = z.strictObject({
  service: id,
  group: id,
  rows: z.array(rowSchema).min(1),
});

/** One stream of arrivals. */
const loadSchema = z.strictObject({
  service: id,
  kind: z.string().min(1),
  /** Mean arrival rate, in percent of the capacity of one group's slots. */
  percentOfCapacity: z.number().positive(),
  readPercent: percent,
  /** `named`: sessions that may switch hosts; `own`: one per connection. */
  session: z.enum(['named', 'own']).default('named'),
  /** Percent of a named session's reads that follow one of its writes. */
  afterWritePercent: percent.default(0),
  fromS: seconds.default(0),
  untilS: seconds.optional(),
});

const faultSchema = z.strictObject({
  atS: seconds,
  /** When the fault ends; it lasts for good if omitted. */
  untilS: seconds.optional(),
  effect: z.enum([
    'kill_primary',
    'cut_primary',
    'freeze_primary',
    'change_primary',
    'platform_down',
    'kill_host',
    'cut_data_centre',
    'kill_host_of_primary',
    'silence_connections',
    'silence_links',
  ]),
  /** A group, host or data centre; empty for the platform. */
  target: z.string().default(''),
});

const experimentSchema = z
  .strictObject({
    name: id,
    seed: z.number().int(),
    warmUpS: seconds,
    durationS: z.number().positive(),
    repeats: count,
    baselines: z.array(z.enum(BASELINES)).min(1),
    sessions: z.strictObject({
      perService: count,
      /** Percent of arrivals whose session switches to a newly drawn host. */
      roamPercent: percent,
    }),
    site: siteSchema,
    tables: z.array(tableSchema).min(1),
    load: z.array(loadSchema).min(1),
    faults: z.array(faultSchema).default([]),
  })
  .check(ctx => {
    for (const issue of findCrossFieldIssues(ctx.value)) {
      ctx.issues.push({code: 'custom', input: ctx.value, ...issue});
    }
  });

/** A valid experiment. */
export type Experiment = z.infer<typeof experimentSchema>;
/** The site of an experiment. */
export type SiteSpec = Experiment['site'];
/** One stream of arrivals. */
export type LoadSpec = Experiment['load'][number];
/** One fault to inject. */
export type FaultSpec = Experiment['faults'][number];

interface CrossFieldIssue {
  readonly path: (string | number)[];
  readonly message: string;
}

/** Finds undefined names and values that conflict with other fields. */
function findCrossFieldIssues(value: {
  readonly durationS: number;
  readonly site: SiteSpec;
  readonly tables: Experiment['tables'];
  readonly load: readonly LoadSpec[];
  readonly faults: readonly FaultSpec[];
}): readonly CrossFieldIssue[] {
  const {site, tables, load, faults} = value;
  const issues: CrossFieldIssue[] = [];
  const add = (path: (string | number)[], message: string): void => {
    issues.push({path, message});
  };
  if (site.endpointsPerGroup > site.dataCentres.length) {
    const message = 'must not exceed the number of data centres';
    add(['site', 'endpointsPerGroup'], message);
  }
  tables.forEach((table, index) => {
    if (!site.groups.includes(table.group)) {
      add(['tables', index, 'group'], `no group '${table.group}' in the site`);
    }
  });
  load.forEach((stream, index) => {
    const table = tables.find(({service}) => service === stream.service);
    if (table === undefined) {
      add(
        ['load', index, 'service'],
        `no table for service '${stream.service}'`,
      );
      return;
    }
    if (!table.rows.some(({kind}) => kind === stream.kind)) {
      add(['load', index, 'kind'], `no row '${stream.kind}' in the table`);
    }
  });
  faults.forEach((fault, index) => {
    if (fault.atS > value.durationS) {
      add(['faults', index, 'atS'], 'must lie within the duration');
    }
    const targets = listTargets(site, fault.effect);
    if (targets !== null && !targets.includes(fault.target)) {
      add(['faults', index, 'target'], `must be one of ${targets.join(', ')}`);
    }
  });
  return issues;
}

/** Lists the valid targets of an effect, or null if it needs none. */
function listTargets(
  site: SiteSpec,
  effect: FaultSpec['effect'],
): readonly string[] | null {
  if (effect === 'platform_down') {
    return null;
  }
  if (effect === 'kill_host') {
    return site.dataCentres.flatMap(listHostIds);
  }
  if (effect === 'cut_data_centre' || effect === 'silence_links') {
    return site.dataCentres.map(centre => centre.id);
  }
  return site.groups;
}

/** Returns the ids of a data centre's entry hosts. */
export function listHostIds(
  dataCentre: SiteSpec['dataCentres'][number],
): readonly string[] {
  return Array.from(
    {length: dataCentre.hosts},
    (_, index) => `${dataCentre.id}-${index + 1}`,
  );
}

/** Returns the statements per second that the slots of one group can run. */
export function computeGroupCapacity(site: SiteSpec): number {
  return (site.endpointsPerGroup * site.slots * 1_000) / site.serviceMs;
}

/** Thrown for an invalid experiment; `faults` lists every problem found. */
export class ExperimentError extends Error {
  constructor(readonly faults: readonly string[]) {
    super(
      `The experiment is invalid. Correct all of the following:\n${faults.map(fault => `  ${fault}`).join('\n')}`,
    );
  }
}

/**
 * Parses and checks an experiment.
 *
 * @throws ExperimentError with all problems at once.
 */
export function parseExperiment(value: unknown): Experiment {
  const parsed = experimentSchema.safeParse(value);
  if (parsed.success) {
    return parsed.data;
  }
  throw new ExperimentError(
    parsed.error.issues.map(
      issue => `${issue.path.join('.') || '(top)'}: ${issue.message}`,
    ),
  );
}
