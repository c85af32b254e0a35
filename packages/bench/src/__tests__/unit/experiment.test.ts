/** Experiments are checked as a whole; files may override a base file. */

import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import type {ExperimentError} from '../../experiment.js';
import {parseExperiment, computeGroupCapacity} from '../../experiment.js';
import {loadExperiment, overlay} from '../../load_experiment.js';
import {BASE, createExperiment} from './base_experiment.js';

const FILES = fileURLToPath(
  new URL('../../../../../experiments/', import.meta.url),
);

function listProblems(value: unknown): readonly string[] {
  try {
    parseExperiment(value);
  } catch (err) {
    return (err as ExperimentError).faults;
  }
  return [];
}

describe('experiments', () => {
  it('give the capacity of a group', () => {
    expect(computeGroupCapacity(createExperiment().site)).toBe(600);
  });

  it('report all problems at once', () => {
    const problems = listProblems({
      ...BASE,
      seed: 'x',
      baselines: ['fastest'],
      unknown: 1,
    });
    expect(problems).toHaveLength(3);
    expect(problems.join('\n')).toMatch(
      /seed: .*\n.*baselines\.0: .*\n.*unknown/s,
    );
  });

  it('report every undefined name', () => {
    const problems = listProblems({
      ...BASE,
      tables: [{...BASE.tables[0], group: 'g2'}],
      load: [
        {...BASE.load[0], service: 'other'},
        {...BASE.load[0], kind: 'other'},
      ],
      faults: [
        {atS: 99, effect: 'kill_primary', target: 'g9'},
        {atS: 1, effect: 'kill_host', target: 'a-2'},
      ],
    });
    expect(problems.map(problem => problem.split(':')[0])).toEqual([
      'tables.0.group',
      'load.0.service',
      'load.1.kind',
      'faults.0.atS',
      'faults.0.target',
      'faults.1.target',
    ]);
  });

  it('overlay mappings and replace lists', () => {
    const base = {a: {b: 1, c: 2}, list: [1, 2]};
    expect(overlay(base, {a: {b: 3}, list: [4]})).toEqual({
      a: {b: 3, c: 2},
      list: [4],
    });
  });

  it('in the experiments folder are all valid', () => {
    const files = readdirSync(FILES, {recursive: true})
      .map(String)
      .filter(file => file.endsWith('.yaml'));
    expect(files).toContain('lima.yaml');
    const names = files.map(file => loadExperiment(`${FILES}${file}`).name);
    expect(new Set(names).size).toBe(files.length);
  });
});
