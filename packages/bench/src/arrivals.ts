/**
 * Generates open-loop arrivals. They depend on the seed alone and are fixed
 * before the run, so a slow system cannot delay them and every baseline gets
 * the same ones.
 */

import {createVirtualRuntime} from '@lacewingroad/runtime';
import {computeGroupCapacity} from './experiment.js';
import type {Experiment, LoadSpec} from './experiment.js';

/** One scheduled request. */
export interface Arrival {
  /** Unique within the run, ascending in order of arrival. */
  readonly id: number;
  /** Intended arrival time, in milliseconds from the start of the run. */
  readonly at: number;
  readonly service: string;
  readonly kind: string;
  readonly isWrite: boolean;
  /** Whether it belongs to a named session, not to that of a connection. */
  readonly isNamedSession: boolean;
  /** Number of the named session within its service. */
  readonly session: number;
  /** Whether the session switches to a newly drawn host. */
  readonly roams: boolean;
}

const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const STREAM_SEED_STEP = 7_919;

type RandomSource = () => number;

/** Draws the time to the next arrival of a stream, in milliseconds. */
function drawInterarrivalMs(perSecond: number, random: RandomSource): number {
  return (-Math.log(1 - random()) * MS_PER_SECOND) / perSecond;
}

function drawStream(
  exp: Experiment,
  stream: LoadSpec,
  random: RandomSource,
): readonly Arrival[] {
  const perSecond =
    (computeGroupCapacity(exp.site) * stream.percentOfCapacity) / PERCENT;
  const offsetMs = exp.warmUpS * MS_PER_SECOND;
  const isFromStart = stream.fromS === 0;
  const endMs = offsetMs + (stream.untilS ?? exp.durationS) * MS_PER_SECOND;
  let at = isFromStart ? 0 : offsetMs + stream.fromS * MS_PER_SECOND;
  const arrivals: Arrival[] = [];
  let lastWriter = 0;
  for (;;) {
    at += drawInterarrivalMs(perSecond, random);
    if (at >= endMs) {
      return arrivals;
    }
    const isWrite = random() * PERCENT >= stream.readPercent;
    const randomSession = Math.floor(random() * exp.sessions.perService);
    const isAfterWrite =
      !isWrite && random() * PERCENT < stream.afterWritePercent;
    const session = isAfterWrite ? lastWriter : randomSession;
    const roams = random() * PERCENT < exp.sessions.roamPercent;
    lastWriter = isWrite ? session : lastWriter;
    const {service, kind} = stream;
    const isNamedSession = stream.session === 'named';
    arrivals.push({
      id: 0,
      at,
      service,
      kind,
      isWrite,
      isNamedSession,
      session,
      roams,
    });
  }
}

/** Draws all arrivals of one repeat, in order of arrival. */
export function drawArrivals(
  exp: Experiment,
  seed: number,
): readonly Arrival[] {
  const streams = exp.load.map((stream, index) => {
    const runtime = createVirtualRuntime(seed + index * STREAM_SEED_STEP);
    return drawStream(exp, stream, runtime.random);
  });
  return streams
    .flat()
    .sort((a, b) => a.at - b.at)
    .map((arrival, index) => ({...arrival, id: index + 1}));
}
