import {describe, expect, it} from 'vitest';
import {mergeTimeline} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';

/** Returns an event whose stamp has the given counter. */
function eventAt(
  counter: number,
  host: string,
  fields: TimelineEvent['fields'] = {},
): TimelineEvent {
  const stamp = `1700000000000.${String(counter).padStart(6, '0')}`;
  return {seq: counter, stamp, host, level: 'info', event: 'e', fields};
}

describe('mergeTimeline', () => {
  const events = [
    eventAt(4, 'b', {request: 'r1', group: 'g1'}),
    eventAt(1, 'a', {request: 'r1', group: 'g1'}),
    eventAt(3, 'a', {request: 'r2', group: 'g2'}),
    eventAt(2, 'b', {group: 'g1'}),
  ];
  const counters = (list: readonly TimelineEvent[]) =>
    list.map(event => event.seq);

  it('orders by stamp across all hosts', () => {
    expect(counters(mergeTimeline(events))).toEqual([1, 2, 3, 4]);
  });

  it('filters by request, group and host', () => {
    expect(counters(mergeTimeline(events, {request: 'r1'}))).toEqual([1, 4]);
    expect(counters(mergeTimeline(events, {group: 'g1'}))).toEqual([1, 2, 4]);
    expect(counters(mergeTimeline(events, {group: 'g1', host: 'b'}))).toEqual([
      2, 4,
    ]);
  });

  it('shows an event that was read twice only once', () => {
    expect(mergeTimeline([...events, ...events])).toHaveLength(4);
  });
});
