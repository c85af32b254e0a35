/**
 * Open-loop arrivals: fixed before the run from the seed alone, so that a slow
 * system cannot hold them back, and the same for every baseline.
 */

import {createVirtualRuntime} from '@lacewingroad/runtime';
import {readGroupCapacity} from './experiment.js';
import type {Experiment, LoadSpec} from './experiment.js';

/** One request that is going to arrive. */
export interface Arrival {
  /** Unique within the run, in order of arrival. */
  readonly id: number;
  /** Intended instant, in milliseconds from the beginning of the run. */
  readonly at: number;
  readonly service: string;
  readonly kind: string;
  readonly isWrite: boolean;
  /** Whether it belongs to a named session, not just to its connection. */
  readonly isNamedSession: boolean;
  /** Number of the named session within its service. */
  readonly session: number;
  /** Whether the session comes through another host than last time. */
  readonly roams: boolean;
}

const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const STREAM_SEED_STEP = 7_919;

type Draw = () => number;

/** Draws the time to the next arrival of a stream, in milliseconds. */
function drawGapMs(perSecond: number, random: Draw): number {
  return (-Math.log(1 - random()) * MS_PER_SECOND) / perSecond;
}

function drawStream(
  exp: Experiment,
  stream: LoadSpec,
  random: Draw,
): readonly Arrival[] {
  const perSecond =
    (readGroupCapacity(exp.site) * stream.percentOfCapacity) / PERCENT;
  const offsetMs = exp.warmUpS * MS_PER_SECOND;
  const isFromStart = stream.fromS === 0;
  const endMs = offsetMs + (stream.untilS ?? exp.durationS) * MS_PER_SECOND;
  let at = isFromStart ? 0 : offsetMs + stream.fromS * MS_PER_SECOND;
  const arrivals: Arrival[] = [];
  let lastWriter = 0;
  for (;;) {
    at += drawGapMs(perSecond, random);
    if (at >= endMs) {
      return arrivals;
    }
    const isWrite = random() * PERCENT >= stream.readPercent;
    const drawn = Math.floor(random() * exp.sessions.perService);
    const isAfterWrite =
      !isWrite && random() * PERCENT < stream.afterWritePercent;
    const session = isAfterWrite ? lastWriter : drawn;
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

/** Draws all arrivals of one repeat, in order of time. */
export function drawArrivals(
  exp: Experiment,
  seed: number,
): readonly Arrival[] {
  const streams = exp.load.map((stream, at) => {
    const runtime = createVirtualRuntime(seed + at * STREAM_SEED_STEP);
    return drawStream(exp, stream, runtime.random);
  });
  return streams
    .flat()
    .sort((a, b) => a.at - b.at)
    .map((arrival, at) => ({...arrival, id: at + 1}));
}
