/** Loads experiment files: YAML that may override values of a base file. */

import {readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {parseDocument} from 'yaml';
import {ExperimentError, parseExperiment} from './experiment.js';
import type {Experiment} from './experiment.js';

type Mapping = Readonly<Record<string, unknown>>;

/** Greatest length of a chain of base files. */
const MAX_BASE_DEPTH = 4;

function isMapping(value: unknown): value is Mapping {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Overrides values of a base; mappings are merged, lists are replaced. */
export function overlay(base: Mapping, overrides: Mapping): Mapping {
  const merged: Record<string, unknown> = {...base};
  for (const [key, value] of Object.entries(overrides)) {
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
  if (typeof base !== 'string' || depth >= MAX_BASE_DEPTH) {
    const message = `base: must name a file, in a chain of at most ${MAX_BASE_DEPTH}`;
    throw new ExperimentError([`${file}: ${message}`]);
  }
  return overlay(readMerged(join(dirname(file), base), depth + 1), own);
}

/**
 * Loads and checks an experiment file. With `base: FILE` it starts from the
 * values of another file, and its own values override them.
 *
 * @throws ExperimentError with all problems, or the error of reading the file.
 */
export function loadExperiment(file: string): Experiment {
  return parseExperiment(readMerged(file, 0));
}
