/** Merges the events of several hosts into one time line. */

import type {TimelineEvent} from './event_line.js';

/** Which events of a time line to show; null or absent shows all. */
export interface TimelineFilter {
  readonly request?: string | null;
  readonly group?: string | null;
  readonly host?: string | null;
}

/** Orders by stamp; equal stamps by host, then by number. */
function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  if (a.stamp !== b.stamp) {
    return a.stamp < b.stamp ? -1 : 1;
  }
  if (a.host !== b.host) {
    return a.host < b.host ? -1 : 1;
  }
  return a.seq - b.seq;
}

/** Tells whether an event is one that the filter asks for. */
function matches(event: TimelineEvent, filter: TimelineFilter): boolean {
  const {request, group, host} = filter;
  return (
    (request == null || event.fields['request'] === request) &&
    (group == null || event.fields['group'] === group) &&
    (host == null || event.host === host)
  );
}

/**
 * Merges events of several hosts in the order of their stamps. An event that
 * was read twice, from a ring and from a log, appears once.
 */
export function mergeTimeline(
  events: readonly TimelineEvent[],
  filter: TimelineFilter = {},
): readonly TimelineEvent[] {
  const unique = new Map<string, TimelineEvent>();
  for (const event of events) {
    unique.set(`${event.host} ${event.stamp} ${event.seq}`, event);
  }
  return [...unique.values()]
    .filter(event => matches(event, filter))
    .sort(compareEvents);
}
