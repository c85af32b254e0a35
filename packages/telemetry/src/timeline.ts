/** Merges the events of several hosts into one timeline. */

import type {TimelineEvent} from './event_line.js';

/** Selects events of a timeline; a null or absent field matches all. */
export interface TimelineFilter {
  readonly request?: string | null;
  readonly group?: string | null;
  readonly host?: string | null;
}

/** Orders events by stamp, then by host, then by sequence number. */
function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  if (a.stamp !== b.stamp) {
    return a.stamp < b.stamp ? -1 : 1;
  }
  if (a.host !== b.host) {
    return a.host < b.host ? -1 : 1;
  }
  return a.seq - b.seq;
}

/** Reports whether an event matches the filter. */
function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
  const {request, group, host} = filter;
  return (
    (request == null || event.fields['request'] === request) &&
    (group == null || event.fields['group'] === group) &&
    (host == null || event.host === host)
  );
}

/**
 * Merges events of several hosts in the order of their stamps. An event that
 * was read both from a ring buffer and from a log appears once.
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
    .filter(event => matchesFilter(event, filter))
    .sort(compareEvents);
}
