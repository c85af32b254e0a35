/** Runs many random command sequences and shrinks a failing one. */

import fc from 'fast-check';
import {FUZZ_COMMANDS} from './commands.js';
import type {FuzzCommand, NoModel} from './commands/command.js';
import {finishRun} from './finish.js';
import {createFuzzWorld} from './world.js';
import type {FuzzWorld} from './world.js';

/** Maximum number of runs used to shrink a failing one. */
const MAX_SHRINK_RUNS = 800;

/** Which runs to execute. */
export interface FuzzConfig {
  readonly seed: number;
  readonly runs: number;
  /** Maximum number of commands in one run. */
  readonly steps: number;
  /** The one run to repeat: the path printed for a failed run. */
  readonly path?: string;
  /** Indexes of its commands to keep; all if absent. */
  readonly keep?: readonly number[];
  /** Called after each run with the number of runs so far. */
  readonly onRun?: (count: number) => void;
}

/** A run that failed, after shrinking. */
export interface FuzzFailure {
  /** Number of runs up to and including the first failed one. */
  readonly runs: number;
  readonly path: string;
  readonly keep: readonly number[];
  readonly worldSeed: number;
  readonly commands: readonly string[];
  readonly message: string;
  readonly timeline: readonly string[];
}

/** Result of the runs. */
export interface FuzzResult {
  readonly runs: number;
  readonly commands: number;
  readonly failure: FuzzFailure | null;
}

/** Result of one run; `error` is null if no check failed. */
interface RunOutcome {
  readonly world: FuzzWorld;
  readonly error: string | null;
}

/** Runs commands on a new world, then the final checks. */
export function runCommands(
  worldSeed: number,
  commands: Iterable<FuzzCommand>,
  withTimeline: boolean,
): RunOutcome {
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

/** Removes ever smaller parts of a failing run as long as it still fails. */
function shrinkCommands(
  worldSeed: number,
  commands: readonly FuzzCommand[],
  initial: readonly number[],
): readonly number[] {
  let kept = initial;
  let runs = 0;
  let size = Math.ceil(kept.length / 2);
  while (size >= 1 && runs < MAX_SHRINK_RUNS) {
    let hasShrunk = false;
    for (let from = 0; from < kept.length && runs < MAX_SHRINK_RUNS;) {
      const candidate = [...kept.slice(0, from), ...kept.slice(from + size)];
      const list = candidate.map(index => commands[index]!);
      runs++;
      if (runCommands(worldSeed, list, false).error === null) {
        from += size;
        continue;
      }
      kept = candidate;
      hasShrunk = true;
    }
    if (size === 1 && !hasShrunk) {
      return kept;
    }
    size = Math.max(1, Math.floor(size / 2));
  }
  return kept;
}

/** Runs the fuzz test; equal configurations give equal results. */
export function runFuzz(cfg: FuzzConfig): FuzzResult {
  let runs = 0;
  let commands = 0;
  const property = fc.property(
    fc.integer({min: 1, max: 0x7fffffff}),
    fc.array(fc.oneof(...FUZZ_COMMANDS), {maxLength: cfg.steps, size: 'max'}),
    (worldSeed, list) => {
      const kept = list.filter((_, index) => cfg.keep?.includes(index) ?? true);
      const {error} = runCommands(worldSeed, kept, false);
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
  const initial = cfg.keep ?? list.map((_, index) => index);
  const keep = shrinkCommands(worldSeed, list, initial);
  const shrunk = keep.map(index => list[index]!);
  const {world, error} = runCommands(worldSeed, shrunk, true);
  return {
    runs,
    commands,
    failure: {
      runs,
      path: details.counterexamplePath ?? '',
      keep,
      worldSeed,
      commands: shrunk.map(command => command.toString()),
      message: error ?? 'The shrunk run passed when it was repeated.',
      timeline: world.timeline,
    },
  };
}
