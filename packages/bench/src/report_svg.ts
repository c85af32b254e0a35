/** Plots runs as SVG and formats the HTML report. */

import {RANKS} from '@lacewingroad/core';
import * as echarts from 'echarts';
import type {Interval} from './samples.js';

const WIDTH = 760;
const HEIGHT = 260;
const MS_PER_SECOND = 1_000;
const COLORS = ['#b2182b', '#2166ac', '#878787', '#1a9850'] as const;

/** One line of a plot. */
interface Line {
  readonly name: string;
  /** Pairs of time in seconds and value. */
  readonly points: readonly (readonly [number, number])[];
}

/** A plot over the time of a run. */
export interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly lines: readonly Line[];
  /** Start and end times of faults, in seconds. */
  readonly marks: readonly number[];
}

/** Renders a plot as SVG without a browser. */
export function drawPlot(plot: Plot): string {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  const markLine = {
    symbol: 'none',
    silent: true,
    label: {show: false},
    lineStyle: {color: '#000', type: 'dotted' as const},
    data: plot.marks.map(at => ({xAxis: at})),
  };
  chart.setOption({
    animation: false,
    color: [...COLORS],
    title: {text: plot.title, textStyle: {fontSize: 14}},
    legend: {top: 24},
    grid: {left: 64, right: 24, top: 56, bottom: 40},
    xAxis: {
      type: 'value',
      name: 'time of the run, s',
      nameLocation: 'middle',
      nameGap: 24,
      min: 0,
    },
    yAxis: {type: 'value', name: plot.unit, min: 0},
    series: plot.lines.map((line, index) => ({
      type: 'line' as const,
      name: line.name,
      showSymbol: false,
      data: line.points.map(point => [...point]),
      ...(index === 0 ? {markLine} : {}),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** Data of the plots of one run. */
export interface PlotData {
  readonly intervals: readonly Interval[];
  /** Time without an acknowledged write by service and interval, in ms. */
  readonly gapLines: Readonly<Record<string, readonly number[]>>;
}

/** Creates the plots of one run. */
export function createPlots(
  label: string,
  {intervals, gapLines}: PlotData,
  stepMs: number,
  marks: readonly number[],
): readonly Plot[] {
  const createLine = (
    name: string,
    read: (interval: Interval) => number,
  ): Line => ({
    name,
    points: intervals.map(interval => [
      interval.fromMs / MS_PER_SECOND,
      read(interval),
    ]),
  });
  const perSecond = MS_PER_SECOND / stepMs;
  return [
    {
      title: `${label}: throughput by rank`,
      unit: 'per s',
      lines: RANKS.map(rank => createLine(rank, i => i.done[rank] * perSecond)),
      marks,
    },
    {
      title: `${label}: greatest latency by rank`,
      unit: 'ms',
      lines: RANKS.map(rank => createLine(rank, i => i.maxMs[rank])),
      marks,
    },
    {
      title: `${label}: reads served by replicas`,
      unit: '%',
      lines: [createLine('replicas', i => i.replicaPercent)],
      marks,
    },
    {
      title: `${label}: time since the last acknowledged write`,
      unit: 'ms',
      lines: Object.entries(gapLines).map(([service, gaps]) => ({
        name: service,
        points: gaps.map((gapMs, index) => [
          (index * stepMs) / MS_PER_SECOND,
          gapMs,
        ]),
      })),
      marks,
    },
  ];
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}

/** Formats an HTML page with a table of figures and the plots. */
export function formatReport(
  title: string,
  head: readonly string[],
  rows: readonly (readonly string[])[],
  plots: readonly Plot[],
): string {
  const cells = (tag: string, values: readonly string[]): string =>
    values.map(value => `<${tag}>${escapeHtml(value)}</${tag}>`).join('');
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title>`,
    '<style>body{font:14px sans-serif;margin:24px}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}</style></head><body>',
    `<h1>${escapeHtml(title)}</h1>`,
    `<table><tr>${cells('th', head)}</tr>`,
    ...rows.map(row => `<tr>${cells('td', row)}</tr>`),
    '</table>',
    ...plots.map(plot => `<div>${drawPlot(plot)}</div>`),
    '</body></html>',
    '',
  ].join('\n');
}
