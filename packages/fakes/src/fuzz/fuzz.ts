/** Runs of the fuzz: many short histories, the failing one shrunk. */

import fc from 'fast-check';
import {FUZZ_COMMANDS} from './commands.js';
import type {FuzzCommand, NoModel} from './commands/command.js';
import {finishRun} from './finish.js';
import {createFuzzWorld} from './world.js';
import type {FuzzWorld} from './world.js';

/** Plays that shrinking a failed run may take. */
const MAX_SHRINK_PLAYS = 800;

/** What is to be run. */
export interface FuzzConfig {
  readonly seed: number;
  readonly runs: number;
  /** Commands of one run at most. */
  readonly steps: number;
  /** The one run to repeat, as a failed one printed it. */
  readonly path?: string;
  /** Which of its commands to keep; none given: all. */
  readonly keep?: readonly number[];
  /** Called after each run, with the count of runs so far. */
  readonly onRun?: (count: number) => void;
}

/** A run that failed, after shrinking. */
export interface FuzzFailure {
  /** Runs up to and with the first that failed. */
  readonly runs: number;
  readonly path: string;
  readonly keep: readonly number[];
  readonly worldSeed: number;
  readonly commands: readonly string[];
  readonly message: string;
  readonly timeline: readonly string[];
}

/** What came out. */
export interface FuzzResult {
  readonly runs: number;
  readonly commands: number;
  readonly failure: FuzzFailure | null;
}

/** How a run ended; `error` is null where everything held. */
interface Play {
  readonly world: FuzzWorld;
  readonly error: string | null;
}

/** Plays commands on a new world and checks all of it. */
export function playCommands(
  worldSeed: number,
  commands: Iterable<FuzzCommand>,
  withTimeline: boolean,
): Play {
  const world = createFuzzWorld({seed: worldSeed, withTimeline});
  try {
    fc.modelRun<NoModel, FuzzWorld, NoModel>(
      () => ({model: {}, real: world}),
      commands,
    );
    finishRun(world);
    return {world, error: null};
  } catch (err) {
    return {world, error: err instanceof Error ? err.message : String(err)};
  }
}

/** Leaves out ever smaller parts of a failing run while it still fails. */
function shrinkCommands(
  worldSeed: number,
  commands: readonly FuzzCommand[],
  first: readonly number[],
): readonly number[] {
  let kept = first;
  let plays = 0;
  let size = Math.ceil(kept.length / 2);
  while (size >= 1 && plays < MAX_SHRINK_PLAYS) {
    let hasShrunk = false;
    for (let from = 0; from < kept.length && plays < MAX_SHRINK_PLAYS;) {
      const fewer = [...kept.slice(0, from), ...kept.slice(from + size)];
      const list = fewer.map(at => commands[at]!);
      plays++;
      if (playCommands(worldSeed, list, false).error === null) {
        from += size;
        continue;
      }
      kept = fewer;
      hasShrunk = true;
    }
    if (size === 1 && !hasShrunk) {
      return kept;
    }
    size = Math.max(1, Math.floor(size / 2));
  }
  return kept;
}

/** Runs the fuzz; equal configurations give equal results. */
export function runFuzz(cfg: FuzzConfig): FuzzResult {
  let runs = 0;
  let commands = 0;
  const property = fc.property(
    fc.integer({min: 1, max: 0x7fffffff}),
    fc.array(fc.oneof(...FUZZ_COMMANDS), {maxLength: cfg.steps, size: 'max'}),
    (worldSeed, list) => {
      const kept = list.filter((_, at) => cfg.keep?.includes(at) ?? true);
      const {error} = playCommands(worldSeed, kept, false);
      runs++;
      commands += kept.length;
      cfg.onRun?.(runs);
      if (error !== null) {
        throw new Error(error);
      }
    },
  );
  const details = fc.check(property, {
    seed: cfg.seed,
    numRuns: cfg.path === undefined ? cfg.runs : 1,
    ...(cfg.path === undefined ? {} : {path: cfg.path}),
    endOnFailure: true,
  });
  if (!details.failed || details.counterexample === null) {
    return {runs, commands, failure: null};
  }
  const [worldSeed, list] = details.counterexample;
  const first = cfg.keep ?? list.map((_, at) => at);
  const keep = shrinkCommands(worldSeed, list, first);
  const shrunk = keep.map(at => list[at]!);
  const {world, error} = playCommands(worldSeed, shrunk, true);
  return {
    runs,
    commands,
    failure: {
      runs,
      path: details.counterexamplePath ?? '',
      keep,
      worldSeed,
      commands: shrunk.map(command => command.toString()),
      message: error ?? 'The shrunk run passed when it was played again.',
      timeline: world.timeline,
    },
  };
}
