/** Reads experiment files: YAML, with scenarios that change a base file. */

import {readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {parseDocument} from 'yaml';
import {ExperimentError, parseExperiment} from './experiment.js';
import type {Experiment} from './experiment.js';

type Mapping = Readonly<Record<string, unknown>>;

/** Base files that may follow one another. */
const MAX_BASES = 4;

function isMapping(value: unknown): value is Mapping {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Replaces values of a base; mappings are merged, lists are replaced. */
export function overlay(base: Mapping, change: Mapping): Mapping {
  const merged: Record<string, unknown> = {...base};
  for (const [key, value] of Object.entries(change)) {
    const old = merged[key];
    merged[key] =
      isMapping(old) && isMapping(value) ? overlay(old, value) : value;
  }
  return merged;
}

function readYaml(file: string): Mapping {
  const doc = parseDocument(readFileSync(file, 'utf8'));
  if (doc.errors.length > 0) {
    throw new ExperimentError(doc.errors.map(err => `${file}: ${err.message}`));
  }
  const value: unknown = doc.toJS();
  if (!isMapping(value)) {
    throw new ExperimentError([`${file}: must be a mapping`]);
  }
  return value;
}

function readMerged(file: string, depth: number): Mapping {
  const {base, ...own} = readYaml(file);
  if (base === undefined) {
    return own;
  }
  if (typeof base !== 'string' || depth >= MAX_BASES) {
    const message = `base: must be a file, at most ${MAX_BASES} deep`;
    throw new ExperimentError([`${file}: ${message}`]);
  }
  return overlay(readMerged(join(dirname(file), base), depth + 1), own);
}

/**
 * Reads and checks an experiment file. `base: FILE` starts from another file;
 * what the file itself states replaces the base's values.
 *
 * @throws ExperimentError with all faults; the error of a file not readable.
 */
export function loadExperiment(file: string): Experiment {
  return parseExperiment(readMerged(file, 0));
}
