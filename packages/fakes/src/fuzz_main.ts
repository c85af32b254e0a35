#!/usr/bin/env node
/** Command line for longer fuzz runs; prints the timeline of a failure. */

import {defineCommand, runMain} from 'citty';
import {createSystemRuntime} from '@lacewingroad/runtime';
import {runFuzz} from './fuzz/fuzz.js';
import type {FuzzFailure} from './fuzz/fuzz.js';

const PROGRESS_RUNS = 50;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function printFailure(seed: number, failure: FuzzFailure): void {
  print(
    `FAILED seed=${seed} run=${failure.runs} path=${failure.path} keep=${failure.keep.join(',')}`,
  );
  print(failure.message);
  print('--- commands');
  failure.commands.forEach(print);
  print('--- timeline');
  failure.timeline.forEach(print);
}

const main = defineCommand({
  meta: {
    name: 'fuzz_main',
    description:
      'Fuzzes the decision library on a simulated site under virtual time.',
  },
  args: {
    seed: {
      type: 'string',
      default: '1',
      description: 'Random seed of all runs.',
    },
    runs: {type: 'string', default: '100', description: 'Number of runs.'},
    steps: {
      type: 'string',
      default: '200',
      description: 'Maximum number of commands in one run.',
    },
    path: {
      type: 'string',
      description: 'Repeats the failed run that printed this path.',
    },
    keep: {
      type: 'string',
      description: 'Indexes of its commands to keep, as printed.',
    },
  },
  run: ({args}) => {
    const runtime = createSystemRuntime();
    const seed = Number(args.seed);
    const startedAt = runtime.now();
    const seconds = (): string =>
      ((runtime.now() - startedAt) / 1_000).toFixed(0);
    const result = runFuzz({
      seed,
      runs: Number(args.runs),
      steps: Number(args.steps),
      ...(args.path === undefined ? {} : {path: args.path}),
      ...(args.keep === undefined
        ? {}
        : {keep: args.keep.split(',').map(Number)}),
      onRun: count => {
        if (count % PROGRESS_RUNS === 0) {
          print(`${count} runs in ${seconds()} s`);
        }
      },
    });
    if (result.failure !== null) {
      printFailure(seed, result.failure);
      process.exitCode = 1;
      return;
    }
    print(
      `passed seed=${seed}: ${result.runs} runs with ${result.commands} commands in ${seconds()} s`,
    );
  },
});

await runMain(main);
