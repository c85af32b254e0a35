/** Benchmarks of the policies under load and faults. */

export {ExperimentError, parseExperiment} from './experiment.js';
export type {Baseline, Experiment} from './experiment.js';
export {loadExperiment} from './load_experiment.js';
export {measureOverhead} from './overhead.js';
export type {OverheadFigures, OverheadOptions} from './overhead.js';
export {formatResult, runBench} from './run_bench.js';
export type {BenchOptions, BenchResult} from './run_bench.js';
export {runExperimentFile} from './run_experiment_file.js';
export type {RunFileResult, RunFileRequest} from './run_experiment_file.js';
