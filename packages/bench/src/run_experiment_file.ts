/** Runs an experiment file for the command line. */

import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {loadExperiment} from './load_experiment.js';
import {measureOverhead} from './overhead.js';
import type {OverheadFigures} from './overhead.js';
import {formatNumber, formatResult, runBench} from './run_bench.js';

/** The file to run, and the directory of the reports. */
export interface RunFileRequest {
  readonly file: string;
  readonly out: string;
  readonly withOverhead: boolean;
}

/** The results as text and as data. */
export interface RunFileResult {
  readonly lines: readonly string[];
  readonly data: unknown;
}

const OVERHEAD_OPTIONS = {
  statements: 5_000,
  connections: 32,
  saturationMs: 5_000,
} as const;

function formatOverhead(figures: OverheadFigures): readonly string[] {
  return [
    'one hop (real processes on loopback)',
    ...figures.goals.map(
      ({name, measured, bound, isMet}) =>
        `  ${name} ${formatNumber(measured)}, goal <= ${bound} ms, ${isMet ? 'met' : 'missed'}`,
    ),
    `  ${formatNumber(figures.statementsPerCoreSecond)} statements per second of one core`,
  ];
}

/**
 * Runs an experiment file and writes the reports.
 *
 * @throws ExperimentError when the file is not valid.
 */
export async function runExperimentFile(
  request: RunFileRequest,
  onProgress: (text: string) => void,
): Promise<RunFileResult> {
  const exp = loadExperiment(request.file);
  const result = runBench(exp, {directory: request.out, onProgress});
  if (!request.withOverhead) {
    return {lines: formatResult(result), data: result};
  }
  const overhead = await measureOverhead({...OVERHEAD_OPTIONS, onProgress});
  mkdirSync(request.out, {recursive: true});
  const file = join(request.out, `${exp.name}_overhead.json`);
  writeFileSync(file, JSON.stringify(overhead));
  return {
    lines: [...formatResult(result), ...formatOverhead(overhead)],
    data: {...result, overhead},
  };
}
