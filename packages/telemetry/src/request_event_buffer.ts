/**
 * Buffers the events below the log level of requests in progress, so that the
 * log has all events of a request that fails, and none of the others.
 */

import type {TimelineEvent} from './event_line.js';

/** Maximum number of events per request; events in the middle are dropped. */
const MAX_EVENTS_PER_REQUEST = 20;

/** Buffered events by request. */
export interface RequestEventBuffer {
  readonly add: (request: string, event: TimelineEvent) => void;
  /** Returns the events of a request, oldest first, and forgets them. */
  readonly take: (request: string) => readonly TimelineEvent[];
}

/** Creates a buffer for at most `capacity` requests; evicts the oldest. */
export function createRequestEventBuffer(capacity: number): RequestEventBuffer {
  const eventsByRequest = new Map<string, TimelineEvent[]>();
  return {
    add: (request, event) => {
      const events = eventsByRequest.get(request);
      if (events === undefined) {
        eventsByRequest.set(request, [event]);
        if (eventsByRequest.size > capacity) {
          eventsByRequest.delete(eventsByRequest.keys().next().value!);
        }
        return;
      }
      if (events.length >= MAX_EVENTS_PER_REQUEST) {
        events.splice(MAX_EVENTS_PER_REQUEST / 2, 1);
      }
      events.push(event);
    },
    take: request => {
      const events = eventsByRequest.get(request) ?? [];
      eventsByRequest.delete(request);
      return events;
    },
  };
}
