/**
 * Keeps what is below the log's level about requests in progress, so that the
 * log tells the whole story of a request that fails, and nothing of the others.
 */

import type {TimelineEvent} from './event_line.js';

/** Events kept of one request; a request retried for long loses its middle. */
const MAX_EVENTS_PER_REQUEST = 20;

/** The trails of one process. */
export interface RequestTrails {
  readonly add: (request: string, event: TimelineEvent) => void;
  /** Returns the events of a request, oldest first, and forgets them. */
  readonly take: (request: string) => readonly TimelineEvent[];
}

/** Creates trails of at most `capacity` requests; the oldest go first. */
export function createRequestTrails(capacity: number): RequestTrails {
  const trails = new Map<string, TimelineEvent[]>();
  return {
    add: (request, event) => {
      const trail = trails.get(request);
      if (trail === undefined) {
        trails.set(request, [event]);
        if (trails.size > capacity) {
          trails.delete(trails.keys().next().value!);
        }
        return;
      }
      if (trail.length >= MAX_EVENTS_PER_REQUEST) {
        trail.splice(MAX_EVENTS_PER_REQUEST / 2, 1);
      }
      trail.push(event);
    },
    take: request => {
      const trail = trails.get(request) ?? [];
      trails.delete(request);
      return trail;
    },
  };
}
