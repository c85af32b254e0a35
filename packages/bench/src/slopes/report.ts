/** Prints measured points, fits and tallies. */

import {fitLine, fitPower} from './fit.js';
import type {Point} from './fit.js';
import type {Tally} from './meter.js';

/** Writes one line of output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function round(value: number): string {
  return Number(value.toPrecision(4)).toString();
}

/** Prints points, the line fitted to them and the exponent of a power fit. */
export function printFit(
  name: string,
  unit: string,
  points: readonly Point[],
): void {
  const listed = points
    .map(({size, cost}) => `${size}: ${round(cost)}`)
    .join(', ');
  const {intercept, slope, r2} = fitLine(points);
  const canFitPower = points.every(({size, cost}) => size > 0 && cost > 0);
  const power = canFitPower ? `, power ${round(fitPower(points))}` : '';
  printLine(
    `${name} [${unit}] ${listed}; fit ${round(intercept)} + ${round(slope)} x size, r2 ${round(r2)}${power}`,
  );
}

/** A printed figure: its name, its unit and how to read it. */
export interface Column<T> {
  readonly name: string;
  readonly unit: string;
  readonly read: (cost: T) => number;
}

/** Prints the fit of each column against the size of each cost. */
export function printColumns<T>(
  costs: readonly T[],
  sizeOf: (cost: T) => number,
  columns: readonly Column<T>[],
): void {
  for (const {name, unit, read} of columns) {
    const points = costs.map(cost => ({size: sizeOf(cost), cost: read(cost)}));
    printFit(name, unit, points);
  }
}

/** Prints the first `limit` tallies as rates per second. */
export function printTallies(
  name: string,
  tallies: readonly (readonly [string, Tally])[],
  seconds: number,
  limit: number,
): void {
  for (const [type, {count, sum}] of tallies.slice(0, limit)) {
    const perSecond = round(count / seconds);
    printLine(
      `  ${name} ${type}: ${perSecond}/s x ${round(sum / count)} = ${round(sum / seconds)}/s`,
    );
  }
}
